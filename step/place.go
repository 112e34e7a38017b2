package step

import (
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Parameters of placement.
const (
	// sameGroupBonus is the score, in free slots, of an engine that runs items of the same group
	// and so has their prompt cached.
	sameGroupBonus = 3
	// maxMemoryFraction is the fraction of an engine's memory that new items may fill. It must be
	// less than highMemoryFraction, or new items would displace others.
	maxMemoryFraction = 0.8
	// defaultLengthFraction is the fraction of its token limit that an item without a hint is expected
	// to use.
	defaultLengthFraction = 0.25
	// avoidEngineFor is how long a requeued item avoids its last engine.
	avoidEngineFor = 500 * time.Millisecond
)

// expectedTokens returns the expected number of generated tokens.
func (it *Item) expectedTokens() int {
	if it.Hint > 0 {
		return it.Hint
	}
	return int(defaultLengthFraction * float64(max(it.Tokens-it.Prompt, 0)))
}

// freeSlots returns the number of free slots. It is negative if more runs than slots are known.
func (en *engineRow) freeSlots() int {
	return en.slots - len(en.items) - en.foreignRequests - len(en.incoming)
}

// canRunItem reports whether an engine can run an item.
func (ta *Table) canRunItem(en *engineRow, ir *itemRow) bool {
	st := ir.step.step
	return ta.canRunStep(en, st) && en.canContinue(ir)
}

// reachable reports whether an engine can be assigned work: it isn't leaving, and its
// attendant has responded and reaches it.
func (en *engineRow) reachable() bool {
	return !en.leaving && !en.replaced && !en.unreachable && !en.respondedAt.IsZero()
}

// canRunStep reports whether an engine can run items of a step.
func (ta *Table) canRunStep(en *engineRow, st *Step) bool {
	if en.service != st.Service || !en.reachable() || en.isLoading(st.Model) {
		return false
	}
	version := en.versions[st.Model]
	return version != 0 && version >= st.MinVersion
}

// canContinue reports whether an engine has a version that may continue an item's text.
func (en *engineRow) canContinue(ir *itemRow) bool {
	st := ir.step.step
	return !st.SingleVersion || len(ir.events) == 0 || en.versions[st.Model] == ir.events[0].Version
}

// isLoading reports whether an engine is loading weights of a model, and so can't start runs of
// it. An engine that is busy without an order executes an earlier scheduler's order, whose
// model is unknown.
func (en *engineRow) isLoading(model string) bool {
	if en.order == nil {
		return en.report.Busy
	}
	return en.order.Model == model
}

// hasMemoryFor reports whether an engine has memory for an item. An engine out of memory preempts its
// newest request and recomputes it later.
func (en *engineRow) hasMemoryFor(ir *itemRow) bool {
	if en.tokens == 0 || len(en.items) == 0 {
		return true
	}
	now, _ := en.memoryUse()
	added, _ := ir.tokenUse()
	return float64(now+added) <= maxMemoryFraction*float64(en.tokens)
}

// overfillCost returns the cost, in slots, of the memory that an engine's runs are expected to
// need: end is the sum of the tokens that each holds at its end.
//
// Runs don't all end at once, so the total may exceed the memory. As a hard limit, it would
// let short items overtake a long one indefinitely.
func (en *engineRow) overfillCost(end int) float64 {
	if en.tokens <= 0 {
		return 0
	}
	return overfillCostSlots * max(0, float64(end)/float64(en.tokens)-1)
}

// overfillCostSlots is the cost, in free slots, of exceeding an engine's memory by 100 percent.
const overfillCostSlots = 24

// Place assigns waiting items to free slots of engines, by least slack or, under overload, by
// the capacity plan.
//
// The longest item of a step takes nearly as long as the step may, so it must start first. An
// engine gets no more items than it has slots, since it would run the rest in the order of
// arrival.
func (ta *Table) Place(now time.Time) {
	if ta.awaitingEngines(now) {
		return
	}
	ta.updateSummaries()
	ta.planCapacity(now)
	if len(ta.openSteps) == 0 {
		return
	}
	pl := ta.newPlacement(now)
	defer ta.clearPlacement()
	if pl.openCount == 0 {
		return
	}
	ranks := ta.customerRanks(ta.waitingCustomers())
	// Services don't compete for slots.
	for _, steps := range ta.stepsByService() {
		pl.steps = steps
		if pl.exhausted() {
			continue
		}
		sp := ta.servicePlans[steps[0].step.Service]
		if sp != nil && sp.planner.Overloaded() {
			pl.dropQueues()
			pl.placeByPlan(sp, sp.adaptRanks(ranks))
		} else {
			pl.placeBySlack(sp.adaptRanks(ranks))
		}
	}
}

// stepsByService returns the open steps grouped by service.
func (ta *Table) stepsByService() [][]*stepRow {
	var all [][]*stepRow
	at := map[string]int{}
	for _, sr := range ta.openSteps {
		i, known := at[sr.step.Service]
		if !known {
			i = len(all)
			at[sr.step.Service] = i
			all = append(all, nil)
		}
		all[i] = append(all[i], sr)
	}
	return all
}

// clearPlacement clears references to the round of placement.
func (ta *Table) clearPlacement() {
	for _, sr := range ta.openSteps {
		sr.placement, sr.candidates = nil, nil
	}
}

// dropQueues drops the queues ordered by slack, which aren't used under overload.
func (pl *placement) dropQueues() {
	for _, sr := range pl.steps {
		sr.queue.drop()
	}
}

// awaitingEngines reports whether a new scheduler still waits for first responses of attendants.
//
// Until then, items that run or have ended on engines appear to be waiting. Placement would
// run them a second time and discard their texts.
func (ta *Table) awaitingEngines(now time.Time) bool {
	if ta.placingSince.IsZero() {
		ta.placingSince, ta.savedAt = now, now
	}
	if now.Sub(ta.placingSince) > maxEngineWait {
		return false
	}
	return slices.ContainsFunc(ta.sortedEngines, func(en *engineRow) bool { return en.respondedAt.IsZero() && !en.replaced })
}

// maxEngineWait is the longest wait for first responses of attendants.
const maxEngineWait = 500 * time.Millisecond

// slack returns the slack of an item: how long it can wait and still be complete, and
// scored if it needs a score, when its step is due.
func (ir *itemRow) slack(now time.Time) time.Duration {
	slack := ir.step.step.Due - ir.step.age(now) - ir.expectedTime()
	if ir.item.Reward != nil {
		slack -= ir.step.rewards.expected()
	}
	return slack
}

// defaultTokenTime is the assumed time per token until it is measured.
const defaultTokenTime = 630 * time.Microsecond

// expectedTime returns the expected time to generate the rest of an item.
func (ir *itemRow) expectedTime() time.Duration {
	tokenTime := ir.step.tokenTime
	if tokenTime <= 0 {
		tokenTime = defaultTokenTime
	}
	return time.Duration(ir.remainingTokens()) * tokenTime
}

// remainingTokens returns the expected number of tokens still to generate. Hints are only right at the
// median: an item that has exceeded its hint is expected to double its length.
func (ir *itemRow) remainingTokens() int {
	eventTokens := ir.step.estimator.eventTokens()
	generated := len(ir.events) * eventTokens
	remaining := max(ir.item.expectedTokens(), ir.knownEvents*eventTokens) - generated
	if remaining <= 0 {
		remaining = generated
	}
	if limit := ir.item.Tokens - ir.item.Prompt; limit > 0 {
		remaining = min(remaining, max(limit-generated, 0))
	}
	return remaining
}

// startRun starts a run of an item on an engine.
func (ta *Table) startRun(ir *itemRow, en *engineRow, now time.Time) {
	ta.attempt++
	version, waited := en.versions[ir.step.step.Model], now.Sub(ir.stateSince)
	ta.setState(ir, running)
	ir.stateSince, ir.avoidedEngine = now, ""
	ir.run = run{
		engine: en, engineID: en.id, eventAt: now, priorEvents: len(ir.events), version: version,
		key: runner.Key{Attempt: ta.attempt, Item: ir.item.ID, Step: ir.step.step.ID},
	}
	en.items[ir.run.key] = ir
	en.adjustMemo(ir, 1)
	ta.log("item placed", map[string]any{
		"after": len(ir.events), attemptField: ta.attempt, "bound": ir.item.Tokens - ir.item.Prompt, engineField: en.id,
		"free": en.freeSlots(), "hint": ir.item.Hint, itemField: ir.item.ID, "known": ir.knownEvents,
		"report-ms": now.Sub(en.respondedAt).Milliseconds(), stepField: ir.step.step.ID, "version": version,
		"waited-ms": waited.Milliseconds(),
	})
}

// DropExpired abandons items that have exceeded their step's MaxWait.
func (ta *Table) DropExpired(now time.Time) {
	for _, sr := range ta.openSteps {
		if sr.step.MaxWait <= 0 || sr.age(now) < sr.step.MaxWait+expirySlack {
			continue
		}
		for _, ir := range sr.items {
			if ir.open() {
				ta.releaseRun(ir)
				ta.markLost(ir, "waited too long", now)
			}
		}
	}
}

// expirySlack is added to MaxWait, for clients whose clock starts before the scheduler sees
// the step: the key-value service may hold it for as long before the scheduler learns of it.
const expirySlack = 3 * time.Second
