package step

import (
	"slices"
	"time"

	"wisteriacroft/hold"
	"wisteriacroft/overload"
	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
)

// A Table holds the steps that are open and the engines that run them. Its
// systems decide; what they decide is read off the rows. NewTable makes one.
type Table struct {
	attempt   uint64    // of the newest run
	begun     time.Time // of placing
	engines   map[string]*engineRow
	former    map[string]time.Time     // engines whose entries are gone, since when
	sorted    []*engineRow             // engines by ID, so that equal loads are decided equally
	gaveUp    map[string]time.Duration // age at which a trainer ended a step that was not whole
	plannedAt time.Time
	rooms     map[string]*room    // by service
	way       overload.Discipline // of all rooms
	// rank tells how good engines are for an item; nil goes by all that is known of them.
	rank      func(en *engineRow, ir *itemRow, now time.Time) float64
	paceRound int         // number of the round in which engines' paces are held
	stale     []*groupRow // whose items have changed since they were gathered
	epoch     uint64
	holds     *hold.Set // of operators; nil holds nothing
	anyShare  bool      // customers aren't ranked, as measurements compare with
	// lengths are the most events that items of ended steps are known to have:
	// groups that come again bring the items that last longest.
	lengths map[itemKey]minLength
	// reuse keeps the text of items of ended steps, since their groups may
	// come again in a later step.
	reuse      map[itemKey]*itemRow
	quarantine *quarantine.Table // of items under which engines ended
	requests   uint64            // made to attendants
	rewards    *rewardEstimator
	share      fairShare
	steps      map[string]*stepRow
	trials     trials // of items under which engines ended
	// unscored are the items whose whole texts wait for their scores.
	unscored map[*itemRow]bool
	stopped  []*itemRow        // whose runs have stopped, to go on elsewhere
	urgent   bool              // a trainer waits for no more than is whole
	order    []*stepRow        // open steps by acceptance
	named    map[string]uint64 // newest version of each model
	log      func(event string, fields map[string]any)
	demand   map[string]float64     // work of a model's step, in tokens
	garbage  []string               // keys to remove
	cuts     []*Step                // that have ended, to be kept without their items
	gauges   map[string]*tokenGauge // by model
	// gaugeChanges counts the changes of all gauges' estimates.
	gaugeChanges gaugeChanges
	savedAt      time.Time                // when checkpoints were last made
	bases        map[string]time.Duration // base of the median engine, by service
	bests        map[string]time.Duration // base of the fastest engine, by service
	paces        map[string]time.Duration // of the median engine, by service
}

// attemptBits is the part of an attempt's number that counts within an epoch.
const attemptBits = 32

// NewTable returns the empty table of an epoch. Log gets a line for each
// decision; nil logs nothing.
func NewTable(epoch uint64, log func(event string, fields map[string]any)) *Table {
	if log == nil {
		log = func(string, map[string]any) {}
	}
	ta := &Table{
		attempt: epoch << attemptBits, epoch: epoch, log: log, quarantine: &quarantine.Table{}, rewards: &rewardEstimator{},
		bases: map[string]time.Duration{}, bests: map[string]time.Duration{}, demand: map[string]float64{},
		engines: map[string]*engineRow{}, former: map[string]time.Time{}, gauges: map[string]*tokenGauge{},
		lengths: map[itemKey]minLength{}, named: map[string]uint64{}, paces: map[string]time.Duration{},
		gaveUp: map[string]time.Duration{}, reuse: map[itemKey]*itemRow{}, rooms: map[string]*room{},
		steps: map[string]*stepRow{}, unscored: map[*itemRow]bool{},
	}
	return ta
}

// SetEpoch goes on under a new epoch. Attendants take it for that of a new scheduler, and
// are told anew of all that they were told.
func (ta *Table) SetEpoch(epoch uint64) {
	ta.epoch, ta.attempt = epoch, epoch<<attemptBits
	for _, en := range ta.engines {
		for _, ir := range en.items {
			ir.run.said = 0
		}
		for _, ir := range en.kept {
			ir.run.saidEnd, ir.run.saidScore = false, ""
		}
		if en.order != nil {
			or := *en.order
			or.Fence = epoch
			en.order, en.ordered = &or, false
		}
	}
}

