package step

import (
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Parameters of placement.
const (
	// matePlaces is the score, in free slots, of an engine that runs items of the same group
	// and so has their prompt cached.
	matePlaces = 3
	// memoryPart is the fraction of an engine's memory that new items may fill. It must be
	// less than crowdedMemory, or new items would displace others.
	memoryPart = 0.8
	// expectedPart is the fraction of its token limit that an item without a hint is expected
	// to use.
	expectedPart = 0.25
	// againAfter is how long a requeued item avoids its last engine.
	againAfter = 500 * time.Millisecond
)

// expected returns the expected number of generated tokens.
func (it *Item) expected() int {
	if it.Hint > 0 {
		return it.Hint
	}
	return int(expectedPart * float64(max(it.Tokens-it.Prompt, 0)))
}

// free returns the number of free slots. It is negative if more runs than slots are known.
func (en *engineRow) free() int { return en.slots - len(en.items) - en.foreign - len(en.coming) }

// usable reports whether an engine can run an item.
func (ta *Table) usable(en *engineRow, ir *itemRow) bool {
	st := ir.step.step
	return ta.runsStep(en, st) && en.goesOnWith(ir)
}

// reachable reports whether an engine can be assigned work: it isn't leaving, and its
// attendant has responded and reaches it.
func (en *engineRow) reachable() bool {
	return !en.leaving && !en.gone && !en.sick && !en.heardAt.IsZero()
}

// runsStep reports whether an engine can run items of a step.
func (ta *Table) runsStep(en *engineRow, st *Step) bool {
	if en.service != st.Service || !en.reachable() || en.loads(st.Model) {
		return false
	}
	version := en.versions[st.Model]
	return version != 0 && version >= st.MinVersion
}

// goesOnWith reports whether an engine has a version that may continue an item's text.
func (en *engineRow) goesOnWith(ir *itemRow) bool {
	st := ir.step.step
	return !st.SingleVersion || len(ir.events) == 0 || en.versions[st.Model] == ir.events[0].Version
}

// loads reports whether an engine is loading weights of a model, and so can't start runs of
// it. An engine that is busy without an order executes an earlier scheduler's order, whose
// model is unknown.
func (en *engineRow) loads(model string) bool {
	if en.order == nil {
		return en.report.Busy
	}
	return en.order.Model == model
}

// fits reports whether an engine has memory for an item. An engine out of memory preempts its
// newest request and recomputes it later.
func (en *engineRow) fits(ir *itemRow) bool {
	if en.tokens == 0 || len(en.items) == 0 {
		return true
	}
	now, _ := en.memory()
	added, _ := ir.holds()
	return float64(now+added) <= memoryPart*float64(en.tokens)
}

// crowding returns the cost, in slots, of an engine whose runs would hold end tokens in total
// at their ends.
//
// Runs don't all end at once, so the total may exceed the memory. As a hard limit, it would
// let short items overtake a long one indefinitely.
func (en *engineRow) crowding(end int) float64 {
	if en.tokens <= 0 {
		return 0
	}
	return crowdingPlaces * max(0, float64(end)/float64(en.tokens)-1)
}

// crowdingPlaces is the cost, in free slots, of exceeding an engine's memory by 100 percent.
const crowdingPlaces = 24

// Place assigns waiting items to free slots of engines, by least slack or, under overload, by
// the capacity plan.
//
// The longest item of a step takes nearly as long as the step may, so it must start first. An
// engine gets no more items than it has slots, since it would run the rest in the order of
// arrival.
func (ta *Table) Place(now time.Time) {
	if ta.listening(now) {
		return
	}
	ta.gather()
	ta.planRoom(now)
	if len(ta.order) == 0 {
		return
	}
	pl := ta.newPlacing(now)
	defer ta.forgetRound()
	if pl.live == 0 {
		return
	}
	ranks := ta.customerRank(ta.waitingCustomers(now))
	// Services don't compete for slots.
	for _, steps := range ta.stepsOfServices() {
		pl.steps = steps
		if pl.idle() {
			continue
		}
		rm := ta.rooms[steps[0].step.Service]
		if rm != nil && rm.planner.Overloaded() {
			pl.dropQueues()
			pl.byRoom(rm, rm.rank(ranks))
		} else {
			pl.bySpare(rm.rank(ranks))
		}
	}
}

// stepsOfServices returns the open steps grouped by service.
func (ta *Table) stepsOfServices() [][]*stepRow {
	var all [][]*stepRow
	at := map[string]int{}
	for _, sr := range ta.order {
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

// forgetRound clears references to the round of placement.
func (ta *Table) forgetRound() {
	for _, sr := range ta.order {
		sr.round, sr.seats = nil, nil
	}
}

// dropQueues drops the queues ordered by slack, which aren't used under overload.
func (pl *placing) dropQueues() {
	for _, sr := range pl.steps {
		sr.queue.drop()
	}
}

// listening reports whether a new scheduler still waits for first responses of attendants.
//
// Until then, items that run or have ended on engines appear to be waiting. Placement would
// run them a second time and discard their texts.
func (ta *Table) listening(now time.Time) bool {
	if ta.begun.IsZero() {
		ta.begun, ta.savedAt = now, now
	}
	if now.Sub(ta.begun) > listenTime {
		return false
	}
	return slices.ContainsFunc(ta.sorted, func(en *engineRow) bool { return en.heardAt.IsZero() && !en.gone })
}

// listenTime is the longest wait for first responses of attendants.
const listenTime = 500 * time.Millisecond

// timeToSpare returns the slack of an item: how long it can wait and still be complete, and
// scored if it needs a score, when its step is due.
func (ir *itemRow) timeToSpare(now time.Time) time.Duration {
	spare := ir.step.step.Due - ir.step.age(now) - ir.expectedTime()
	if ir.item.Reward != nil {
		spare -= ir.step.rewards.usual()
	}
	return spare
}

// usualTokenTime is the assumed time per token until it is measured.
const usualTokenTime = 630 * time.Microsecond

// expectedTime returns the expected time to generate the rest of an item.
func (ir *itemRow) expectedTime() time.Duration {
	each := ir.step.tokenTime
	if each <= 0 {
		each = usualTokenTime
	}
	return time.Duration(ir.left()) * each
}

// left returns the expected number of tokens still to generate. Hints are only right at the
// median: an item that has exceeded its hint is expected to double its length.
func (ir *itemRow) left() int {
	eventTokens := ir.step.gauge.eventTokens()
	made := len(ir.events) * eventTokens
	left := max(ir.item.expected(), ir.known*eventTokens) - made
	if left <= 0 {
		left = made
	}
	if bound := ir.item.Tokens - ir.item.Prompt; bound > 0 {
		left = min(left, max(bound-made, 0))
	}
	return left
}

// start starts a run of an item on an engine.
func (ta *Table) start(ir *itemRow, en *engineRow, now time.Time) {
	ta.attempt++
	version, waited := en.versions[ir.step.step.Model], now.Sub(ir.since)
	ta.become(ir, running)
	ir.since, ir.unwanted = now, ""
	ir.run = run{
		at: en, engine: en.id, eventAt: now, prior: len(ir.events), version: version,
		key: runner.Key{Attempt: ta.attempt, Item: ir.item.ID, Step: ir.step.step.ID},
	}
	en.items[ir.run.key] = ir
	en.recount(ir, 1)
	ta.log("item placed", map[string]any{
		"after": len(ir.events), attemptField: ta.attempt, "bound": ir.item.Tokens - ir.item.Prompt, engineField: en.id,
		"free": en.free(), "hint": ir.item.Hint, itemField: ir.item.ID, "known": ir.known,
		"report-ms": now.Sub(en.heardAt).Milliseconds(), stepField: ir.step.step.ID, "version": version,
		"waited-ms": waited.Milliseconds(),
	})
}

// DropExpired abandons items that have exceeded their step's MaxWait.
func (ta *Table) DropExpired(now time.Time) {
	for _, sr := range ta.order {
		if sr.step.MaxWait <= 0 || sr.age(now) < sr.step.MaxWait+giveUpSlack {
			continue
		}
		for _, ir := range sr.items {
			if ir.open() {
				ta.release(ir)
				ta.giveUp(ir, "waited too long", now)
			}
		}
	}
}

// giveUpSlack is added to MaxWait, for clients whose clock starts before the scheduler sees
// the step.
const giveUpSlack = 3 * time.Second
