package step

import (
	"slices"
	"time"
)

// A placement is one round of placement: the assignment of waiting items to engine slots.
//
// It evaluates each engine once, and again when a slot of it is taken or released. The order of
// items is that of placeBySlack or, under overload, of placeByPlan.
type placement struct {
	summaries      []candidateSummary // parallel to candidates
	openCount      int                // number of candidates that aren't full
	candidateLists map[candidateKey]*candidateList
	now            time.Time
	candidates     []candidate
	steps          []*stepRow // open steps of the current service
	table          *Table
}

// newPlacement returns a round with the engines that have a free slot or one that is reserved
// for a moving item.
func (ta *Table) newPlacement(now time.Time) *placement {
	pl := &placement{candidateLists: map[candidateKey]*candidateList{}, now: now, table: ta}
	for _, en := range ta.sortedEngines {
		en.candidateIndex = -1
		free := en.freeSlots()
		if len(en.incoming) == 0 && (free < 0 || free == 0 && !ta.prequeues(en.service)) {
			continue
		}
		en.refreshMemo()
		ca := candidate{endsSoon: en.memo.endsSoon, engine: en}
		if pl.countOpenSlots(&ca) <= 0 && len(en.incoming) == 0 {
			continue
		}
		en.candidateIndex = len(pl.candidates)
		pl.candidates = append(pl.candidates, ca)
		pl.summaries = append(pl.summaries, candidateSummary{})
		pl.openCount++
		pl.refresh(en.candidateIndex)
	}
	return pl
}

// assign starts a waiting item if some engine can take it: the one with its reserved slot if it
// can still run the item, or else the best.
func (pl *placement) assign(ir *itemRow) {
	ta := pl.table
	if ta.held(ir) {
		return
	}
	target := ta.engines[ir.moveTarget]
	pl.releaseReserved(ir)
	i := pl.indexOf(target)
	if i < 0 || pl.candidates[i].openSlots <= 0 || !ta.canRunItem(target, ir) {
		i = pl.choose(ir)
	}
	if i >= 0 {
		pl.startRun(ir, i)
	}
}

// releaseReserved releases the reserved slot of an item, if any.
func (pl *placement) releaseReserved(ir *itemRow) {
	if ir.moveTarget == "" {
		return
	}
	i := pl.indexOf(pl.table.engines[ir.moveTarget])
	pl.table.releaseReserved(ir)
	if i >= 0 {
		pl.candidates[i].released = true
		pl.refresh(i)
		pl.resetBounds()
	}
}

// startRun starts an item on a candidate's engine. It doesn't update endsSoon of an engine that
// released a reserved slot in this round.
func (pl *placement) startRun(ir *itemRow, i int) {
	ca := &pl.candidates[i]
	pl.table.startRun(ir, ca.engine, pl.now)
	if ca.engine.refreshMemo(); !ca.released {
		ca.endsSoon = ca.engine.memo.endsSoon
	}
	pl.refresh(i)
}

// mayFit reports whether an item of a step may get a slot: one that holds the given tokens may fit
// some engine, or moving items may release reserved slots.
func (pl *placement) mayFit(sr *stepRow, tokens, moving int) bool {
	return moving > 0 || pl.listOf(sr).maxTokens >= tokens
}

// exhausted reports whether no item of any step can get or release a slot.
func (pl *placement) exhausted() bool {
	return !slices.ContainsFunc(pl.steps, func(sr *stepRow) bool {
		return sr.waitingCount > 0 && pl.mayFit(sr, sr.leastTokens, sr.movingCount)
	})
}

// rankSteps sets the index and the customer's rank of each step. It returns the distinct ranks
// of steps with waiting items in ascending order.
func (pl *placement) rankSteps(ranks map[string]int) []int {
	var all []int
	for i, sr := range pl.steps {
		sr.orderIndex, sr.customerRank = i, ranks[sr.step.Customer]
		if sr.waitingCount > 0 {
			all = append(all, sr.customerRank)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