// age returns for how long this scheduler has known the step.
//
// The time of acceptance is another instance's time of day, which may be far off: by it,
// items could be given up that have waited for a moment only. By this scheduler's own clock
// a step is never older than it is.
func (sr *stepRow) age(now time.Time) time.Duration { return now.Sub(sr.seenAt) }

// A StoredStep is what earlier schedulers kept of a step.
type StoredStep struct {
	Checkpoints []Checkpoint
	Listed      [][]Result // by chunk; nil if Marked tells their items
	Marked      [][]string
}

// Accept adds a step with what is kept of it.
func (ta *Table) Accept(st *Step, ke StoredStep, ended bool, now time.Time) {
	if _, ok := ta.steps[st.ID]; ok {
		return
	}
	gauge := ta.gauges[st.Model]
	if gauge == nil {
		gauge = &tokenGauge{changes: &ta.gaugeChanges}
		ta.gauges[st.Model] = gauge
	}
	sr := &stepRow{
		changed: make(chan struct{}), ended: ended, gauge: gauge, groups: map[string]*groupRow{}, idle: ended, rewards: ta.rewards,
		seenAt: now, step: st,
	}
	ta.steps[st.ID] = sr
	listed := sr.takeKept(ke)
	if ended {
		ta.cut(sr)
		return
	}
	for i := range st.Items {
		it := &st.Items[i]
		ir := &itemRow{
			digest: quarantine.DigestOfItem(st.Customer, st.Host, it.ID, it.Path, it.Body), index: i, item: it,
			known: ta.lengths[st.itemKey(it)].events, since: now, step: sr,
		}
		sr.items = append(sr.items, ir)
		gr := sr.groups[it.Group]
		if gr == nil {
			gr = &groupRow{step: sr}
			sr.groups[it.Group] = gr
			sr.list = append(sr.list, gr)
		}
		sr.interleaved = sr.interleaved || gr != sr.list[len(sr.list)-1]
		sr.waits++
		ir.group = gr
		gr.items = append(gr.items, ir)
		gr.markStale(ta)
		gr.left++
		gr.again = gr.again || ir.known > 0
		if listed[it.ID] {
			ir.listed = true
			ta.finish(ir, complete, now)
			continue
		}
		ta.reuseText(ir, now)
	}
	sr.restore(ke.Checkpoints)
	ta.observeDemand(st)
	ta.order = append(ta.order, sr)
	ta.staleRoom(st.Service)
	slices.SortStableFunc(ta.order, func(a, b *stepRow) int { return a.step.Accepted.Compare(b.step.Accepted) })
	ta.log("step accepted", map[string]any{
		customerField: st.Customer, "due-ms": st.Due.Milliseconds(), "groups": len(sr.groups), "items": len(st.Items), "listed": sr.listedCount(),
		"min-version": st.MinVersion, "model": st.Model,
		"number": st.Number, stepField: st.ID, "target": st.Groups,
	})
}

// fits reports whether a step may have a text.
func (st *Step) fits(evs []runner.Event) bool {
	for i, ev := range evs {
		if ev.Version < st.MinVersion || ev.Version == 0 || st.SingleVersion && ev.Version != evs[max(i-1, 0)].Version {
			return false
		}
	}
	return true
}

// finish moves an item to its last state, and notes when its group is whole.
func (ta *Table) finish(ir *itemRow, state itemState, now time.Time) {
	ta.unreserve(ir)
	delete(ta.unscored, ir)
	ta.become(ir, state)
	ir.doneAt = now
	ir.measureText()
	gr := ir.step.groups[ir.item.Group]
	gr.left--
	if gr.left == 0 {
		if ir.step.age(now) <= ir.step.step.Due {
			ir.step.servedAt = now
		}
		ta.urgent = ta.urgent || ir.step.satisfied()
	}
}

