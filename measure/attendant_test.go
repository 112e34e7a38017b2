package measure

import (
	"time"

	"wisteriacroft/gate"
	"wisteriacroft/outcome"
)

// An Attendant queues the requests of one engine in a gate.Table.
type Attendant struct {
	engine  *Engine
	pending map[string]*Work // waiting in the table or running, by request
	table   *gate.Table
}

// NewAttendant returns an attendant of an engine.
func NewAttendant(en *Engine, po gate.Policy) *Attendant {
	return &Attendant{engine: en, pending: map[string]*Work{}, table: gate.NewTable(po)}
}

// Enqueue adds a request to the gate's table, or returns its refusal.
func (at *Attendant) Enqueue(now time.Time, req gate.Request, wo *Work) *outcome.Refusal {
	if re := at.table.Add(now, req); re != nil {
		return re
	}
	at.pending[req.ID] = wo
	return nil
}

// Remove removes a request from the gate's table.
func (at *Attendant) Remove(now time.Time, id string, out gate.Result) {
	delete(at.pending, id)
	at.table.Remove(now, id, out)
}

// Run dispatches requests to the engine. It calls refused for each request that
// the gate or the engine rejects, which did not run.
func (at *Attendant) Run(now time.Time, refused func(id string, re *outcome.Refusal)) {
	for _, de := range at.table.Dispatch(now) {
		wo := at.pending[de.ID]
		switch {
		case de.Refusal != nil:
			delete(at.pending, de.ID)
			refused(de.ID, de.Refusal)
		case !at.engine.Up(now):
			at.Remove(now, de.ID, gate.NotSent)
			refused(de.ID, outcome.NewRefusal(outcome.Refused, de.ID, "engine is down"))
		default:
			at.engine.Admit(wo)
		}
	}
}
