package step

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriacroft/incarnation"
	"wisteriacroft/runner"
)

// Bounds of what is believed of an engine.
const (
	// silentAfter is after how long without an answer of its attendant an
	// engine's runs go on elsewhere. Answers come each 100 to 200 ms.
	silentAfter = 1200 * time.Millisecond
	// formerTime is for how long an engine whose entry is gone is known to have come
	// before those that are there: an attendant may name it until a run ends at its
	// successor, which may have to wait for work. Without it, engines that came back
	// after a crash got none for good: on three days with four crashes each, 0.49 of
	// all work was served on the mean, and 0.87 with it.
	formerTime = 10 * time.Minute
	// failedFor is for how long an engine that broke a run gets no new ones
	// while others have places.
	failedFor = time.Second
)

// An EngineInfo is an engine as the directory knows it.
type EngineInfo struct {
	Address     string // of the attendant beside it
	ID          string
	Incarnation incarnation.Number // the start that its entry is of
	Leaving     bool
	Service     string
	Slots       int
	Tokens      int // memory
	Versions    map[string]uint64
}

// SetEngines takes the engines that are there in, and drops the others with
// their runs.
func (ta *Table) SetEngines(infos []EngineInfo, now time.Time) {
	present := map[string]bool{}
	for _, in := range infos {
		present[in.ID] = true
		en := ta.engines[in.ID]
		if en == nil {
			en = &engineRow{
				forget: map[runner.Key]bool{}, id: in.ID, items: map[runner.Key]*itemRow{}, joinedAt: now,
				coming: map[*itemRow]bool{}, kept: map[runner.Key]*itemRow{},
				versions: map[string]uint64{},
			}
			ta.engines[in.ID] = en
			ta.log("engine joined", map[string]any{engineField: in.ID, "service": in.Service})
		}
		en.address, en.service = in.Address, in.Service
		en.slots, en.tokens = in.Slots, in.Tokens
		en.leaving = in.Leaving
		ta.takeEntry(en, in)
	}
	for id, en := range ta.engines {
		if !present[id] {
			ta.drop(en, "engine is gone", now)
			delete(ta.engines, id)
			ta.former[id] = now
		}
	}
	maps.DeleteFunc(ta.former, func(id string, gone time.Time) bool { return present[id] || now.Sub(gone) > formerTime })
	ta.sorted = ta.sorted[:0]
	for _, id := range slices.Sorted(maps.Keys(ta.engines)) {
		ta.sorted = append(ta.sorted, ta.engines[id])
	}
}

// drop lets an engine's runs go on elsewhere.
func (ta *Table) drop(en *engineRow, why string, now time.Time) {
	for _, ir := range en.items {
		ta.requeue(ir, why, now)
	}
}

// SetVersion takes the newest version that was named for a model in.
func (ta *Table) SetVersion(model string, version uint64) {
	ta.named[model] = max(ta.named[model], version)
}

// Silence moves the runs of engines whose attendants have not answered for too
// long.
func (ta *Table) Silence(now time.Time) {
	for _, en := range ta.sorted {
		if len(en.items) > 0 && !en.heardAt.IsZero() && now.Sub(en.heardAt) > silentAfter {
			ta.drop(en, "attendant is silent", now)
		}
	}
}

// Request returns what an engine's attendant is to do.
func (ta *Table) Request(id string) (runner.ExchangeRequest, bool) {
	en, ok := ta.engines[id]
	if !ok {
		return runner.ExchangeRequest{}, false
	}
	ta.requests++
	rq := runner.ExchangeRequest{Await: en.await(), Endpoint: id, Epoch: ta.epoch, Number: ta.requests, Order: en.order}
	for key, ir := range en.items {
		if !ir.run.confirmed {
			rq.Launches = append(rq.Launches, ta.launch(ir))
			continue
		}
		if ir.run.said < len(ir.events)+1 {
			rq.Seen = append(rq.Seen, runner.Seen{Events: len(ir.events), Key: key})
		}
		if ir.run.stopping {
			rq.Stops = append(rq.Stops, key)
		}
	}
	for key, ir := range en.kept {
		if !ir.run.saidEnd || ir.run.saidScore != ir.reward.score {
			rq.Seen = append(rq.Seen, runner.Seen{Ended: true, Events: len(ir.events), Key: key, Score: ir.reward.score})
		}
	}
	for key := range en.forget {
		rq.Forget = append(rq.Forget, key)
	}
	// Engines admit in the order of arrival, so what was placed first goes first.
	slices.SortFunc(rq.Launches, func(a, b runner.Launch) int { return cmp.Compare(a.Key.Attempt, b.Key.Attempt) })
	return rq, true
}