// End ends a step: its items stop, and nothing more is listed.
func (ta *Table) End(id string) {
	sr, ok := ta.steps[id]
	if !ok || sr.ended {
		return
	}
	ta.noteGivenUp(sr, ta.plannedAt)
	sr.ended, sr.idle = true, true
	ta.log("step ended", map[string]any{"listed": sr.listedCount(), stepField: id, "total": sr.step.Total()})
	for _, ir := range sr.items {
		ta.release(ir)
		ta.unreserve(ir)
		ta.recordLength(ir)
		delete(ta.unscored, ir)
		if ir.state == scoring {
			ta.log("reward call dropped", map[string]any{
				callField: ir.item.Reward.ID, itemField: ir.item.ID, "sent": ir.reward.calls, stepField: id, whyField: "step ended",
			})
		}
		if len(ir.events) > 0 && ir.state != lost && sr.groups[ir.item.Group].left > 0 {
			ta.reuse[ir.key()] = ir
		}
	}
	for number := range sr.checkpoints {
		ta.garbage = append(ta.garbage, checkpointKey(id, number))
	}
	sr.wake()
	sr.items, sr.groups, sr.list = nil, nil, nil
	sr.queue.drop()
	ta.staleRoom(sr.step.Service)
	ta.cut(sr)
	ta.order = slices.DeleteFunc(ta.order, func(other *stepRow) bool { return other == sr })
}

// cut drops the items of a step that has ended, here and where it is kept.
func (ta *Table) cut(sr *stepRow) {
	if !sr.step.Cut {
		sr.step = sr.step.cut()
		ta.cuts = append(ta.cuts, sr.step)
	}
}

// wake tells whoever waits for results.
func (sr *stepRow) wake() {
	close(sr.changed)
	sr.changed = make(chan struct{})
}

// release takes an item off its engine, whose attendant forgets the run.
func (ta *Table) release(ir *itemRow) {
	if ir.run.engine == "" {
		return
	}
	if en, ok := ta.engines[ir.run.engine]; ok {
		delete(en.items, ir.run.key)
		delete(en.kept, ir.run.key)
		en.invalidateMemo()
		en.forget[ir.run.key] = true
	}
	ir.run = run{}
}

// keep takes an item that is whole off its engine, whose attendant holds the
// text until it is listed.
//
// Results can't be listed while the key-value service is away. Forgotten by the
// attendant, the text would be in this scheduler's memory alone, and made again
// by the next one.
func (ta *Table) keep(ir *itemRow) {
	en := ta.engines[ir.run.engine]
	if en == nil {
		return
	}
	delete(en.items, ir.run.key)
	en.invalidateMemo()
	en.kept[ir.run.key] = ir
}

// letGo lets the attendant forget an item's run, if it holds one.
func (ta *Table) letGo(ir *itemRow) {
	if en := ta.engines[ir.run.engine]; en != nil && en.kept[ir.run.key] == ir {
		delete(en.kept, ir.run.key)
		en.forget[ir.run.key] = true
	}
	ir.run = run{}
}

// requeue lets an item wait for a place again.
func (ta *Table) requeue(ir *itemRow, why string, now time.Time) {
	ta.log("run given up", map[string]any{
		attemptField: ir.run.key.Attempt, engineField: ir.run.engine, "events": len(ir.events), itemField: ir.item.ID,
		stepField: ir.step.step.ID, whyField: why,
	})
	ir.unwanted = ir.run.engine
	if ir.target != "" {
		ta.stopped = append(ta.stopped, ir)
	}
	ta.release(ir)
	ta.become(ir, waiting)
	ir.since = now
}

// placeStopped starts the items whose runs have stopped at the engines that keep places for
// them, and returns the engines. Other items that wait are placed at the next tick: if they
// were placed after each run that stopped, some would go to an engine that has just refused
// them.
func (ta *Table) placeStopped(now time.Time) []string {
	var engines []string
	for _, ir := range ta.stopped {
		en := ta.engines[ir.target]
		if ir.state != waiting || en == nil || ta.listening(now) || ta.tried(ir, now) || ta.trials.tries(en.id, now) {
			continue
		}
		if ta.unreserve(ir); en.free() > 0 && ta.usable(en, ir) {
			ta.start(ir, en, now)
			engines = append(engines, en.id)
		}
	}
	ta.stopped = nil
	return engines
}

// takeUrgent reports, once, that a trainer has come to wait for no more than is
// whole: a listing is worth looking for at once.
func (ta *Table) takeUrgent() bool {
	urgent := ta.urgent
	ta.urgent = false
	return urgent
}

// HasOpenWork reports whether any step has items to run or list.
func (ta *Table) HasOpenWork() bool { return len(ta.order) > 0 }
