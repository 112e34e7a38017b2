package step

import (
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
	// successor, which may have to wait for work. Forgotten sooner, it could keep a
	// successor that came back after a crash from ever getting any.
	formerTime = 10 * time.Minute
	// failedFor is for how long an engine that broke a run gets no new ones
	// while others have places.
	failedFor = time.Second
)

// An EngineInfo is an engine as the directory knows it.
type EngineInfo struct {
	Address     string // of the attendant beside it
	Endpoint    string // its own address
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
				gauges: &ta.gaugeChanges, versions: map[string]uint64{},
			}
			ta.engines[in.ID] = en
			ta.log("engine joined", map[string]any{engineField: in.ID, "service": in.Service})
		}
		en.address, en.endpoint, en.service = in.Address, in.Endpoint, in.Service
		en.slots, en.tokens = in.Slots, in.Tokens
		en.leaving = in.Leaving
		ta.applyEntry(en, in)
	}
	for id, en := range ta.engines {
		if !present[id] {
			ta.drop(en, "engine is gone", now)
			delete(ta.engines, id)
			ta.former[id] = now
		}
	}
	maps.DeleteFunc(ta.former, func(id string, _ time.Time) bool { return present[id] })
	ta.forgetFormer(now)
	ta.sorted = ta.sorted[:0]
	for _, id := range slices.Sorted(maps.Keys(ta.engines)) {
		ta.sorted = append(ta.sorted, ta.engines[id])
	}
}

// forgetFormer forgets the engines that have long been gone.
func (ta *Table) forgetFormer(now time.Time) {
	maps.DeleteFunc(ta.former, func(_ string, gone time.Time) bool { return now.Sub(gone) > formerTime })
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

// EvictSilent moves the runs of engines whose attendants have not answered for too
// long.
func (ta *Table) EvictSilent(now time.Time) {
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
			rq.Seen = append(rq.Seen, runner.Ack{Events: len(ir.events), Key: key})
		}
		if ir.run.stopping {
			rq.Stops = append(rq.Stops, key)
		}
	}
	for key, ir := range en.kept {
		if !ir.run.saidEnd || ir.run.saidScore != ir.reward.score {
			rq.Seen = append(rq.Seen, runner.Ack{Ended: true, Events: len(ir.events), Key: key, Score: ir.reward.score})
		}
	}
	for key := range en.forget {
		rq.Forget = append(rq.Forget, key)
	}
	// Engines admit in the order of arrival, so what was placed first goes first.
	slices.SortFunc(rq.Launches, func(a, b runner.RunRequest) int { return cmp.Compare(a.Key.Attempt, b.Key.Attempt) })
	return rq, true
}

// awaitEnd is how long an attendant's answer waits for the end of a run. A launch
// that is decided on meanwhile waits as long.
const awaitEnd = 50 * time.Millisecond

// await returns for how long an attendant's answer is to wait for the end of a run.
//
// The scheduler hears of an end half a pause between two exchanges late on average, and a
// step's end waits for its last items. So the answer waits for the ends of these. Waiting
// for every end, the scheduler would spend much of its time on runs that no one waits for.
//
// It also waits for a run that is to move to stop: until the scheduler hears of that, the
// item goes on nowhere, and mostly it is one of its step's longest.
func (en *engineRow) await() time.Duration {
	for _, ir := range en.items {
		if ir.run.stopping || ir.last() {
			return awaitEnd
		}
	}
	return 0
}

// last reports whether an item runs that a step is about to end with.
func (ir *itemRow) last() bool { return ir.step.ending && ir.run.confirmed && !ir.run.stopping }

// ending reports whether an engine runs an item that a step is about to end with, so that
// its attendant is asked without a pause.
func (ta *Table) ending(id string) bool {
	en, ok := ta.engines[id]
	if !ok {
		return false
	}
	for _, ir := range en.items {
		if ir.last() {
			return true
		}
	}
	return false
}

func (ta *Table) launch(ir *itemRow) runner.RunRequest {
	return runner.RunRequest{
		Body: ir.item.Body, Customer: ir.step.step.Customer, Endpoint: ir.run.engine, Header: ir.item.Header, Host: ir.step.step.Host, Key: ir.run.key,
		Path: ir.item.Path, Prior: ir.events[:ir.run.prior], Version: ir.run.version,
	}
}
