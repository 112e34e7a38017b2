package attendant

import (
	"context"
	"time"

	"wisteriacroft/gate"
)

// unsettledReportEvery is the time between two reports of an engine whose
// order is not settled. Until it is, the engine gets no samples, so that each
// tenth of a second counts once for each engine of a rollout.
const unsettledReportEvery = 100 * time.Millisecond

// A poller says when an endpoint's report is read next.
type poller struct {
	busy   bool
	due    time.Time
	failed bool
}

// pollReports reads the reports that are due. It is a system: the reading
// itself goes on in the background.
func (at *Attendant) pollReports(now time.Time) {
	for _, en := range at.endpoints {
		if en.startPoll(now, at.nextReport(en)) {
			at.loop.Go(func() { at.poll(en) })
		}
	}
}

// nextReport returns the time between an endpoint's report and its next.
func (at *Attendant) nextReport(en *endpoint) time.Duration {
	if en.engine != nil && !at.fence.VersionStable(en.name) {
		return min(unsettledReportEvery, at.options.ReportEvery)
	}
	return at.jitter(at.options.ReportEvery)
}

// jitter returns a time between half of every and one and a half times it, so
// that the processes of a failure domain that returns don't all ask at once.
func (at *Attendant) jitter(every time.Duration) time.Duration {
	return every/2 + time.Duration(at.random.Int64N(int64(every)))
}

// startPoll tells whether a report is due and none is being read.
func (en *endpoint) startPoll(now time.Time, next time.Duration) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.poller.busy || now.Before(en.poller.due) {
		return false
	}
	en.poller.busy, en.poller.due = true, now.Add(next)
	return true
}

// pollSoon makes the next report due now.
func (en *endpoint) pollSoon() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.poller.due = time.Time{}
}

// poll reads one report.
func (at *Attendant) poll(en *endpoint) {
	ctx, cancel := until(context.Background(), at.done, nil)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, at.options.ReportTimeout)
	defer cancel()
	load, err := at.readReport(ctx, en)
	en.mu.Lock()
	changed := en.poller.failed != (err != nil)
	en.poller.busy, en.poller.failed = false, err != nil
	en.mu.Unlock()
	if err == nil {
		en.gate.Observe(time.Now(), load)
	}
	if !changed {
		return
	}
	// The state is logged when it changes, not at every report.
	lo := at.options.Log.WithField("endpoint", en.name)
	if err != nil {
		lo.WithError(err).Warn("endpoint does not report")
	} else {
		lo.Info("endpoint reports again")
	}
}

// readReport asks the endpoint for its report and takes it in.
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