// awaitEnd is how long an attendant's answer waits for the end of a run. A launch
// that is decided on meanwhile waits as long.
const awaitEnd = 50 * time.Millisecond

// await returns for how long an attendant's answer is to wait for the end of a run.
//
// A step's end waits for its last items, and the scheduler hears of their ends 50 ms
// after them when it asks ten times a second. Told of every end at once, it spent
// half as much processor time again, for runs that no one waits for.
func (en *engineRow) await() time.Duration {
	for _, ir := range en.items {
		if ir.step.ending && ir.run.confirmed && !ir.run.stopping {
			return awaitEnd
		}
	}
	return 0
}

func (ta *Table) launch(ir *itemRow) runner.Launch {
	return runner.Launch{
		Body: ir.item.Body, Customer: ir.step.step.Customer, Endpoint: ir.run.engine, Header: ir.item.Header, Host: ir.step.step.Host, Key: ir.run.key,
		Path: ir.item.Path, Prior: ir.events[:ir.run.prior], Version: ir.run.version,
	}
}

// Heard takes an attendant's answer to a request in.
func (ta *Table) Heard(id string, rq runner.ExchangeRequest, re runner.ExchangeResponse, now time.Time) {
	en, ok := ta.engines[id]
	if !ok {
		return
	}
	if en.boot != "" && en.boot != re.Boot {
		ta.drop(en, "attendant has started again", now)
	}
	en.boot = re.Boot
	ta.takeReport(en, re, now)
	for _, key := range rq.Forget {
		delete(en.forget, key)
	}
	en.said(rq.Seen)
	for _, pr := range re.Runs {
		if ta.concerns(en, pr) {
			ta.progress(en, pr, now)
		}
	}
	ta.replace(en, re.Engine, now)
	en.foreign = max(0, re.Report.Active+re.Report.Queued-re.Running)
	ta.heardOrder(en, rq, re)
}

// said takes in what an attendant has been told of runs.
func (en *engineRow) said(seen []runner.Seen) {
	for _, se := range seen {
		if ir, ok := en.items[se.Key]; ok {
			ir.run.said = max(ir.run.said, se.Events+1)
		}
		if ir, ok := en.kept[se.Key]; ok && se.Ended {
			ir.run.saidEnd, ir.run.saidScore = true, se.Score
		}
	}
}

// concerns reports whether a run belongs to an engine.
//
// An engine that starts again has another ID at the same address, and for a
// while both are known. Each is asked for its runs at the same attendant, and
// would have those of the other forgotten: they would end there, and here wait
// for an end that never comes.
func (ta *Table) concerns(en *engineRow, pr runner.Progress) bool {
	if pr.Endpoint == en.id {
		return true
	}
	if ta.engines[pr.Endpoint] == nil {
		en.forget[pr.Key] = true
	}
	return false
}

// replace takes in that another engine answers at an engine's address: this one
// is gone for good, though its entry may stay for some seconds.
func (ta *Table) replace(en *engineRow, actual string, now time.Time) {
	if actual == "" || actual == en.id || en.gone {
		return
	}
	other, known := ta.engines[actual]
	if known && other.joinedAt.Before(en.joinedAt) || !ta.former[actual].IsZero() {
		return // it was the one before this
	}
	en.gone = true
	ta.log("engine was replaced", map[string]any{"by": actual, engineField: en.id, "items": len(en.items)})
	ta.drop(en, "engine was replaced", now)
}

// heardOrder ends an order that the engine holds, or that its attendant has
// given up.
func (ta *Table) heardOrder(en *engineRow, rq runner.ExchangeRequest, re runner.ExchangeResponse) {
	if en.order == nil {
		return
	}
	en.ordered = en.ordered || rq.Order == en.order
	holds := en.versions[en.order.Model] >= en.order.Version && !re.Report.Busy
	if holds || en.ordered && re.Ordered == 0 {
		en.order = nil
	}
}

