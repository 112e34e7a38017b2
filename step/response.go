package step

import (
	"bytes"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// HandleResponse updates the table with an attendant's response to a request.
func (ta *Table) HandleResponse(id string, rq runner.ExchangeRequest, re runner.ExchangeResponse, now time.Time) {
	en, ok := ta.engines[id]
	if !ok {
		return
	}
	if en.boot != "" && en.boot != re.Boot {
		ta.requeueConfirmed(en, "attendant has started again", now)
	}
	en.boot = re.Boot
	ta.applyReport(en, re, now)
	for _, key := range rq.Forget {
		delete(en.toForget, key)
	}
	en.recordAcks(rq.Seen)
	for _, pr := range re.Runs {
		if ta.ownsRun(en, pr) {
			ta.applyProgress(en, pr, now)
		}
	}
	ta.checkReplaced(en, re.Engine, now)
	en.foreignRequests = max(0, re.Report.Active+re.Report.Queued-re.Running)
	ta.updateOrder(en, rq, re)
}

// recordAcks records that the attendant has received the acknowledgements of runs in a request.
func (en *engineRow) recordAcks(acks []runner.Ack) {
	for _, ac := range acks {
		if ir, ok := en.items[ac.Key]; ok {
			ir.run.acked = max(ir.run.acked, ac.Events+1)
		}
		if ir, ok := en.retained[ac.Key]; ok && ac.Ended {
			ir.run.ackedEnd, ir.run.storedScore = true, ac.Score
		}
	}
}

// ownsRun reports whether a run belongs to an engine. A run of an unknown engine is to be discarded by the attendant.
//
// An engine that restarts gets another ID at the same address, and for a while both IDs are known and polled at the
// same attendant. If the exchange of one discarded the runs of the other, their items would wait forever.
func (ta *Table) ownsRun(en *engineRow, pr runner.Progress) bool {
	if pr.Endpoint == en.id {
		return true
	}
	if ta.engines[pr.Endpoint] == nil {
		en.toForget[pr.Key] = true
	}
	return false
}

// checkReplaced marks an engine as gone if another one answers at its address. Its directory entry may remain for
// some seconds.
func (ta *Table) checkReplaced(en *engineRow, actual string, now time.Time) {
	if actual == "" || actual == en.id || en.replaced {
		return
	}
	other, known := ta.engines[actual]
	if known && other.joinedAt.Before(en.joinedAt) || !ta.formerEngines[actual].IsZero() {
		return // the former engine at this address
	}
	en.replaced = true
	ta.log("engine was replaced", map[string]any{"by": actual, engineField: en.id, "items": len(en.items)})
	ta.requeueRuns(en, "engine was replaced", now)
}

// updateOrder clears an engine's order once the engine holds the weights, or its attendant has abandoned the order.
func (ta *Table) updateOrder(en *engineRow, rq runner.ExchangeRequest, re runner.ExchangeResponse) {
	if en.order == nil {
		return
	}
	en.orderAcked = en.orderAcked || rq.Order == en.order
	holds := en.versions[en.order.Model] >= en.order.Version && !re.Report.Busy
	if holds || en.orderAcked && re.Ordered == 0 {
		en.order = nil
	}
}

// applyProgress updates an item with an attendant's report of its run.
func (ta *Table) applyProgress(en *engineRow, pr runner.Progress, now time.Time) {
	if en.retained[pr.Key] != nil {
		return
	}
	ir, ok := en.items[pr.Key]
	if !ok {
		// What the attendant is to forget must not be taken over: it would end, and no response would say so.
		if en.toForget[pr.Key] || !ta.adopt(en, pr, now) {
			en.toForget[pr.Key] = true
			return
		}
		ir = en.items[pr.Key]
	}
	ir.run.confirmed = true
	if !ta.appendEvents(ir, pr, now) {
		return
	}
	switch pr.State {
	case runner.Running:
	case runner.Complete:
		if len(ir.events) == 0 {
			ta.requeue(ir, "no text", now)
			return
		}
		ir.step.estimator.observeHint(ir.item.Hint, len(ir.events))
		ir.step.estimator.observeLimit(ir.item.Tokens-ir.item.Prompt, len(ir.events))
		ta.retainRun(ir)
		ir.reward.score = pr.Score
		ta.completeText(ir, now)
	case runner.Impossible:
		ta.releaseRun(ir)
		ta.markLost(ir, pr.Detail, now)
	case runner.Failed:
		ta.countFailure(ir, pr.Detail, now)
	case runner.NotRun:
		en.brokeRunAt = now
		ta.requeue(ir, "not run: "+pr.Detail, now)
	case runner.Broken:
		en.brokeRunAt = now
		ta.logEngineEnd(ir, pr, now)
		ta.requeue(ir, "broken: "+pr.Detail, now)
	case runner.Stopped:
		ta.requeue(ir, "stopped", now)
	}
}

// logEngineEnd logs that a run broke because its engine ended. The item is owed all the same: it doesn't make engines
// end, and is placed again however often that has happened.
func (ta *Table) logEngineEnd(ir *itemRow, pr runner.Progress, now time.Time) {
	if !pr.EngineEnded {
		return
	}
	ta.log("engine ended under an item", map[string]any{
		attemptField: ir.run.key.Attempt, customerField: ir.step.step.Customer, engineField: ir.run.engineID, itemField: ir.item.ID,
		"run-ms": now.Sub(ir.stateSince).Milliseconds(), stepField: ir.step.step.ID,
	})
}

// adopt takes over a run that an earlier scheduler started. It returns false if the run is of no use.
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
			ir.savedEvents = 0 // the checkpoints hold another run's text
		}
		ir.events = nil
		ta.invalidateTargetMemo(ir)
		ta.setState(ir, running)
		ir.stateSince = now
		ir.run = run{engine: en, confirmed: true, engineID: en.id, eventAt: now, key: pr.Key}
		en.items[pr.Key] = ir
		en.invalidateMemo()
		ta.log("run taken over", map[string]any{
			attemptField: pr.Key.Attempt, engineField: en.id, "events": len(pr.Events), itemField: pr.Key.Item, stepField: pr.Key.Step,
		})
		return true
	}
	return false
}

