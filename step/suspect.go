package step

import (
	"fmt"
	"time"

	"wisteriacroft/runner"
)

// suspect notes that a run broke because its engine ended.
//
// An item may be what ends its engines. Placed again at once, it went through all
// of them until its step ended, 59 engines in 15 s in a fleet of four that start
// again within a second, each with the other items that ran there.
func (ta *Table) suspect(ir *itemRow, pr runner.Progress, now time.Time) {
	if !pr.EngineEnded {
		return
	}
	// By the run, since the engine may have started again already.
	ta.quarantine.Strike(ir.digest, fmt.Sprintf("%s/%d", ir.run.engine, ir.run.key.Attempt), now)
	ve := ta.quarantine.JudgeItem(ir.digest, now)
	ta.log("engine ended under an item", map[string]any{
		attemptField: ir.run.key.Attempt, "digest": ir.digest, engineField: ir.run.engine, "held-ms": ve.HeldFor.Milliseconds(),
		itemField: ir.item.ID, stepField: ir.step.step.ID, "strikes": ve.Strikes,
	})
}

// rests reports whether an item must not be placed now.
func (ta *Table) rests(ir *itemRow, now time.Time) bool {
	return ta.quarantine.JudgeItem(ir.digest, now).Held()
}
