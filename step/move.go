package step

import (
	"cmp"
	"slices"
	"time"
)

// MoveStragglers moves stalled runs, and runs on slow engines, to other engines with free slots.
//
// A run is stopped before it is resumed elsewhere, so that no two engines work on it. A slot
// is reserved on the target meanwhile: a waiting item could take it otherwise, and the run
// would end up on another slow engine.
func (ta *Table) MoveStragglers(now time.Time) {
	ta.updateSummaries()
	for _, sr := range ta.openSteps {
		for _, mc := range ta.runsToMove(sr, now) {
			ta.moveRun(mc.item, mc.item.run.engine, mc.reason, now)
		}
	}
}

// A moveCandidate is a run to move, with the reason.
type moveCandidate struct {
	item   *itemRow
	reason string
}

// runsToMove returns the runs of a step to move, in the order of the items.
func (ta *Table) runsToMove(sr *stepRow, now time.Time) []moveCandidate {
	var moves []moveCandidate
	for _, gr := range sr.groupList {
		for _, ir := range gr.summary.running {
			if ir.run.stopping || !ir.run.confirmed || ir.moves >= maxMoves {
				continue
			}
			reason := ir.run.engine.reasonToMove(ir, now)
			if reason == "" && ta.isLongRun(ir.run.engine, ir) {
				reason = "faster engine"
			}
			if reason != "" {
				moves = append(moves, moveCandidate{item: ir, reason: reason})
			}
		}
	}
	if sr.interleaved {
		slices.SortFunc(moves, func(a, b moveCandidate) int { return cmp.Compare(a.item.index, b.item.index) })
	}
	return moves
}

// RelieveMemory moves one run off each engine whose memory is nearly full, if another engine has
// enough.
//
// An engine out of memory preempts its newest run and recomputes it later, which stalls the run
// for a second or more. The run with the most slack is moved: the largest one is often the one
// that its step waits for.
func (ta *Table) RelieveMemory(now time.Time) {
	for _, en := range ta.sortedEngines {
		if used, _ := en.memoryUse(); en.tokens == 0 || float64(used) < highMemoryFraction*float64(en.tokens) {
			continue
		}
		if ir := en.mostSlack(now); ir != nil {
			ta.moveRun(ir, en, memoryReason, now)
		}
	}
}

// mostSlack returns the run with the most slack among those that can be moved and hold enough
// memory, or nil if a run of the engine is already stopping.
func (en *engineRow) mostSlack(now time.Time) *itemRow {
	var best *itemRow
	most := time.Duration(0) // slack
	for _, ir := range en.items {
		if ir.run.stopping {
			return nil
		}
		used, _ := ir.tokenUse()
		if !ir.run.confirmed || ir.moves >= maxMoves || float64(used) < minMovedFraction*float64(en.tokens) {
			continue
		}
		slack := ir.slack(now)
		if best == nil || slack > most || slack == most && ir.item.ID < best.item.ID {
			best, most = ir, slack
		}
	}
	return best
}

// moveRun stops a run and reserves a slot for it on another engine, if one qualifies.
func (ta *Table) moveRun(ir *itemRow, from *engineRow, reason string, now time.Time) {
	to := ta.bestMoveTarget(ir, from, reason, now)
	if to == nil {
		return
	}
	ir.moves++
	ir.run.stopping = true
	ir.moveTarget = to.id
	to.incoming[ir] = true
	to.invalidateMemo()
	ta.log("run moved", map[string]any{
		attemptField: ir.run.key.Attempt, engineField: from.id, "events": len(ir.events), itemField: ir.item.ID,
		"pace-ms": from.report.Pace.Milliseconds(), "quiet-ms": now.Sub(ir.run.eventAt).Milliseconds(),
		stepField: ir.step.step.ID, "to": to.id, whyField: reason,
	})
}

// bestMoveTarget returns the best engine to move a run to, or nil.
func (ta *Table) bestMoveTarget(ir *itemRow, from *engineRow, reason string, now time.Time) *engineRow {
	var best *engineRow
	for _, en := range ta.sortedEngines {
		if en == from || en.freeSlots() <= slotsLeftFree || en.slow(now) || !ta.canRunItem(en, ir) || !en.hasMemoryFor(ir) {
			continue
		}
		switch {
		case reason == memoryReason:
			if !en.hasSpareMemory(ir) || float64(en.basePace) > (1+paceTolerance)*float64(from.basePace) {
				continue
			}
		case from.stalled(ir, now):
		case ta.timeSaved(ir, from, en) < moveCost, ta.overloaded(en.service) && !ta.makesInTime(ir, from, en, now):
			continue
		}
		if best == nil || ta.engineScore(en, ir, now) > ta.engineScore(best, ir, now) {
			best = en
		}
	}
	return best
}

// hasSpareMemory reports whether an engine would stay within lowMemoryFraction with an additional item.
func (en *engineRow) hasSpareMemory(ir *itemRow) bool {
	now, _ := en.memoryUse()
	added, _ := ir.tokenUse()
	return float64(now+added) <= lowMemoryFraction*float64(en.tokens)
}

// timeSaved returns the expected time that a move saves.
func (ta *Table) timeSaved(ir *itemRow, from, to *engineRow) time.Duration {
	if from.basePace == 0 {
		return 0
	}
	events := float64(ir.remainingTokens()) / float64(ir.step.estimator.eventTokens())
	return time.Duration(events * float64(ta.expectedPace(from, nil)-ta.expectedPace(to, ir)))
}

// releaseReserved releases the reserved slot of an item, if any.
func (ta *Table) releaseReserved(ir *itemRow) {
	if en, ok := ta.engines[ir.moveTarget]; ok && ir.moveTarget != "" {
		delete(en.incoming, ir)
		en.invalidateMemo()
	}
	if ir.moveTarget != "" {
		ir.group.markStale(ta)
	}
	ir.moveTarget = ""
}

// reasonToMove returns the reason to move a run away, or "".
func (en *engineRow) reasonToMove(ir *itemRow, now time.Time) string {
	quiet := now.Sub(ir.run.eventAt)
	switch {
	case en.unreachable && quiet > stallTimeout/2:
		return "engine does not answer"
	case quiet > firstEventTimeout, quiet > stallTimeout && len(ir.events) > ir.run.priorEvents:
		return "no event"
	case en.slow(now):
		return "slow engine"
	default:
		return ""
	}
}

// stalled reports whether a run has made no event for too long.
func (en *engineRow) stalled(ir *itemRow, now time.Time) bool {
	return en.reasonToMove(ir, now) != "" && !en.slow(now)
}

// isLongRun reports whether a run is long and its engine slower than the best one at equal load.
// The current load isn't considered, as it changes quickly.
func (ta *Table) isLongRun(en *engineRow, ir *itemRow) bool {
	return len(ir.events)-ir.run.priorEvents >= minMoveEvents && float64(ta.bestBases[en.service]) < (1-paceTolerance)*float64(en.basePace)
}
