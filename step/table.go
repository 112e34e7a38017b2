package step

import (
	"slices"
	"time"

	"wisteriacroft/hold"
	"wisteriacroft/overload"
	"wisteriacroft/runner"
)

// A Table holds the open steps and the engines, and makes all scheduling decisions. It is not
// safe for concurrent use. Create one with NewTable.
type Table struct {
	attempt       uint64    // of the newest run
	placingSince  time.Time // start of placement
	engines       map[string]*engineRow
	formerEngines map[string]time.Time     // when engines left, by ID
	sortedEngines []*engineRow             // engines by ID, for deterministic decisions
	abandonAges   map[string]time.Duration // age at which a trainer ended an incomplete step, by trainer
	plannedAt     time.Time
	servicePlans  map[string]*servicePlan // by service
	policy        overload.Discipline     // of all services
	// scoreFunc returns the score of an engine for an item; nil means the default score.
	scoreFunc    func(en *engineRow, ir *itemRow, now time.Time) float64
	paceRound    int         // incremented when cached paces of engines expire
	staleGroups  []*groupRow // groups with outdated summaries
	epoch        uint64
	holds        *hold.Set // of operators; may be nil
	ignoreShares bool      // disables ranks of customers, for comparison in tests
	// knownLengths are lower bounds of the events of items of ended steps, whose groups may be
	// requested again.
	knownLengths map[itemKey]minLength
	// reusableItems holds items of ended steps, whose texts are reused if their groups are requested
	// again.
	reusableItems map[itemKey]*itemRow
	requests      uint64 // number of requests to attendants
	// exchangeStretch is the factor by which exchanges without news are put off; 0 stands for 1.
	exchangeStretch float64
	// launchesHeld means that no launch is sent, as the steps of the items may have ended unnoticed. A
	// launch that no attendant has confirmed would otherwise be sent again and again.
	launchesHeld bool
	rewards      *rewardEstimator
	usage        customerUsage
	steps        map[string]*stepRow
	// unscored are the items in state scoring.
	unscored       map[*itemRow]bool
	stoppedItems   []*itemRow        // moving items whose runs have stopped
	writeUrgent    bool              // everything that some trainer waits for is complete
	openSteps      []*stepRow        // open steps by acceptance
	newestVersions map[string]uint64 // newest version of each model
	log            func(event string, fields map[string]any)
	demand         map[string]float64         // moving average of the tokens of a step, by model
	garbageKeys    []string                   // keys to delete
	endedSteps     []*Step                    // ended steps, to be stored without their items
	estimators     map[string]*tokenEstimator // by model
	// estimateChanges counts changes of the estimates of all models.
	estimateChanges estimateChanges
	savedAt         time.Time                // when checkpoints were last made
	medianBases     map[string]time.Duration // median base pace, by service
	bestBases       map[string]time.Duration // base pace of the fastest engine, by service
	medianPaces     map[string]time.Duration // median pace, by service
}

// attemptBits is the number of low bits of an attempt that are counted within an epoch.
const attemptBits = 32

// NewTable returns an empty table. It calls log, if not nil, for each decision.
func NewTable(epoch uint64, log func(event string, fields map[string]any)) *Table {
	if log == nil {
		log = func(string, map[string]any) {}
	}
	ta := &Table{
		attempt: epoch << attemptBits, epoch: epoch, log: log, rewards: &rewardEstimator{},
		medianBases: map[string]time.Duration{}, bestBases: map[string]time.Duration{}, demand: map[string]float64{},
		engines: map[string]*engineRow{}, formerEngines: map[string]time.Time{}, estimators: map[string]*tokenEstimator{},
		knownLengths: map[itemKey]minLength{}, newestVersions: map[string]uint64{}, medianPaces: map[string]time.Duration{},
		abandonAges: map[string]time.Duration{}, reusableItems: map[itemKey]*itemRow{}, servicePlans: map[string]*servicePlan{},
		steps: map[string]*stepRow{}, unscored: map[*itemRow]bool{},
	}
	return ta
}

