package step

import (
	"time"

	"wisteriacroft/scale"
)

// OpenWork returns the open work by service. It returns false if this process isn't the
// scheduler, or attendants have yet to respond.
func (sc *Scheduler) OpenWork(now time.Time) (map[string]scale.Work, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te, err := sc.current()
	if err != nil || te.table.placingSince.IsZero() || te.table.awaitingEngines(now) {
		return nil, false
	}
	return te.table.openWork(now), true
}

// openWork returns, for each open step with work, how long one slot would take for the rest of
// it, and when it is due. Items that are held by an operator are left out:
// endpoints added for them would be idle.
func (ta *Table) openWork(now time.Time) map[string]scale.Work {
	works := map[string]scale.Work{}
	for _, sr := range ta.openSteps {
		work := time.Duration(0)
		for _, ir := range sr.items {
			if ir.state == running || ir.state == waiting && !ta.held(ir) {
				work += ir.expectedTime()
			}
		}
		if work > 0 {
			works[sr.step.Service] = append(works[sr.step.Service], scale.Share{Due: sr.step.Due - sr.age(now), Work: work})
		}
	}
	return works
}