// progress takes what an attendant says of a run in.
func (ta *Table) progress(en *engineRow, pr runner.Progress, now time.Time) {
	if en.kept[pr.Key] != nil {
		return
	}
	ir, ok := en.items[pr.Key]
	if !ok {
		if !ta.adopt(en, pr, now) {
			en.forget[pr.Key] = true
			return
		}
		ir = en.items[pr.Key]
	}
	ir.run.confirmed = true
	if !ta.append(ir, pr, now) {
		return
	}
	switch pr.State {
	case runner.Running:
	case runner.Complete:
		if len(ir.events) == 0 {
			ta.requeue(ir, "no text", now)
			return
		}
		ir.step.gauge.observe(ir.item.Hint, len(ir.events))
		ta.keep(ir)
		ir.reward.score = pr.Score
		ta.whole(ir, now)
	case runner.Impossible:
		ta.release(ir)
		ta.giveUp(ir, pr.Detail, now)
	case runner.Failed:
		ta.fail(ir, pr.Detail, now)
	case runner.NotRun:
		en.failed = now
		ta.requeue(ir, "not run: "+pr.Detail, now)
	case runner.Broken:
		en.failed = now
		ta.suspect(ir, pr, now)
		ta.requeue(ir, "broken: "+pr.Detail, now)
	case runner.Stopped:
		ta.requeue(ir, "stopped", now)
	}
}

// adopt takes over a run that an earlier scheduler started.
func (ta *Table) adopt(en *engineRow, pr runner.Progress, now time.Time) bool {
	sr, ok := ta.steps[pr.Key.Step]
	if !ok || sr.ended || pr.First != 0 {
		return false
	}
	for _, ir := range sr.items {
		if ir.item.ID != pr.Key.Item {
			continue
		}
		if ir.state != waiting || len(pr.Events) < len(ir.events) {
			return false
		}
		if !startsWith(pr.Events, ir.events) {
			ir.saved = 0 // what is kept is another run's text
		}
		ir.events = nil
		ir.state, ir.since = running, now
		ir.run = run{confirmed: true, engine: en.id, eventAt: now, key: pr.Key}
		en.items[pr.Key] = ir
		ta.log("run taken over", map[string]any{
			attemptField: pr.Key.Attempt, engineField: en.id, "events": len(pr.Events), itemField: pr.Key.Item, stepField: pr.Key.Step,
		})
		return true
	}
	return false
}

// startsWith reports whether a text begins with another one.
func startsWith(evs, prefix []runner.Event) bool {
	return len(evs) >= len(prefix) && slices.EqualFunc(evs[:len(prefix)], prefix, func(a, b runner.Event) bool {
		return a.ID == b.ID && a.Version == b.Version && bytes.Equal(a.Data, b.Data)
	})
}

// append adds a run's events to its item's text. It returns false if the text
// can't be used, and the item has to start again.
func (ta *Table) append(ir *itemRow, pr runner.Progress, now time.Time) bool {
	if pr.First > len(ir.events) {
		return true // an answer that was overtaken; the next has all
	}
	fresh := pr.Events[min(len(ir.events)-pr.First, len(pr.Events)):]
	if len(fresh) == 0 {
		return true
	}
	ir.run.eventAt = now
	ir.events = append(ir.events[:len(ir.events):len(ir.events)], fresh...)
	if ir.step.step.fits(ir.events) {
		return true
	}
	ta.requeue(ir, "made by a version that the step may not have", now)
	ir.events, ir.saved = nil, 0
	return false
}

// fail counts an answer that an item failed.
func (ta *Table) fail(ir *itemRow, detail string, now time.Time) {
	ir.failures++
	if ir.failures >= max(ir.step.step.MaxAttempts, 1) {
		ta.release(ir)
		ta.giveUp(ir, "failed too often: "+detail, now)
		return
	}
	ta.requeue(ir, "failed: "+detail, now)
}

func (ta *Table) giveUp(ir *itemRow, why string, now time.Time) {
	ta.log("item given up", map[string]any{itemField: ir.item.ID, stepField: ir.step.step.ID, whyField: why})
	ta.settle(ir, lost, now)
}
