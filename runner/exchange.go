package runner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange applies the scheduler's request and returns the changes that it has not
// acknowledged. It waits for news at most as long as the request says.
func (rn *Runner) Exchange(ctx context.Context, rq ExchangeRequest) (ExchangeResponse, error) {
	if err := rn.apply(rq); err != nil {
		return ExchangeResponse{}, err
	}
	end := time.Now().Add(rq.Await)
	for {
		changed := rn.news.Changed()
		re, done, err := rn.respond(rq, end)
		if done || err != nil {
			return re, err
		}
		select {
		case <-ctx.Done():
			return ExchangeResponse{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(end)):
		}
	}
}

// respond returns the response to a request that was applied, and whether to send it already. It
// returns an error if a later request has replaced this one: that one is sent what is new.
func (rn *Runner) respond(rq ExchangeRequest, end time.Time) (re ExchangeResponse, done bool, err error) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	switch {
	case rq.Epoch < rn.epoch:
		return ExchangeResponse{}, false, errors.Wrapf(ErrOldEpoch, "epoch %d, not %d", rn.epoch, rq.Epoch)
	case rq.Number < rn.numbers[rq.Endpoint]:
		return ExchangeResponse{}, false, errors.Wrapf(errOutOfOrder, "number %d, not %d", rq.Number, rn.numbers[rq.Endpoint])
	case time.Now().Before(end) && rn.noted == rn.reported && !rn.hasUnackedEnd():
		return ExchangeResponse{}, false, nil
	}
	rn.reported = rn.noted
	return rn.response(), true, nil
}

// hasUnackedEnd reports whether a run has ended and the scheduler has yet to acknowledge that.
func (rn *Runner) hasUnackedEnd() bool {
	for _, ru := range rn.runs {
		if ru.state != Running && ru.ackedState != ru.state {
			return true
		}
	}
	return false
}

// note records something that the scheduler should hear of at once. The lock is held.
func (rn *Runner) note() {
	rn.noted++
	rn.news.Notify()
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