// startsWith reports whether evs begins with prefix.
func startsWith(evs, prefix []runner.Event) bool {
	return len(evs) >= len(prefix) && slices.EqualFunc(evs[:len(prefix)], prefix, func(a, b runner.Event) bool {
		return a.ID == b.ID && a.Version == b.Version && bytes.Equal(a.Data, b.Data)
	})
}

// appendEvents adds a run's new events to its item's text. It returns false if the step doesn't allow the text, and
// the item has to start again.
func (ta *Table) appendEvents(ir *itemRow, pr runner.Progress, now time.Time) bool {
	if pr.First > len(ir.events) {
		return true // an outdated response; the next one includes all events
	}
	fresh := pr.Events[min(len(ir.events)-pr.First, len(pr.Events)):]
	if len(fresh) == 0 {
		return true
	}
	ir.run.eventAt = now
	defer ta.invalidateTargetMemo(ir)
	ir.run.engine.adjustMemo(ir, -1)
	ir.events = append(ir.events[:len(ir.events):len(ir.events)], fresh...)
	ir.run.engine.adjustMemo(ir, 1)
	if ir.step.step.allows(ir.events) {
		return true
	}
	ta.requeue(ir, "made by a version that the step may not have", now)
	ir.events, ir.savedEvents = nil, 0
	return false
}

// countFailure counts a failed run, and abandons the item after the step's MaxAttempts.
func (ta *Table) countFailure(ir *itemRow, detail string, now time.Time) {
	ir.failures++
	if ir.failures >= max(ir.step.step.MaxAttempts, 1) {
		ta.releaseRun(ir)
		ta.markLost(ir, "failed too often: "+detail, now)
		return
	}
	ta.requeue(ir, "failed: "+detail, now)
}

// markLost abandons an item.
func (ta *Table) markLost(ir *itemRow, why string, now time.Time) {
	ta.log("item given up", map[string]any{itemField: ir.item.ID, stepField: ir.step.step.ID, whyField: why})
	ta.finish(ir, lost, now)
}
