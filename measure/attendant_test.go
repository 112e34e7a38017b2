package measure

import (
	"time"

	"wisteriacroft/gate"
	"wisteriacroft/outcome"
)

// An Attendant stands before one engine with the gate's table that serves.
type Attendant struct {
	engine  *Engine
	pending map[string]*Work // that waits in the table or runs, by request
	table   *gate.Table
}

// NewAttendant returns an attendant of an engine.
func NewAttendant(en *Engine, po gate.Policy) *Attendant {
	return &Attendant{engine: en, pending: map[string]*Work{}, table: gate.NewTable(po)}
}

// Enter puts a request into the gate's table.
func (at *Attendant) Enter(now time.Time, req gate.Request, wo *Work) *outcome.Refusal {
	if re := at.table.Add(now, req); re != nil {
		return re
	}
	at.pending[req.ID] = wo
	return nil
}

// Leave takes a request out.
func (at *Attendant) Leave(now time.Time, id string, out gate.Result) {
	delete(at.pending, id)
	at.table.Remove(now, id, out)
}

// Run lets the gate decide. refused is told of each request that the gate or
// the engine turns away; it did not run.
func (at *Attendant) Run(now time.Time, refused func(id string, re *outcome.Refusal)) {
	for _, de := range at.table.Dispatch(now) {
		wo := at.pending[de.ID]
		switch {
		case de.Refusal != nil:
			delete(at.pending, de.ID)
			refused(de.ID, de.Refusal)
		case !at.engine.Up(now):
			at.Leave(now, de.ID, gate.NotSent)
			refused(de.ID, outcome.NewRefusal(outcome.Refused, de.ID, "engine is down"))
		default:
			at.engine.Admit(wo)
		}
	}
}
