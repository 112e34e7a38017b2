package step

import (
	"slices"
	"time"
)

// referenceCounts counts customers' items without cached summaries.
func referenceCounts(ta *Table) map[usageKey]itemCounts {
	counts := map[usageKey]itemCounts{}
	for _, sr := range ta.openSteps {
		key := usageKey{sr.step.Customer, sr.step.Service}
		ic := counts[key]
		for _, ir := range sr.items {
			switch {
			case ir.state == waiting && !ta.held(ir):
				ic.waiting++
				ic.canStart = true
			case ir.state == running:
				held, _ := ir.tokenUse()
				ic.tokens += held
				ic.running++
			}
		}
		counts[key] = ic
	}
	return counts
}

// referenceEndsIn returns when a step is expected to end, without cached summaries.
func referenceEndsIn(ta *Table, sr *stepRow, now time.Time) time.Duration {
	groups := map[string]time.Duration{}
	for _, ir := range sr.items {
		if ir.open() {
			groups[ir.item.Group] = max(groups[ir.item.Group], ta.remainingTime(ir, now))
		}
	}
	var must time.Duration
	var others []time.Duration
	missing := min(sr.step.Groups, len(sr.groups)) - (len(sr.groups) - len(groups))
	for name, remaining := range groups {
		if sr.groups[name].recurring {
			must = max(must, remaining)
			missing--
		} else {
			others = append(others, remaining)
		}
	}
	if missing <= 0 || len(others) == 0 {
		return must
	}
	slices.Sort(others)
	return max(must, others[min(missing, len(others))-1])
}

// referenceMoves returns the runs of a step that should move, without cached summaries.
func referenceMoves(ta *Table, sr *stepRow, now time.Time) []moveCandidate {
	var moves []moveCandidate
	for _, ir := range sr.items {
		en := ta.engines[ir.run.engineID]
		if en == nil || ir.state != running || ir.run.stopping || !ir.run.confirmed || ir.moves >= maxMoves {
			continue
		}
		reason := en.reasonToMove(ir, now)
		if reason == "" && ta.isLongRun(en, ir) {
			reason = "faster engine"
		}
		if reason != "" {
			moves = append(moves, moveCandidate{item: ir, reason: reason})
		}
	}
	return moves
}
