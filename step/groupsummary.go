package step

import (
	"math"
	"time"
)

// A groupSummary is a summary of a group's open items. It is kept between ticks until the state
// of an item or an estimate changes.
type groupSummary struct {
	eventTokens  int           // tokens per event that the summary was made with
	tokenTime    time.Duration // time per token that the summary was made with
	hasEvents    bool          // a waiting item has events, so that the summary depends on eventTokens
	leastTokens  int           // minimum tokens of a waiting item
	longest      time.Duration // expected time of the longest waiting item
	movingCount  int           // waiting items with a reserved slot
	needsScore   bool          // a waiting item needs a score
	running      []*itemRow
	scoringCount int           // items that wait for their score
	shortest     time.Duration // expected time of the shortest waiting item
	waiting      []*itemRow    // in the order of the step
	work         time.Duration // total expected time of the waiting items
}

// markStale schedules an update of the group's summary.
func (gr *groupRow) markStale(ta *Table) {
	if !gr.stale {
		gr.stale = true
		ta.staleGroups = append(ta.staleGroups, gr)
	}
}

// setState sets the state of an item.
func (ta *Table) setState(ir *itemRow, state itemState) {
	sr := ir.step
	if ir.state == waiting {
		sr.waitingCount--
	}
	if state == waiting {
		sr.waitingCount++
		sr.queue.add(ir)
	}
	ir.state = state
	ir.group.markStale(ta)
}

// updateSummaries updates the summaries of groups and steps whose items or estimates have changed.
func (ta *Table) updateSummaries() {
	for _, gr := range ta.staleGroups {
		gr.stale = false
		if !gr.step.ended {
			gr.updateSummary()
			gr.step.summariesChanged = true
		}
	}
	clear(ta.staleGroups)
	ta.staleGroups = ta.staleGroups[:0]
	for _, sr := range ta.openSteps {
		sr.updateSummary()
	}
}

// updateSummary updates the summaries of groups whose estimates have changed, and then those of the
// step.
func (sr *stepRow) updateSummary() {
	if tokens := sr.estimator.eventTokens(); tokens != sr.summaryEventTokens || sr.tokenTime != sr.summaryTokenTime {
		sr.summaryEventTokens, sr.summaryTokenTime = tokens, sr.tokenTime
		for _, gr := range sr.groupList {
			if gr.summary.hasEvents && gr.summary.eventTokens != tokens || gr.summary.tokenTime != sr.tokenTime {
				gr.updateSummary()
				sr.summariesChanged = true
			}
		}
	}
	if !sr.summariesChanged {
		return
	}
	sr.summariesChanged, sr.movingCount, sr.leastTokens = false, 0, math.MaxInt
	for _, gr := range sr.groupList {
		sr.movingCount += gr.summary.movingCount
		if len(gr.summary.waiting) > 0 {
			sr.leastTokens = min(sr.leastTokens, gr.summary.leastTokens)
		}
	}
}

// updateSummary recomputes the summary of a group.
func (gr *groupRow) updateSummary() {
	gs := &gr.summary
	*gs = groupSummary{
		eventTokens: gr.step.estimator.eventTokens(), tokenTime: gr.step.tokenTime, leastTokens: math.MaxInt, shortest: math.MaxInt,
		running: gs.running[:0], waiting: gs.waiting[:0],
	}
	for _, ir := range gr.items {
		switch ir.state {
		case waiting:
			gs.add(ir)
		case running:
			gs.running = append(gs.running, ir)
		case scoring:
			gs.scoringCount++
		case complete, lost:
		}
	}
}

// add adds a waiting item.
func (gs *groupSummary) add(ir *itemRow) {
	remaining := ir.expectedTime()
	gs.waiting = append(gs.waiting, ir)
	gs.hasEvents = gs.hasEvents || ir.hasEvents()
	gs.leastTokens = min(gs.leastTokens, ir.tokensNow())
	gs.longest, gs.shortest = max(gs.longest, remaining), min(gs.shortest, remaining)
	gs.needsScore = gs.needsScore || ir.item.Reward != nil
	gs.work += max(remaining, minWork)
	if ir.moveTarget != "" {
		gs.movingCount++
	}
}

// hasEvents reports whether events of an item are known, so that its expected time depends on the
// tokens per event.
func (ir *itemRow) hasEvents() bool { return len(ir.events) > 0 || ir.knownEvents > 0 }

// waitingCustomers returns the customers with waiting items that can start.
func (ta *Table) waitingCustomers() map[string]bool {
	ta.updateSummaries()
	customers := map[string]bool{}
	for _, sr := range ta.openSteps {
		if !customers[sr.step.Customer] && sr.waitingCount > 0 && ta.anyCanStart(sr) {
			customers[sr.step.Customer] = true
		}
	}
	return customers
}

// anyCanStart reports whether a step has a waiting item that can start.
func (ta *Table) anyCanStart(sr *stepRow) bool {
	for _, gr := range sr.groupList {
		for _, ir := range gr.summary.waiting {
			if !ta.held(ir) {
				return true
			}
		}
	}
	return false
}

// setPlanWork sets the expected work of a group's open items for the planner.
func (ta *Table) setPlanWork(gr *groupRow, now time.Time) {
	gs, plan := &gr.summary, &gr.plan
	plan.Work = gs.work
	if len(gs.waiting) > 0 {
		plan.Longest = max(gs.longest, minWork)
	}
	if gs.scoringCount > 0 {
		remaining := max(gr.step.rewards.expected(), minWork)
		plan.Work += time.Duration(gs.scoringCount) * remaining
		plan.Longest = max(plan.Longest, remaining)
	}
	for _, ir := range gs.running {
		remaining := max(ta.remainingTimeCached(ir, now), minWork)
		plan.Work += remaining
		plan.Longest = max(plan.Longest, remaining)
	}
}

// firstOpenIndex returns the index of the first open item of a group.
func (gr *groupRow) firstOpenIndex() int {
	for _, ir := range gr.items {
		if ir.open() {
			return ir.index
		}
	}
	return len(gr.step.items)
}

// remainingTimeCached returns the expected remaining time of a run, as remainingTime does, but computes an
// engine's pace only once in a paceRound, in which no run starts or ends.
func (ta *Table) remainingTimeCached(ir *itemRow, now time.Time) time.Duration {
	en := ir.run.engine
	if en.basePace == 0 {
		return ir.expectedTime()
	}
	if en.paceRound != ta.paceRound {
		en.pace, en.paceRound = ta.expectedPace(en, nil), ta.paceRound
	}
	return ir.remainingAt(en.pace, now)
}
