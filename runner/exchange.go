package runner

import (
	"context"
	"slices"
	"time"
)

// Exchange applies the scheduler's request and returns the changes that it has not
// acknowledged.
func (rn *Runner) Exchange(ctx context.Context, rq ExchangeRequest) (ExchangeResponse, error) {
	if err := rn.apply(rq); err != nil {
		return ExchangeResponse{}, err
	}
	rn.waitForEnd(ctx, rq.Await)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.response(), nil
}

// waitForEnd waits at most wait for a run to end. It doesn't wait if the scheduler has yet
// to acknowledge an ended run.
func (rn *Runner) waitForEnd(ctx context.Context, wait time.Duration) {
	rn.mu.Lock()
	ended := rn.ended
	for _, ru := range rn.runs {
		if ru.state != Running && ru.ackedState != ru.state {
			wait = 0
		}
	}
	rn.mu.Unlock()
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-ended:
	case <-time.After(wait):
	}
}

// response returns the changes that the scheduler has not acknowledged.
func (rn *Runner) response() ExchangeResponse {
	re := ExchangeResponse{
		Boot: rn.boot, Engine: rn.engine, Ordered: rn.orderTracker.pendingVersion(), Reachable: rn.reachable(), Report: rn.report,
		ReportAge: time.Since(rn.reportAt), Wall: time.Now().UnixMicro(),
	}
	re.Report.Pace, re.Report.PaceGaps = rn.pacer.median(time.Now())
	// Ended runs are kept until the scheduler forgets them; sending each in every
	// response would waste bandwidth.
	size := 0
	for _, ru := range rn.runs {
		if ru.state == Running {
			re.Running++
		}
		if !ru.unacked() {
			continue
		}
		if size > maxResponse {
			continue // left to the next response
		}
		pr := Progress{
			Detail: ru.detail, Endpoint: ru.endpoint, EngineEnded: ru.engineEnded, Events: ru.events[ru.ackedEvents:], First: ru.ackedEvents,
			Key: ru.key, Score: ru.score, State: ru.state,
		}
		for _, ev := range pr.Events {
			size += len(ev.Data)
		}
		pr.Events = slices.Clone(pr.Events)
		re.Runs = append(re.Runs, pr)
	}
	return re
}
