package runner

import (
	"context"
	"slices"
	"time"
)

// Exchange takes what the scheduler wants done and returns what it lacks.
func (rn *Runner) Exchange(ctx context.Context, rq ExchangeRequest) (ExchangeResponse, error) {
	if err := rn.take(rq); err != nil {
		return ExchangeResponse{}, err
	}
	rn.awaitEnd(ctx, rq.Await)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.response(), nil
}

// awaitEnd waits until a run ends, unless the scheduler doesn't know yet of one that
// has.
func (rn *Runner) awaitEnd(ctx context.Context, wait time.Duration) {
	rn.mu.Lock()
	ended := rn.ended
	for _, ru := range rn.runs {
		if ru.state != Running && ru.noted != ru.state {
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

// response returns what the scheduler lacks.
func (rn *Runner) response() ExchangeResponse {
	re := ExchangeResponse{
		Boot: rn.boot, Engine: rn.engine, Ordered: rn.orders.underWay(), Reachable: rn.reachable(), Report: rn.report,
		ReportAge: time.Since(rn.reportAt), Wall: time.Now().UnixMicro(),
	}
	re.Report.Pace, re.Report.PaceGaps = rn.pacer.median(time.Now())
	// Runs that have ended stay until they are listed, and need not be spoken of ten
	// times a second meanwhile.
	size := 0
	for _, ru := range rn.runs {
		if ru.state == Running {
			re.Running++
		}
		if !ru.news() {
			continue
		}
		if size > maxResponse {
			continue // the next response has it
		}
		pr := Progress{
			Detail: ru.detail, Endpoint: ru.endpoint, EngineEnded: ru.engineEnded, Events: ru.events[ru.seen:], First: ru.seen,
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
