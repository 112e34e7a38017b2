package attendant

import (
	"context"
	"time"

	"wisteriacroft/gate"
)

// unsettledReportEvery is the interval between polls of an engine with an unsettled order. It is
// short since the engine gets no samples until the order settles.
const unsettledReportEvery = 100 * time.Millisecond

// A poller is the polling state of an endpoint.
type poller struct {
	pending bool
	due     time.Time
	failed  bool
}

// pollReports polls the reports that are due. It is a system; the calls run in the background.
func (at *Attendant) pollReports(now time.Time) {
	for _, en := range at.endpoints {
		if en.startPoll(now, at.nextReport(en)) {
			at.loop.Go(func() { at.poll(en) })
		}
	}
}

// nextReport returns the time until the next poll of an endpoint.
func (at *Attendant) nextReport(en *endpoint) time.Duration {
	if en.engine != nil && !at.fence.VersionStable(en.name) {
		return min(unsettledReportEvery, at.options.ReportEvery)
	}
	return at.jitter(at.options.ReportEvery)
}

// jitter returns a random time between 0.5 and 1.5 times every, so that the processes of a failure
// domain that recovers don't poll at the same time.
func (at *Attendant) jitter(every time.Duration) time.Duration {
	return every/2 + time.Duration(at.random.Int64N(int64(every)))
}

// startPoll reports whether a poll is due and none is running, and marks it as running.
func (en *endpoint) startPoll(now time.Time, next time.Duration) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.poller.pending || now.Before(en.poller.due) {
		return false
	}
	en.poller.pending, en.poller.due = true, now.Add(next)
	return true
}

// pollSoon makes the next poll due immediately.
func (en *endpoint) pollSoon() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.poller.due = time.Time{}
}

// poll polls one report.
func (at *Attendant) poll(en *endpoint) {
	ctx, cancel := withDone(context.Background(), at.done, nil)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, at.options.ReportTimeout)
	defer cancel()
	load, err := at.readReport(ctx, en)
	en.mu.Lock()
	changed := en.poller.failed != (err != nil)
	en.poller.pending, en.poller.failed = false, err != nil
	en.mu.Unlock()
	if err == nil {
		en.gate.Observe(time.Now(), load)
	}
	if !changed {
		return
	}
	// Log only changes.
	lo := at.options.Log.WithField("endpoint", en.name)
	if err != nil {
		lo.WithError(err).Warn("endpoint does not report")
	} else {
		lo.Info("endpoint reports again")
	}
}

// readReport requests and processes the endpoint's report.
func (at *Attendant) readReport(ctx context.Context, en *endpoint) (gate.Load, error) {
	if en.engine != nil {
		rp, err := en.engine.ReportFunc(ctx)
		if err != nil {
			return gate.Load{}, err
		}
		at.fence.Observe(en.name, rp)
		en.observeReport(rp, time.Now())
		return gate.Load{Running: rp.Running, Waiting: rp.Waiting}, nil
	}
	asked := time.Now()
	rp, err := en.plain.ReportFunc(ctx)
	if err != nil {
		return gate.Load{}, err
	}
	en.observeLoad(time.Now())
	en.executions.review(asked, rp.Running+rp.Waiting)
	return gate.Load{Running: rp.Running, Waiting: rp.Waiting}, nil
}
