package step

import (
	"math"
	"time"
)

// A groupWait is a summary of a group's open items. It stays from one tick to the next until
// an item changes its state or a gauge changes.
type groupWait struct {
	eventTokens int           // that an event held by the gauge when it was made
	tokenTime   time.Duration // that a token of the step took then
	begun       bool          // an item that waits has begun, so that it depends on the gauge
	least       int           // tokens: each waiting item holds as many or more
	longest     time.Duration // that a waiting item is expected to take
	moving      int           // waiting items that an engine keeps a place for
	rewarded    bool          // an item that waits is to be scored
	running     []*itemRow
	scoring     int           // items
	shortest    time.Duration // that a waiting item is expected to take
	waiting     []*itemRow    // in the order of the step
	work        time.Duration // that the waiting items take, one after the other
}

// markStale notes that items of a group have changed, so that it is gathered again.
func (gr *groupRow) markStale(ta *Table) {
	if !gr.stale {
		gr.stale = true
		ta.stale = append(ta.stale, gr)
	}
}

// become moves an item to another state.
func (ta *Table) become(ir *itemRow, state itemState) {
	sr := ir.step
	if ir.state == waiting {
		sr.waits--
	}
	if state == waiting {
		sr.waits++
		sr.queue.add(ir)
	}
	ir.state = state
	ir.group.markStale(ta)
}

// gather brings the summaries of groups and steps up to date: those of groups whose items
// have changed, and those that depend on a gauge that has.
func (ta *Table) gather() {
	for _, gr := range ta.stale {
		gr.stale = false
		if !gr.step.ended {
			gr.gather()
			gr.step.gathered = true
		}
	}
	clear(ta.stale)
	ta.stale = ta.stale[:0]
	for _, sr := range ta.order {
		sr.gather()
	}
}

// gather gathers the groups that depend on a gauge that has changed, and sums up what the
// step's items hold if a group has been gathered since the last time.
func (sr *stepRow) gather() {
	if tokens := sr.gauge.eventTokens(); tokens != sr.eventTokens || sr.tokenTime != sr.gatheredTime {
		sr.eventTokens, sr.gatheredTime = tokens, sr.tokenTime
		for _, gr := range sr.list {
			if gr.wait.begun && gr.wait.eventTokens != tokens || gr.wait.tokenTime != sr.tokenTime {
				gr.gather()
				sr.gathered = true
			}
		}
	}
	if !sr.gathered {
		return
	}
	sr.gathered, sr.moving, sr.least = false, 0, math.MaxInt
	for _, gr := range sr.list {
		sr.moving += gr.wait.moving
		if len(gr.wait.waiting) > 0 {
			sr.least = min(sr.least, gr.wait.least)
		}
	}
}

// gather works the summary of a group out anew.
func (gr *groupRow) gather() {
	gw := &gr.wait
	*gw = groupWait{
		eventTokens: gr.step.gauge.eventTokens(), tokenTime: gr.step.tokenTime, least: math.MaxInt, shortest: math.MaxInt,
		running: gw.running[:0], waiting: gw.waiting[:0],
	}
	for _, ir := range gr.items {
		switch ir.state {
		case waiting:
			gw.add(ir)
		case running:
			gw.running = append(gw.running, ir)
		case scoring:
			gw.scoring++
		case complete, lost:
		}
	}
}

// add takes in an item that waits.
func (gw *groupWait) add(ir *itemRow) {
	took := ir.expectedTime()
	gw.waiting = append(gw.waiting, ir)
	gw.begun = gw.begun || ir.begun()
	gw.least = min(gw.least, ir.tokensNow())
	gw.longest, gw.shortest = max(gw.longest, took), min(gw.shortest, took)
	gw.rewarded = gw.rewarded || ir.item.Reward != nil
	gw.work += max(took, minWork)
	if ir.target != "" {
		gw.moving++
	}
}

// begun reports whether events of an item are known, so that what it takes still depends
// on how many tokens an event holds.
func (ir *itemRow) begun() bool { return len(ir.events) > 0 || ir.known > 0 }

// waitingCustomers returns the customers of which an item waits that may begin.
func (ta *Table) waitingCustomers(now time.Time) map[string]bool {
	ta.gather()
	customers := map[string]bool{}
	for _, sr := range ta.order {
		if !customers[sr.step.Customer] && sr.waits > 0 && ta.anyMayBegin(sr, now) {
			customers[sr.step.Customer] = true
		}
	}
	return customers
}

// anyMayBegin reports whether an item of a step waits that may begin.
func (ta *Table) anyMayBegin(sr *stepRow, now time.Time) bool {
	for _, gr := range sr.list {
		for _, ir := range gr.wait.waiting {
			if !ta.held(ir) && !ta.rests(ir, now) {
				return true
			}
		}
	}
	return false
}

// addWork sets, for the plan of the room, what a group's open items take still.
func (ta *Table) addWork(gr *groupRow, now time.Time) {
	gw, plan := &gr.wait, &gr.plan
	plan.Work = gw.work
	if len(gw.waiting) > 0 {
		plan.Longest = max(gw.longest, minWork)
	}
	if gw.scoring > 0 {
		took := max(gr.step.rewards.expected(), minWork)
		plan.Work += time.Duration(gw.scoring) * took
		plan.Longest = max(plan.Longest, took)
	}
	for _, ir := range gw.running {
		took := max(ta.runFor(ir, now), minWork)
		plan.Work += took
		plan.Longest = max(plan.Longest, took)
	}
}

// firstOpen returns the place of the first of a group's items that is still worked on.
func (gr *groupRow) firstOpen() int {
	for _, ir := range gr.items {
		if ir.open() {
			return ir.index
		}
	}
	return len(gr.step.items)
}

// runFor returns how long a run is expected to take still, as runsFor does. An engine's
// pace is worked out once in a paceRound, in which no run begins or ends.
func (ta *Table) runFor(ir *itemRow, now time.Time) time.Duration {
	en := ir.run.at
	if en.base == 0 {
		return ir.expectedTime()
	}
	if en.paceRound != ta.paceRound {
		en.pace, en.paceRound = ta.paceWith(en, nil), ta.paceRound
	}
	return ir.remainingAt(en.pace, now)
}
