package step

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriacroft/incarnation"
	"wisteriacroft/runner"
)

const (
	// responseTimeout is the time without a response of its attendant after which an engine's
	// runs are moved.
	responseTimeout = 1200 * time.Millisecond
	// formerEngineTTL is how long engines that have left are remembered as predecessors. An
	// attendant may report the predecessor until a run of the successor ends. If it was
	// forgotten, its reports could keep the successor from getting work.
	formerEngineTTL = 10 * time.Minute
	// brokenRunPenalty is how long an engine that broke a run gets no new ones while others have
	// free slots.
	brokenRunPenalty = time.Second
)

// An EngineInfo describes an engine according to the directory.
type EngineInfo struct {
	Address     string // of the attendant
	Endpoint    string // address of the engine
	ID          string
	Incarnation incarnation.Number
	Leaving     bool
	Service     string
	Slots       int
	Tokens      int // memory
	Versions    map[string]uint64
}

// SetEngines adds and updates the given engines, and removes all others. Runs of removed engines
// are requeued.
func (ta *Table) SetEngines(infos []EngineInfo, now time.Time) {
	present := map[string]bool{}
	for _, in := range infos {
		present[in.ID] = true
		en := ta.engines[in.ID]
		if en == nil {
			en = &engineRow{
				toForget: map[runner.Key]bool{}, id: in.ID, items: map[runner.Key]*itemRow{}, joinedAt: now,
				incoming: map[*itemRow]bool{}, retained: map[runner.Key]*itemRow{},
				estimateChanges: &ta.estimateChanges, versions: map[string]uint64{},
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
			ta.requeueRuns(en, "engine is gone", now)
			delete(ta.engines, id)
			ta.formerEngines[id] = now
		}
	}
	maps.DeleteFunc(ta.formerEngines, func(id string, _ time.Time) bool { return present[id] })
	ta.forgetFormer(now)
	ta.sortedEngines = ta.sortedEngines[:0]
	for _, id := range slices.Sorted(maps.Keys(ta.engines)) {
		ta.sortedEngines = append(ta.sortedEngines, ta.engines[id])
	}
}

// forgetFormer forgets engines that left more than formerEngineTTL ago.
func (ta *Table) forgetFormer(now time.Time) {
	maps.DeleteFunc(ta.formerEngines, func(_ string, gone time.Time) bool { return now.Sub(gone) > formerEngineTTL })
}

// SetVersion records a published version of a model. Versions older than the newest are ignored.
func (ta *Table) SetVersion(model string, version uint64) {
	ta.newestVersions[model] = max(ta.newestVersions[model], version)
}

// EvictSilent requeues the runs of engines whose attendants haven't responded for responseTimeout.
func (ta *Table) EvictSilent(now time.Time) {
	for _, en := range ta.sortedEngines {
		if len(en.items) > 0 && !en.respondedAt.IsZero() && now.Sub(en.respondedAt) > responseTimeout {
			ta.requeueRuns(en, "attendant is silent", now)
		}
	}
}

// Request returns the next request to an engine's attendant. It returns false if the engine
// doesn't exist.
func (ta *Table) Request(id string) (runner.ExchangeRequest, bool) {
	en, ok := ta.engines[id]
	if !ok {
		return runner.ExchangeRequest{}, false
	}
	ta.requests++
	rq := runner.ExchangeRequest{Await: ta.awaitTime(en), Endpoint: id, Epoch: ta.epoch, Number: ta.requests, Order: en.order}
	for key, ir := range en.items {
		if !ir.run.confirmed {
			if !ta.launchesHeld {
				rq.Launches = append(rq.Launches, ta.launch(ir))
			}
			continue
		}
		if ir.run.acked < len(ir.events)+1 {
			rq.Seen = append(rq.Seen, runner.Ack{Events: len(ir.events), Key: key})
		}
		if ir.run.stopping {
			rq.Stops = append(rq.Stops, key)
			ir.run.stopSent = true
		}
	}
	for key, ir := range en.retained {
		if !ir.run.ackedEnd || ir.run.storedScore != ir.reward.score {
			rq.Seen = append(rq.Seen, runner.Ack{Ended: true, Events: len(ir.events), Key: key, Score: ir.reward.score})
		}
	}
	for key := range en.toForget {
		rq.Forget = append(rq.Forget, key)
	}
	// Engines run requests in the order of arrival.
	slices.SortFunc(rq.Launches, func(a, b runner.RunRequest) int { return cmp.Compare(a.Key.Attempt, b.Key.Attempt) })
	return rq, true
}

// isLast reports whether a running item is one of the last that its step waits for.
func (ir *itemRow) isLast() bool { return ir.step.ending && ir.run.confirmed && !ir.run.stopping }

// runsLastItems reports whether an engine runs one of the last items that a step waits for.
func (en *engineRow) runsLastItems() bool {
	for _, ir := range en.items {
		if ir.isLast() {
			return true
		}
	}
	return false
}

func (ta *Table) launch(ir *itemRow) runner.RunRequest {
	return runner.RunRequest{
		Body: ir.item.Body, Customer: ir.step.step.Customer, Endpoint: ir.run.engineID, Header: ir.item.Header, Host: ir.step.step.Host, Key: ir.run.key,
		Path: ir.item.Path, Prior: ir.events[:ir.run.priorEvents], Version: ir.run.version,
	}
}