// SetEpoch continues under a new epoch. Attendants treat it as a new scheduler, so all
// acknowledgements and orders are sent again.
func (ta *Table) SetEpoch(epoch uint64) {
	ta.epoch, ta.attempt = epoch, epoch<<attemptBits
	for _, en := range ta.engines {
		for _, ir := range en.items {
			ir.run.acked = 0
		}
		for _, ir := range en.retained {
			ir.run.ackedEnd, ir.run.storedScore = false, ""
		}
		if en.order != nil {
			or := *en.order
			or.Fence = epoch
			en.order, en.orderAcked = &or, false
		}
	}
}

// age returns the time since this scheduler first saw the step.
//
// The time of acceptance is by the wall clock of another instance, which may be far off and
// let items expire too early.
func (sr *stepRow) age(now time.Time) time.Duration { return now.Sub(sr.seenAt) }

// A StoredStep is the stored progress of a step.
type StoredStep struct {
	Checkpoints []Checkpoint
	Listed      [][]Result // by chunk; nil if Marked is set
	Marked      [][]string // item IDs by chunk, from the manifests
}

// Accept adds a step with its stored progress. It ignores a step that is there already.
func (ta *Table) Accept(st *Step, ss StoredStep, ended bool, now time.Time) {
	if _, ok := ta.steps[st.ID]; ok {
		return
	}
	estimator := ta.estimators[st.Model]
	if estimator == nil {
		estimator = &tokenEstimator{changes: &ta.estimateChanges}
		ta.estimators[st.Model] = estimator
	}
	sr := &stepRow{
		listedSignal: make(chan struct{}), ended: ended, estimator: estimator, groups: map[string]*groupRow{}, idle: ended, rewards: ta.rewards,
		seenAt: now, step: st,
	}
	ta.steps[st.ID] = sr
	listed := sr.restoreListed(ss)
	if ended {
		ta.dropItems(sr)
		return
	}
	for i := range st.Items {
		it := &st.Items[i]
		ir := &itemRow{
			index: i, item: it,
			knownEvents: ta.knownLengths[st.itemKey(it)].events, stateSince: now, step: sr,
		}
		sr.items = append(sr.items, ir)
		gr := sr.groups[it.Group]
		if gr == nil {
			gr = &groupRow{step: sr}
			sr.groups[it.Group] = gr
			sr.groupList = append(sr.groupList, gr)
		}
		sr.interleaved = sr.interleaved || gr != sr.groupList[len(sr.groupList)-1]
		sr.waitingCount++
		ir.group = gr
		gr.items = append(gr.items, ir)
		gr.markStale(ta)
		gr.openItems++
		gr.recurring = gr.recurring || ir.knownEvents > 0
		if listed[it.ID] {
			ir.listed = true
			ta.finish(ir, complete, now)
			continue
		}
		ta.reuseText(ir, now)
	}
	sr.restore(ss.Checkpoints)
	ta.observeDemand(st)
	ta.openSteps = append(ta.openSteps, sr)
	ta.markPlanStale(st.Service)
	slices.SortStableFunc(ta.openSteps, func(a, b *stepRow) int { return a.step.Accepted.Compare(b.step.Accepted) })
	ta.log("step accepted", map[string]any{
		customerField: st.Customer, "due-ms": st.Due.Milliseconds(), "groups": len(sr.groups), "items": len(st.Items), "listed": sr.listedCount(),
		"min-version": st.MinVersion, "model": st.Model,
		"number": st.Number, stepField: st.ID, "target": st.Groups,
	})
}

// allows reports whether the step allows the versions of a text's events.
func (st *Step) allows(evs []runner.Event) bool {
	for i, ev := range evs {
		if ev.Version < st.MinVersion || ev.Version == 0 || st.SingleVersion && ev.Version != evs[max(i-1, 0)].Version {
			return false
		}
	}
	return true
}

