package step

import (
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Weights of placing items.
const (
	// matePlaces is by how many more taken places an engine may still be
	// preferred because it runs items of the same group, whose prompt it holds.
	matePlaces = 3
	// memoryPart is the part of an engine's memory that new items may fill: less
	// than crowdedMemory, or each new item would drive another one away.
	memoryPart = 0.8
	// expectedPart is the part of its token bound that an item without a hint
	// is expected to use.
	expectedPart = 0.25
	// againAfter is how long an item waits before it goes to the engine that it
	// was just taken from.
	againAfter = 500 * time.Millisecond
)

// expected returns how many tokens an item is expected to generate.
func (it *Item) expected() int {
	if it.Hint > 0 {
		return it.Hint
	}
	return int(expectedPart * float64(max(it.Tokens-it.Prompt, 0)))
}

// free returns how many places of an engine are free.
func (en *engineRow) free() int { return en.slots - len(en.items) - en.foreign - len(en.coming) }

// usable reports whether an engine may run an item.
func (ta *Table) usable(en *engineRow, ir *itemRow) bool {
	st := ir.step.step
	return ta.runsStep(en, st) && en.goesOnWith(ir)
}

// reachable reports whether an engine may be given work: it stays, and its attendant has
// answered and reaches it.
func (en *engineRow) reachable() bool {
	return !en.leaving && !en.gone && !en.sick && !en.heardAt.IsZero()
}

// runsStep reports whether an engine may run items of a step.
func (ta *Table) runsStep(en *engineRow, st *Step) bool {
	if en.service != st.Service || !en.reachable() || en.loads(st.Model) {
		return false
	}
	version := en.versions[st.Model]
	return version != 0 && version >= st.MinVersion
}

// goesOnWith reports whether an engine has the version that an item's text may go on with.
func (en *engineRow) goesOnWith(ir *itemRow) bool {
	st := ir.step.step
	return !st.SingleVersion || len(ir.events) == 0 || en.versions[st.Model] == ir.events[0].Version
}

// loads reports whether an engine loads weights of a model, which begins no run
// of it meanwhile. It is busy without an order while it carries out that of an
// earlier scheduler, which may be of any model.
func (en *engineRow) loads(model string) bool {
	if en.order == nil {
		return en.report.Busy
	}
	return en.order.Model == model
}

// fits reports whether an engine has memory for an item now. Beyond it, the
// engine stops its newest request and reads it again later.
func (en *engineRow) fits(ir *itemRow) bool {
	if en.tokens == 0 || len(en.items) == 0 {
		return true
	}
	now, _ := en.memoryUse()
	added, _ := ir.tokenUse()
	return float64(now+added) <= memoryPart*float64(en.tokens)
}

// crowding returns what it costs an item, in places, to come to an engine that would then
// hold end tokens at the ends of its runs.
//
// Not all runs end at once, so that these may be more than the engine's memory, but long
// items do better where fewer are expected. Were the memory a bound instead, a long item
// would wait while short ones took what became free.
func (en *engineRow) crowding(end int) float64 {
	if en.tokens <= 0 {
		return 0
	}
	return crowdingPlaces * max(0, float64(end)/float64(en.tokens)-1)
}

// crowdingPlaces is how many free places an engine's whole memory is worth.
const crowdingPlaces = 24

// Place gives waiting items places at engines.
//
// Load pattern: a step's items all come at once and take all places for a
// second or two, a second step may come with them, and the longest item takes
// nearly as long as the step may. So the item goes first that has the least
// time to spare: what is left until its step is due, less what it is expected
// to take. No more than its places are given to an engine, which would admit
// the rest in the order of arrival.
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
	// Items of different services don't wait for the same places.
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

// stepsOfServices returns the open steps, those of a service together.
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

// forgetRound lets go of what was of use in one round.
func (ta *Table) forgetRound() {
	for _, sr := range ta.order {
		sr.round, sr.seats = nil, nil
	}
}

// dropQueues forgets the order by time to spare while the room decides.
func (pl *placing) dropQueues() {
	for _, sr := range pl.steps {
		sr.queue.drop()
	}
}

// listening reports whether a new scheduler still waits to hear from engines.
//
// Items that run at engines, or have ended there, look as if they waited until
// their attendants have answered. Placed at once, they would run a second time
// from the start, and the text that is there would be thrown away.
func (ta *Table) listening(now time.Time) bool {
	if ta.begun.IsZero() {
		ta.begun, ta.savedAt = now, now
	}
	if now.Sub(ta.begun) > listenTime {
		return false
	}
	return slices.ContainsFunc(ta.sorted, func(en *engineRow) bool { return en.heardAt.IsZero() && !en.gone })
}

// listenTime bounds how long a new scheduler waits: three exchanges.
const listenTime = 500 * time.Millisecond

// timeToSpare returns how long an item can wait and still end when its step is
// due. An item that is to be scored must be whole sooner.
func (ir *itemRow) timeToSpare(now time.Time) time.Duration {
	spare := ir.step.step.Due - ir.step.age(now) - ir.expectedTime()
	if ir.item.Reward != nil {
		spare -= ir.step.rewards.expected()
	}
	return spare
}

// usualTokenTime is what a token is taken to need before engines have shown their pace.
const usualTokenTime = 630 * time.Microsecond

// expectedTime returns how long the rest of an item is expected to take.
func (ir *itemRow) expectedTime() time.Duration {
	each := ir.step.tokenTime
	if each <= 0 {
		each = usualTokenTime
	}
	return time.Duration(ir.left()) * each
}

// left returns how many tokens an item is expected to need still. Hints are
// right at the median and often far off: an item that has passed its hint is
// one of those that last, and is expected to need as much again.
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

// start gives an item a place.
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
	en.adjustMemo(ir, 1)
	ta.log("item placed", map[string]any{
		"after": len(ir.events), attemptField: ta.attempt, "bound": ir.item.Tokens - ir.item.Prompt, engineField: en.id,
		"free": en.free(), "hint": ir.item.Hint, itemField: ir.item.ID, "known": ir.known,
		"report-ms": now.Sub(en.heardAt).Milliseconds(), stepField: ir.step.step.ID, "version": version,
		"waited-ms": waited.Milliseconds(),
	})
}

// DropExpired gives items up that may no longer be waited for.
func (ta *Table) DropExpired(now time.Time) {
	for _, sr := range ta.order {
		if sr.step.MaxWait <= 0 || sr.age(now) < sr.step.MaxWait+giveUpSlack {
			continue
		}
		for _, ir := range sr.items {
			if ir.open() {
				ta.release(ir)
				ta.markLost(ir, "waited too long", now)
			}
		}
	}
}

// giveUpSlack is how much longer an item is waited for than it must be. The
// service may hold a step for as long before the scheduler learns of it.
const giveUpSlack = 3 * time.Second
