package step

import "time"

// requeue releases an item's run and lets the item wait again.
func (ta *Table) requeue(ir *itemRow, reason string, now time.Time) {
	ta.log("run given up", map[string]any{
		attemptField: ir.run.key.Attempt, engineField: ir.run.engineID, "events": len(ir.events), itemField: ir.item.ID,
		stepField: ir.step.step.ID, whyField: reason,
	})
	ir.avoidedEngine = ir.run.engineID
	if ir.moveTarget != "" {
		ta.stoppedItems = append(ta.stoppedItems, ir)
	}
	ta.releaseRun(ir)
	ta.setState(ir, waiting)
	ir.stateSince = now
}

// restartStopped starts moved items whose runs have stopped on the engines with their reserved
// slots, and returns the IDs of these engines. Other waiting items are placed at the next tick,
// so that they don't return at once to an engine that has just refused them.
func (ta *Table) restartStopped(now time.Time) []string {
	var engines []string
	for _, ir := range ta.stoppedItems {
		en := ta.engines[ir.moveTarget]
		if ir.state != waiting || en == nil || ta.awaitingEngines(now) {
			continue
		}
		if ta.releaseReserved(ir); en.freeSlots() > 0 && ta.canRunItem(en, ir) {
			ta.startRun(ir, en, now)
			engines = append(engines, en.id)
		}
	}
	ta.stoppedItems = nil
	return engines
}

// requeueRuns requeues an engine's runs.
func (ta *Table) requeueRuns(en *engineRow, reason string, now time.Time) {
	for _, ir := range en.items {
		ta.requeue(ir, reason, now)
	}
}

// requeueConfirmed requeues the runs that an attendant had confirmed before it started again. The others are launched at
// its new start, perhaps by the request that it has just responded to.
func (ta *Table) requeueConfirmed(en *engineRow, reason string, now time.Time) {
	for _, ir := range en.items {
		if ir.run.confirmed {
			ta.requeue(ir, reason, now)
		}
	}
}
