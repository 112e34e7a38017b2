package step

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/overview"
)

// An OverviewRequest asks how the load stands.
type OverviewRequest struct {
	Rows int // of each list at most; 0 stands for the default
}

// overview returns how the load stands. Only copying the rows holds the lock; the rest works
// on the copy, so that requests for overviews don't delay placing.
func (sc *Scheduler) overview(_ context.Context, rq OverviewRequest) (overview.Overview, error) {
	begun := time.Now()
	si, err := sc.situation(begun)
	if err != nil {
		return overview.Overview{}, err
	}
	copied := time.Since(begun)
	ov := overview.Summarize(si, rq.Rows)
	sc.Metrics.GetOrCreateHistogram(`wisteriacroft_overview_seconds`).UpdateDuration(begun)
	sc.Log.WithFields(logrus.Fields{
		"copied-us": copied.Microseconds(), "engines": len(si.Engines), "steps": len(si.Steps), "us": time.Since(begun).Microseconds(),
	}).Info("overview of the load")
	return ov, nil
}

// situation copies what an overview is made of.
func (sc *Scheduler) situation(now time.Time) (overview.Snapshot, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te, err := sc.current()
	if err != nil {
		return overview.Snapshot{}, err
	}
	return te.table.Situation(now.Sub(te.polledAt), now), nil
}

// Situation returns what an overview of the load is made of. The key-value service last
// answered storeHeard ago.
func (ta *Table) Situation(storeHeard time.Duration, now time.Time) overview.Snapshot {
	si := overview.Snapshot{Epoch: ta.epoch, Holds: ta.holds.Records(), Now: now, Shares: ta.customerShares(now), StoreHeard: storeHeard}
	paces := map[string]time.Duration{} // of an event beside what the engine runs
	for _, en := range ta.sortedEngines {
		si.Engines = append(si.Engines, ta.engineLoad(en, now))
		paces[en.id] = ta.expectedPace(en, nil)
	}
	away := storeHeard >= intakeWait+intakeSlack
	for _, sr := range ta.openSteps {
		si.Steps = append(si.Steps, ta.stepLoad(sr, paces, away, now))
	}
	return si
}

// customerShares returns which part of the places customers had, and how they rank.
func (ta *Table) customerShares(now time.Time) map[string]overview.Share {
	shares := map[string]overview.Share{}
	for customer, had := range ta.Parts(now) {
		shares[customer] = overview.Share{Had: had}
	}
	for customer, st := range ta.Shares() {
		sh := shares[customer]
		sh.Ahead, sh.Rank = st.Ahead, st.Rank
		shares[customer] = sh
	}
	return shares
}

// engineLoad returns how an engine stands.
func (ta *Table) engineLoad(en *engineRow, now time.Time) overview.Engine {
	held, _ := en.memory()
	le := overview.Engine{
		Address: en.endpoint, Heard: -1, ID: en.id, Median: ta.medianPaces[en.service], Memory: en.tokens, Others: en.foreignRequests,
		Places: en.slots, Runs: len(en.items) + len(en.incoming), Service: en.service, State: ta.engineState(en, now), Tokens: held,
	}
	if !en.respondedAt.IsZero() {
		le.Heard = now.Sub(en.respondedAt)
	}
	if en.report.PaceGaps >= paceGaps {
		le.Pace = en.report.Pace
	}
	return le
}

// engineState says what is the matter with an engine.
func (ta *Table) engineState(en *engineRow, now time.Time) overview.State {
	_, drained := ta.holds.Endpoint(en.id, en.endpoint)
	switch {
	case en.replaced:
		return overview.Gone
	case en.respondedAt.IsZero(), now.Sub(en.respondedAt) > responseTimeout:
		return overview.Silent
	case en.unreachable:
		return overview.Sick
	case drained:
		return overview.Drained
	case en.leaving:
		return overview.Leaving
	case en.slow(now):
		return overview.Slow
	case en.order != nil, en.report.Busy:
		return overview.Loading
	default:
		return overview.Serving
	}
}

