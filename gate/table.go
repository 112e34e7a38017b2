package gate

import (
	"fmt"
	"time"

	"wisteriacroft/outcome"
)

// A Decision starts or refuses a waiting request.
type Decision struct {
	ID      string
	Refusal *outcome.Refusal // nil if the request starts
}

// A row is a waiting or running request.
type row struct {
	charged  time.Duration // run time charged to its share at the start
	expireAt time.Time     // refused if not started by then; zero means never
	request  Request
	running  bool
	sequence uint64
	since    time.Time // start time
}

// A Table holds the requests of one endpoint and decides which start. It does no I/O, reads no
// clock and is not safe for concurrent use; a Gate wraps it.
type Table struct {
	adjusted      time.Time
	closed        bool
	closeAt       time.Time // end of the grace period
	estimate      estimate
	limit         int // current maximum of running requests
	peak          int // recent peak of live calls
	peakAt        time.Time
	policy        Policy
	profiles      map[string]*profileCounts
	queuedRunning int // maximum of running requests reported since queuedSince
	// queuedSince is the time since which the endpoint has reported a queue, or zero.
	queuedSince time.Time
	retryAt     [classCount]time.Time // latest return time given to a refused caller
	rows        map[string]*row
	running     [classCount]int
	sequence    uint64
	shares      map[string]*share  // by trainer, or by profile for requests without a trainer
	virtual     float64            // highest virtual time at the start of a request, in seconds
	waiting     [classCount][]*row // in order of arrival
}

// NewTable returns a table with a policy.
func NewTable(po Policy) *Table {
	ta := &Table{
		profiles: make(map[string]*profileCounts),
		rows:     make(map[string]*row),
		shares:   make(map[string]*share),
	}
	ta.policy = po.withDefaults()
	ta.limit = ta.policy.MaxRunning
	return ta
}

// Add queues a request, to be started or refused by Dispatch, or refuses it at once.
func (ta *Table) Add(now time.Time, req Request) *outcome.Refusal {
	if ta.closed {
		return outcome.NewRefusal(outcome.Leaving, req.ID, "endpoint is leaving")
	}
	if _, ok := ta.rows[req.ID]; ok {
		return outcome.NewRefusal(outcome.InProgress, req.ID, "a request with this id waits or runs")
	}
	if re := ta.checkOverload(now, req); re != nil {
		return re
	}
	ro := &row{request: req, sequence: ta.sequence, expireAt: ta.expiry(now, req)}
	ta.sequence++
	ta.rows[req.ID] = ro
	ta.joinShare(req.share())
	ta.counts(req.Profile).waiting++
	ta.waiting[req.Class] = append(ta.waiting[req.Class], ro)
	ta.updatePeak(now)
	return nil
}

// checkOverload refuses a request for which the queue is full, or which would not be answered before its
// deadline. Otherwise goodput collapses under load: the endpoint spends its time on answers that
// arrive too late.
func (ta *Table) checkOverload(now time.Time, req Request) *outcome.Refusal {
	if ta.free(req.Class) > len(ta.waiting[req.Class]) && ta.canFinish(now, req) {
		return nil
	}
	switch {
	case len(ta.waiting[req.Class]) >= ta.policy.MaxWaiting:
		return ta.refuse(now, req, fmt.Sprintf("%d %s requests wait already", ta.policy.MaxWaiting, req.Class))
	case ta.profileQueueFull(req.Profile):
		return ta.refuse(now, req, fmt.Sprintf("profile %q has as many waiting as it may", req.Profile))
	case !ta.canFinish(now, req):
		return ta.refuse(now, req, "deadline is shorter than requests take here")
	case ta.waitsTooLong(now, req):
		return ta.refuse(now, req, "would wait too long to be answered before its deadline")
	}
	return nil
}

// waitsTooLong reports whether a request would probably expire in the queue. The margin of one mean
// service time covers variance, so that most refusals are immediate instead of after the wait.
func (ta *Table) waitsTooLong(now time.Time, req Request) bool {
	if req.Deadline.IsZero() {
		return false
	}
	starts := now.Add(ta.wait(req.Class) + ta.estimate.mean[req.Class])
	return starts.After(ta.expiry(now, req))
}

// canFinish reports whether a request would end in time if it started now. After estimateLifetime without
// an answer one request is admitted regardless, to measure again: an endpoint that was slow once
// would otherwise get no requests for good.
func (ta *Table) canFinish(now time.Time, req Request) bool {
	cl := req.Class
	if ta.running[cl]+len(ta.waiting[cl]) == 0 && now.Sub(ta.estimate.at[cl]) >= estimateLifetime {
		return true
	}
	return req.Deadline.IsZero() || req.Deadline.Sub(now) > ta.estimate.mean[req.Class]
}

// expiry returns the time at which a waiting request expires, early enough for its caller to
// retry elsewhere, or zero.
func (ta *Table) expiry(now time.Time, req Request) time.Time {
	if req.Deadline.IsZero() {
		return time.Time{}
	}
	spare := req.Deadline.Sub(now) - ta.estimate.mean[req.Class]
	return now.Add(time.Duration(ta.policy.GiveUp * float64(spare)))
}

