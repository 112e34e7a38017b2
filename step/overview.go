package step

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/overview"
)

// An OverviewRequest requests a overview.Overview.
type OverviewRequest struct {
	Rows int // maximum length of each list; 0 stands for overview.DefaultRows
}

// overview returns an overview of the load. It holds the lock only while it copies the rows, so that overviews don't
// delay placement.
func (sc *Scheduler) overview(_ context.Context, rq OverviewRequest) (overview.Overview, error) {
	begun := time.Now()
	sn, err := sc.snapshot(begun)
	if err != nil {
		return overview.Overview{}, err
	}
	copied := time.Since(begun)
	ov := overview.Summarize(sn, rq.Rows)
	sc.Metrics.GetOrCreateHistogram(`wisteriacroft_overview_seconds`).UpdateDuration(begun)
	sc.Log.WithFields(logrus.Fields{
		"copied-us": copied.Microseconds(), "engines": len(sn.Engines), "steps": len(sn.Steps), "us": time.Since(begun).Microseconds(),
	}).Info("overview made")
	return ov, nil
}

// snapshot copies the input of an overview.
func (sc *Scheduler) snapshot(now time.Time) (overview.Snapshot, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te, err := sc.current()
	if err != nil {
		return overview.Snapshot{}, err
	}
	return te.table.Snapshot(now.Sub(te.polledAt), now), nil
}

// Snapshot returns the input of an overview of the load. The key-value service last answered storeHeard ago.
func (ta *Table) Snapshot(storeHeard time.Duration, now time.Time) overview.Snapshot {
	sn := overview.Snapshot{Epoch: ta.epoch, Holds: ta.holds.Records(), Now: now, Shares: ta.customerShares(now), StoreHeard: storeHeard}
	paces := map[string]time.Duration{} // time per event at each engine under its present runs
	for _, en := range ta.sortedEngines {
		sn.Engines = append(sn.Engines, ta.engineLoad(en, now))
		paces[en.id] = ta.expectedPace(en, nil)
	}
	storeAway := storeHeard >= intakeWait+intakeSlack
	for _, sr := range ta.openSteps {
		sn.Steps = append(sn.Steps, ta.stepLoad(sr, paces, storeAway, now))
	}
	return sn
}

// customerShares returns the recent share and the rank of each customer.
func (ta *Table) customerShares(now time.Time) map[string]overview.Share {
	shares := map[string]overview.Share{}
	for customer, had := range ta.RecentShares(now) {
		shares[customer] = overview.Share{Had: had}
	}
	for customer, st := range ta.Balances() {
		sh := shares[customer]
		sh.Ahead, sh.Rank = st.Ahead, st.Rank
		shares[customer] = sh
	}
	return shares
}

// engineLoad returns the load of an engine.
func (ta *Table) engineLoad(en *engineRow, now time.Time) overview.Engine {
	held, _ := en.memoryUse()
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

// engineState returns the most serious condition of an engine.
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

// stepLoad returns the load of a step.
func (ta *Table) stepLoad(sr *stepRow, paces map[string]time.Duration, storeAway bool, now time.Time) overview.StepRow {
	st := sr.step
	_, held := ta.holds.Step(st.ID, st.Customer)
	lo := overview.StepRow{Service: st.Service, Step: overview.Step{
		Age: sr.age(now), Customer: st.Customer, Due: st.Due, Held: held, ID: st.ID, Model: st.Model, Wanted: min(st.Groups, len(sr.groups)),
	}}
	broken := map[string]bool{} // groups with a lost item
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
			held, _ := ir.tokenUse()
			lo.Tokens += held
		}
		if !ir.open() || broken[ir.item.Group] {
			continue
		}
		if ir.state == waiting && wait == "" {
			wait = ta.engineWaitReason(ir, storeAway)
		}
		lo.Open = append(lo.Open, ta.itemLoad(ir, paces, wait, now))
	}
	return lo
}

// countItem counts an item by its state.
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

// itemLoad returns the load of an open item. wait is the result of engineWaitReason for its step.
func (ta *Table) itemLoad(ir *itemRow, paces map[string]time.Duration, wait overview.Reason, now time.Time) overview.ItemRow {
	lo := overview.ItemRow{Group: ir.item.Group, Left: ir.expectedTime(), Turn: ta.placingRank(ir, now)}
	switch ir.state {
	case running:
		lo.Engine, lo.Stand = ir.run.engineID, overview.ItemRunning
		if pace := paces[ir.run.engineID]; pace > 0 {
			lo.Left = max(ir.remainingAt(pace, now), 0)
		}
	case scoring:
		lo.Left, lo.Stand = ir.step.rewards.expected(), overview.ItemScoring
	default:
		lo.Wait = ta.itemWaitReason(ir, wait, now)
	}
	return lo
}

// placingRank returns an item's rank in the order of placement, lowest first: its slack or, under overload, the
// position of its group, with groups that can't be in time last.
func (ta *Table) placingRank(ir *itemRow, now time.Time) time.Duration {
	if !ta.overloaded(ir.step.step.Service) {
		return ir.slack(now)
	}
	turn := time.Duration(ir.group.plan.Position())
	if !ir.group.plan.InTime() {
		turn += math.MaxInt32
	}
	return turn
}

// itemWaitReason returns what an item waits for.
func (ta *Table) itemWaitReason(ir *itemRow, wait overview.Reason, now time.Time) overview.Reason {
	switch {
	case ta.held(ir):
		return overview.HeldByOperator
	case wait == overview.ToBePlaced && now.Sub(ir.stateSince) > maxPlacingDelay:
		return overview.HeldBack
	case (wait == overview.NoPlace || wait == overview.NoMemory) && ta.overloaded(ir.step.step.Service) && !ir.group.plan.InTime():
		return overview.HeldBack
	default:
		return wait
	}
}

// maxPlacingDelay is how long an item waits for a free slot before the reason is that other items go first.
const maxPlacingDelay = 4 * tickInterval

// engineWaitReason returns the condition of the engines that prevents an item's placement, for the engine that is
// closest to accepting it. It is the same for all items of a step, unless each is bound to one version.
func (ta *Table) engineWaitReason(ir *itemRow, storeAway bool) overview.Reason {
	if storeAway {
		return overview.StoreAway
	}
	found, wait := 0, overview.NoEngine
	better := func(rank int, why overview.Reason) { // higher ranks are closer to accepting the item
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