// stepLoad returns how a step stands.
func (ta *Table) stepLoad(sr *stepRow, paces map[string]time.Duration, away bool, now time.Time) overview.StepRow {
	st := sr.step
	_, held := ta.holds.Step(st.ID, st.Customer)
	lo := overview.StepRow{Service: st.Service, Step: overview.Step{
		Age: sr.age(now), Customer: st.Customer, Due: st.Due, Held: held, ID: st.ID, Model: st.Model, Wanted: min(st.Groups, len(sr.groups)),
	}}
	broken := map[string]bool{} // groups of which an item was given up
	for _, ir := range sr.items {
		broken[ir.item.Group] = broken[ir.item.Group] || ir.state == lost
	}
	for group, gr := range sr.groups {
		if gr.openItems == 0 && !broken[group] {
			lo.Whole++
		}
	}
	wait := overview.Reason("")
	lo.Open = make([]overview.ItemRow, 0, len(sr.items))
	for _, ir := range sr.items {
		countItem(&lo.Items, ir)
		if ir.state == running {
			held, _ := ir.holds()
			lo.Tokens += held
		}
		if !ir.open() || broken[ir.item.Group] {
			continue
		}
		if ir.state == waiting && wait == "" {
			wait = ta.engineWait(ir, away)
		}
		lo.Open = append(lo.Open, ta.itemLoad(ir, paces, wait, now))
	}
	return lo
}

// countItem counts an item by where it stands.
func countItem(it *overview.Items, ir *itemRow) {
	switch ir.state {
	case waiting:
		it.Waiting++
	case running:
		it.Running++
	case scoring:
		it.Scoring++
	case complete:
		it.Whole++
	case lost:
		it.Lost++
	}
	if ir.listed {
		it.Listed++
	}
}

// itemLoad returns how an item stands that is not whole. Wait is what the engines make
// the items of its step wait for.
func (ta *Table) itemLoad(ir *itemRow, paces map[string]time.Duration, wait overview.Reason, now time.Time) overview.ItemRow {
	lo := overview.ItemRow{Group: ir.item.Group, Left: ir.expectedTime(), Turn: ta.turn(ir, now)}
	switch ir.state {
	case running:
		lo.Engine, lo.Stand = ir.run.engineID, overview.ItemRunning
		if pace := paces[ir.run.engineID]; pace > 0 {
			lo.Left = max(ir.runsAt(pace, now), 0)
		}
	case scoring:
		lo.Left, lo.Stand = ir.step.rewards.usual(), overview.ItemScoring
	default:
		lo.Wait = ta.itemWait(ir, wait, now)
	}
	return lo
}

// turn returns an item's place in the order of placing, the lowest first: its time to spare,
// or, while the room is crowded, its group's position, those without room last.
func (ta *Table) turn(ir *itemRow, now time.Time) time.Duration {
	if !ta.overloaded(ir.step.step.Service) {
		return ir.slack(now)
	}
	turn := time.Duration(ir.group.plan.Position())
	if !ir.group.plan.InTime() {
		turn += math.MaxInt32
	}
	return turn
}

// itemWait returns what an item waits for.
func (ta *Table) itemWait(ir *itemRow, wait overview.Reason, now time.Time) overview.Reason {
	switch {
	case ta.held(ir):
		return overview.HeldByOperator
	case ta.quarantined(ir, now):
		return overview.Quarantined
	case wait == overview.ToBePlaced && now.Sub(ir.stateSince) > placeSoon:
		return overview.HeldBack
	case (wait == overview.NoPlace || wait == overview.NoMemory) && ta.overloaded(ir.step.step.Service) && !ir.group.plan.InTime():
		return overview.HeldBack
	default:
		return wait
	}
}

// placeSoon is how long an item may wait beside free places before others were meant to
// go first.
const placeSoon = 4 * tickInterval

// engineWait returns what the engines make an item wait for, by the engine that is nearest
// to taking it. It is the same for all items of a step, unless each is bound to one version.
func (ta *Table) engineWait(ir *itemRow, away bool) overview.Reason {
	if away {
		return overview.StoreAway
	}
	found, wait := 0, overview.NoEngine
	better := func(rank int, why overview.Reason) { // the higher the rank, the nearer
		if rank > found {
			found, wait = rank, why
		}
	}
	st := ir.step.step
	for _, en := range ta.sortedEngines {
		version := en.versions[st.Model]
		switch {
		case en.service != st.Service:
		case !en.reachable():
			better(1, overview.NoneServes)
		case !ta.canRunItem(en, ir) && en.isLoading(st.Model) && version > 0:
			better(3, overview.WeightsLoad)
		case !ta.canRunItem(en, ir):
			better(2, overview.NoVersion)
		case en.freeSlots() <= 0:
			better(4, overview.NoPlace)
		case !en.hasMemoryFor(ir):
			better(5, overview.NoMemory)
		default:
			return overview.ToBePlaced
		}
	}
	return wait
}