// refuse returns an overloaded refusal with a Retry-After time.
func (ta *Table) refuse(now time.Time, req Request, why string) *outcome.Refusal {
	re := outcome.NewRefusal(outcome.Overloaded, req.ID, why)
	re.RetryAfter = ta.retryAfter(now, req.Class).String()
	return re
}

// Dispatch starts waiting requests while slots are free and refuses those that can't start in time.
func (ta *Table) Dispatch(now time.Time) []Decision {
	var des []Decision
	for {
		ro := ta.dequeue()
		if ro == nil {
			break
		}
		ta.start(now, ro)
		des = append(des, Decision{ID: ro.request.ID})
	}
	for cl := range classCount {
		des = append(des, ta.expire(now, cl)...)
	}
	ta.updatePeak(now)
	return des
}

// expire refuses the expired waiting requests of a class.
func (ta *Table) expire(now time.Time, cl Class) []Decision {
	var des []Decision
	kept := ta.waiting[cl][:0]
	for _, ro := range ta.waiting[cl] {
		re := ta.expired(now, ro)
		if re == nil {
			kept = append(kept, ro)
			continue
		}
		ta.deleteRow(ro, 0)
		des = append(des, Decision{ID: ro.request.ID, Refusal: re})
	}
	clear(ta.waiting[cl][len(kept):])
	ta.waiting[cl] = kept
	return des
}

// expired returns the refusal of a waiting request that has expired, or nil.
func (ta *Table) expired(now time.Time, ro *row) *outcome.Refusal {
	if ta.closed && !now.Before(ta.closeAt) {
		return outcome.NewRefusal(outcome.Leaving, ro.request.ID, "endpoint has left before the request could start")
	}
	if !ro.expireAt.IsZero() && !now.Before(ro.expireAt) {
		return ta.refuse(now, ro.request, "waited too long to be answered before its deadline")
	}
	return nil
}

// dequeue removes and returns the waiting request that starts next, or nil.
func (ta *Table) dequeue() *row {
	cl, best := Live, -1
	if ta.free(Live) > 0 {
		best = ta.next(Live)
	}
	if ta.free(Sample) > 0 && (best < 0 || ta.policy.Order == FirstInFirstOut) {
		sample := ta.next(Sample)
		if sample >= 0 && (best < 0 || ta.waiting[Sample][sample].sequence < ta.waiting[Live][best].sequence) {
			cl, best = Sample, sample
		}
	}
	if best < 0 {
		return nil
	}
	ro := ta.waiting[cl][best]
	ta.removeWaiting(cl, best)
	return ro
}

// start marks a request as running.
func (ta *Table) start(now time.Time, ro *row) {
	ta.charge(ro)
	ro.running = true
	ro.since = now
	ta.running[ro.request.Class]++
	pc := ta.counts(ro.request.Profile)
	pc.waiting--
	pc.running++
}

// Remove removes a waiting or running request.
func (ta *Table) Remove(now time.Time, id string, out Result) {
	ro := ta.rows[id]
	if ro == nil {
		return
	}
	cl := ro.request.Class
	if !ro.running {
		for i, other := range ta.waiting[cl] {
			if other == ro {
				ta.removeWaiting(cl, i)
				break
			}
		}
		ta.deleteRow(ro, 0)
		return
	}
	ran := now.Sub(ro.since)
	ta.running[cl]--
	if out == Whole {
		ta.estimate.record(now, cl, ran)
	}
	ta.deleteRow(ro, ran)
}

// removeWaiting removes the waiting request at an index.
func (ta *Table) removeWaiting(cl Class, i int) {
	wa := ta.waiting[cl]
	copy(wa[i:], wa[i+1:])
	wa[len(wa)-1] = nil
	ta.waiting[cl] = wa[:len(wa)-1]
}

// deleteRow deletes a request that is no longer in a queue and no longer runs.
func (ta *Table) deleteRow(ro *row, ran time.Duration) {
	ta.leaveShare(ro, ran)
	ta.uncount(ro)
	delete(ta.rows, ro.request.ID)
}

// Close refuses new requests as leaving. Waiting requests may start until grace has passed.
func (ta *Table) Close(now time.Time, grace time.Duration) {
	ta.closed = true
	ta.closeAt = now.Add(grace)
}

// Load returns the numbers of running and waiting requests.
func (ta *Table) Load() Load {
	return Load{
		Limit:   ta.limit,
		Running: ta.running[Live] + ta.running[Sample],
		Waiting: len(ta.waiting[Live]) + len(ta.waiting[Sample]),
	}
}

// SetPolicy replaces the policy. Running requests continue even above a lower limit.
func (ta *Table) SetPolicy(po Policy) {
	before := ta.policy.MaxRunning
	ta.policy = po.withDefaults()
	if ta.limit == before || ta.limit > ta.policy.MaxRunning {
		ta.limit = ta.policy.MaxRunning
	}
	ta.limit = max(ta.limit, ta.policy.MinRunning)
}