// finish sets the final state of an item, and updates its group.
func (ta *Table) finish(ir *itemRow, state itemState, now time.Time) {
	ta.releaseReserved(ir)
	delete(ta.unscored, ir)
	ta.setState(ir, state)
	ir.doneAt = now
	ir.measureText()
	gr := ir.step.groups[ir.item.Group]
	gr.openItems--
	if gr.openItems == 0 {
		if ir.step.age(now) <= ir.step.step.Due {
			ir.step.servedAt = now
		}
		ta.writeUrgent = ta.writeUrgent || ir.step.satisfied()
	}
}

// End ends a step: its runs stop, and no more results are listed.
func (ta *Table) End(id string) {
	sr, ok := ta.steps[id]
	if !ok || sr.ended {
		return
	}
	ta.recordAbandonAge(sr, ta.plannedAt)
	sr.ended, sr.idle = true, true
	ta.log("step ended", map[string]any{"listed": sr.listedCount(), stepField: id, "total": sr.step.Total()})
	for _, ir := range sr.items {
		ta.releaseRun(ir)
		ta.releaseReserved(ir)
		ta.recordLength(ir)
		delete(ta.unscored, ir)
		if ir.state == scoring {
			ta.log("reward call dropped", map[string]any{
				callField: ir.item.Reward.ID, itemField: ir.item.ID, "sent": ir.reward.calls, stepField: id, whyField: "step ended",
			})
		}
		if len(ir.events) > 0 && ir.state != lost && sr.groups[ir.item.Group].openItems > 0 {
			ta.reusableItems[ir.key()] = ir
		}
	}
	for number := range sr.checkpoints {
		ta.garbageKeys = append(ta.garbageKeys, checkpointKey(id, number))
	}
	sr.notifyReaders()
	sr.items, sr.groups, sr.groupList = nil, nil, nil
	sr.queue.drop()
	ta.markPlanStale(sr.step.Service)
	ta.dropItems(sr)
	ta.openSteps = slices.DeleteFunc(ta.openSteps, func(other *stepRow) bool { return other == sr })
}

// dropItems drops the items of a step that has ended, in memory and, with the next write, in the
// key-value service.
func (ta *Table) dropItems(sr *stepRow) {
	if !sr.step.Cut {
		sr.step = sr.step.withoutItems()
		ta.endedSteps = append(ta.endedSteps, sr.step)
	}
}

// notifyReaders notifies readers that wait for results.
func (sr *stepRow) notifyReaders() {
	close(sr.listedSignal)
	sr.listedSignal = make(chan struct{})
}

// releaseRun removes an item's run from its engine, and makes the attendant forget it.
func (ta *Table) releaseRun(ir *itemRow) {
	if ir.run.engineID == "" {
		return
	}
	if en, ok := ta.engines[ir.run.engineID]; ok {
		delete(en.items, ir.run.key)
		delete(en.retained, ir.run.key)
		en.invalidateMemo()
		en.toForget[ir.run.key] = true
	}
	ir.run = run{}
}

// retainRun removes a complete item's run from its engine, but lets the attendant retain the text
// until it is listed.
//
// Otherwise, in an outage of the key-value service, the only copy would be in this scheduler's
// memory, and the next scheduler would have to generate it again.
func (ta *Table) retainRun(ir *itemRow) {
	en := ta.engines[ir.run.engineID]
	if en == nil {
		return
	}
	delete(en.items, ir.run.key)
	en.invalidateMemo()
	en.retained[ir.run.key] = ir
}

// forgetRun lets the attendant forget the retained run of an item, if any.
func (ta *Table) forgetRun(ir *itemRow) {
	if en := ta.engines[ir.run.engineID]; en != nil && en.retained[ir.run.key] == ir {
		delete(en.retained, ir.run.key)
		en.toForget[ir.run.key] = true
	}
	ir.run = run{}
}

// takeUrgent reports whether everything that some trainer waits for has become complete since
// the last call, so that results should be listed at once.
func (ta *Table) takeUrgent() bool {
	urgent := ta.writeUrgent
	ta.writeUrgent = false
	return urgent
}

// HasOpenWork reports whether any step is open.
func (ta *Table) HasOpenWork() bool { return len(ta.openSteps) > 0 }
