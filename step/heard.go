package step

import (
	"bytes"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// HandleResponse takes an attendant's answer to a request in.
func (ta *Table) HandleResponse(id string, rq runner.ExchangeRequest, re runner.ExchangeResponse, now time.Time) {
	en, ok := ta.engines[id]
	if !ok {
		return
	}
	if en.boot != "" && en.boot != re.Boot {
		ta.requeueRuns(en, "attendant has started again", now)
	}
	en.boot = re.Boot
	ta.takeReport(en, re, now)
	for _, key := range rq.Forget {
		delete(en.toForget, key)
	}
	en.said(rq.Seen)
	for _, pr := range re.Runs {
		if ta.concerns(en, pr) {
			ta.progress(en, pr, now)
		}
	}
	ta.replace(en, re.Engine, now)
	en.foreignRequests = max(0, re.Report.Active+re.Report.Queued-re.Running)
	ta.heardOrder(en, rq, re)
}

// said takes in what an attendant has been told of runs.
func (en *engineRow) said(seen []runner.Ack) {
	for _, se := range seen {
		if ir, ok := en.items[se.Key]; ok {
			ir.run.acked = max(ir.run.acked, se.Events+1)
		}
		if ir, ok := en.retained[se.Key]; ok && se.Ended {
			ir.run.ackedEnd, ir.run.storedScore = true, se.Score
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
		en.toForget[pr.Key] = true
	}
	return false
}

// replace takes in that another engine answers at an engine's address: this one
// is gone for good, though its entry may stay for some seconds.
func (ta *Table) replace(en *engineRow, actual string, now time.Time) {
	if actual == "" || actual == en.id || en.replaced {
		return
	}
	other, known := ta.engines[actual]
	if known && other.joinedAt.Before(en.joinedAt) || !ta.formerEngines[actual].IsZero() {
		return // it was the one before this
	}
	en.replaced = true
	ta.log("engine was replaced", map[string]any{"by": actual, engineField: en.id, "items": len(en.items)})
	ta.requeueRuns(en, "engine was replaced", now)
}

// heardOrder ends an order that the engine holds, or that its attendant has
// given up.
func (ta *Table) heardOrder(en *engineRow, rq runner.ExchangeRequest, re runner.ExchangeResponse) {
	if en.order == nil {
		return
	}
	en.orderAcked = en.orderAcked || rq.Order == en.order
	holds := en.versions[en.order.Model] >= en.order.Version && !re.Report.Busy
	if holds || en.orderAcked && re.Ordered == 0 {
		en.order = nil
	}
}

// progress takes what an attendant says of a run in.
func (ta *Table) progress(en *engineRow, pr runner.Progress, now time.Time) {
	if en.retained[pr.Key] != nil {
		return
	}
	ir, ok := en.items[pr.Key]
	if !ok {
		if !ta.adopt(en, pr, now) {
			en.toForget[pr.Key] = true
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
		ir.step.estimator.observeHint(ir.item.Hint, len(ir.events))
		ir.step.estimator.observeLimit(ir.item.Tokens-ir.item.Prompt, len(ir.events))
		ta.retainRun(ir)
		ir.reward.score = pr.Score
		ta.whole(ir, now)
	case runner.Impossible:
		ta.releaseRun(ir)
		ta.giveUp(ir, pr.Detail, now)
	case runner.Failed:
		ta.fail(ir, pr.Detail, now)
	case runner.NotRun:
		en.brokeRunAt = now
		ta.requeue(ir, "not run: "+pr.Detail, now)
	case runner.Broken:
		en.brokeRunAt = now
		ta.recordEngineEnd(ir, pr, now)
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
			ir.savedEvents = 0 // what is kept is another run's text
		}
		ir.events = nil
		ta.dropTargetMemo(ir)
		ta.setState(ir, running)
		ir.stateSince = now
		ir.run = run{engine: en, confirmed: true, engineID: en.id, eventAt: now, key: pr.Key}
		en.items[pr.Key] = ir
		en.dropMemo()
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
	defer ta.dropTargetMemo(ir)
	ir.run.engine.recount(ir, -1)
	ir.events = append(ir.events[:len(ir.events):len(ir.events)], fresh...)
	ir.run.engine.recount(ir, 1)
	if ir.step.step.allows(ir.events) {
		return true
	}
	ta.requeue(ir, "made by a version that the step may not have", now)
	ir.events, ir.savedEvents = nil, 0
	return false
}

// fail counts an answer that an item failed.
func (ta *Table) fail(ir *itemRow, detail string, now time.Time) {
	ir.failures++
	if ir.failures >= max(ir.step.step.MaxAttempts, 1) {
		ta.releaseRun(ir)
		ta.giveUp(ir, "failed too often: "+detail, now)
		return
	}
	ta.requeue(ir, "failed: "+detail, now)
}

func (ta *Table) giveUp(ir *itemRow, why string, now time.Time) {
	ta.log("item given up", map[string]any{itemField: ir.item.ID, stepField: ir.step.step.ID, whyField: why})
	ta.finish(ir, lost, now)
}
