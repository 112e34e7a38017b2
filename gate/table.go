package gate

import (
	"fmt"
	"time"

	"wisteriacroft/outcome"
)

// A Decision starts a waiting request, or refuses it.
type Decision struct {
	ID      string
	Refusal *outcome.Refusal // nil: start it
}

// A row is one request that waits or runs.
type row struct {
	charged  time.Duration // booked to its share when it started
	giveUp   time.Time     // refused if it has not started by then; zero means never
	request  Request
	running  bool
	sequence uint64
	since    time.Time // when it started
}

// A Table holds the requests of one endpoint and decides over them. It does
// no I/O, reads no clock and isn't safe for concurrent use: a Gate wraps it.
type Table struct {
	adjusted      time.Time
	closed        bool
	closeAt       time.Time // end of the grace
	estimate      estimate
	limit         int // how many may run, learned
	peak          int // highest recent number of live calls
	peakAt        time.Time
	policy        Policy
	profiles      map[string]*tally
	queuedRunning int // most that the endpoint ran since queuedSince
	// queuedSince is since when the endpoint reports a queue of its own, or zero.
	queuedSince time.Time
	returns     [classes]time.Time // when the last refused caller was told to return
	rows        map[string]*row
	running     [classes]int
	sequence    uint64
	shares      map[string]*share // by trainer, or by profile where none is named
	virtual     float64           // highest virtual time of a share that started a request, in seconds
	waiting     [classes][]*row   // in order of arrival
}

// NewTable returns a table under a policy.
func NewTable(po Policy) *Table {
	ta := &Table{
		profiles: make(map[string]*tally),
		rows:     make(map[string]*row),
		shares:   make(map[string]*share),
	}
	ta.policy = po.withDefaults()
	ta.limit = ta.policy.MaxRunning
	return ta
}

// Add puts a request into the table, to be started by a Decision of Dispatch, or
// refuses it at once.
func (ta *Table) Add(now time.Time, req Request) *outcome.Refusal {
	if ta.closed {
		return outcome.NewRefusal(outcome.Leaving, req.ID, "endpoint is leaving")
	}
	if _, ok := ta.rows[req.ID]; ok {
		return outcome.NewRefusal(outcome.InProgress, req.ID, "a request with this id waits or runs")
	}
	if re := ta.overload(now, req); re != nil {
		return re
	}
	ro := &row{request: req, sequence: ta.sequence, giveUp: ta.giveUpAt(now, req)}
	ta.sequence++
	ta.rows[req.ID] = ro
	ta.joinShare(req.share())
	ta.tally(req.Profile).waiting++
	ta.waiting[req.Class] = append(ta.waiting[req.Class], ro)
	ta.notePeak(now)
	return nil
}

// overload refuses a request that has no place to wait or that, by what is
// known, would wait until it can no longer be answered in time. Without this
// the endpoint spends its time on answers that come too late for their
// callers, which shows as goodput that falls while load rises.
func (ta *Table) overload(now time.Time, req Request) *outcome.Refusal {
	if ta.free(req.Class) > len(ta.waiting[req.Class]) && ta.canFinish(now, req) {
		return nil
	}
	switch {
	case len(ta.waiting[req.Class]) >= ta.policy.MaxWaiting:
		return ta.refuse(now, req, fmt.Sprintf("%d %s requests wait already", ta.policy.MaxWaiting, req.Class))
	case ta.profileCrowded(req.Profile):
		return ta.refuse(now, req, fmt.Sprintf("profile %q has as many waiting as it may", req.Profile))
	case !ta.canFinish(now, req):
		return ta.refuse(now, req, "deadline is shorter than requests take here")
	case ta.tooLate(now, req):
		return ta.refuse(now, req, "would wait too long to be answered before its deadline")
	}
	return nil
}

// tooLate reports whether a request would, by what is known, wait until it is
// given up on. Service times vary, so that a wait may turn out longer: the
// mean time of one request is left for that, so that nearly all refusals come
// at once and not after half the time is gone.
func (ta *Table) tooLate(now time.Time, req Request) bool {
	if req.Deadline.IsZero() {
		return false
	}
	starts := now.Add(ta.wait(req.Class) + ta.estimate.mean[req.Class])
	return starts.After(ta.giveUpAt(now, req))
}

// canFinish reports whether a request could end in time if it started now.
// When there was no answer for a while, one at a time is let in all the same:
// were an endpoint that was slow given nothing more, nothing would show that it
// is fast again, and it would stand idle for good.
func (ta *Table) canFinish(now time.Time, req Request) bool {
	cl := req.Class
	if ta.running[cl]+len(ta.waiting[cl]) == 0 && now.Sub(ta.estimate.at[cl]) >= probeAfter {
		return true
	}
	return req.Deadline.IsZero() || req.Deadline.Sub(now) > ta.estimate.mean[req.Class]
}

// giveUpAt returns when a waiting request is given up on, early enough for its
// caller to go elsewhere, or zero.
func (ta *Table) giveUpAt(now time.Time, req Request) time.Time {
	if req.Deadline.IsZero() {
		return time.Time{}
	}
	spare := req.Deadline.Sub(now) - ta.estimate.mean[req.Class]
	return now.Add(time.Duration(ta.policy.GiveUp * float64(spare)))
}

// refuse returns a refusal with a time to come back.
func (ta *Table) refuse(now time.Time, req Request, why string) *outcome.Refusal {
	re := outcome.NewRefusal(outcome.Overloaded, req.ID, why)
	re.RetryAfter = ta.comeBack(now, req.Class).String()
	return re
}

// Dispatch starts what may start and refuses what can't start in time.
func (ta *Table) Dispatch(now time.Time) []Decision {
	var des []Decision
	for {
		ro := ta.take()
		if ro == nil {
			break
		}
		ta.start(now, ro)
		des = append(des, Decision{ID: ro.request.ID})
	}
	for cl := range classes {
		des = append(des, ta.expire(now, cl)...)
	}
	ta.notePeak(now)
	return des
}

// expire refuses the waiting rows of a class that are given up on.
func (ta *Table) expire(now time.Time, cl Class) []Decision {
	var des []Decision
	kept := ta.waiting[cl][:0]
	for _, ro := range ta.waiting[cl] {
		re := ta.expired(now, ro)
		if re == nil {
			kept = append(kept, ro)
			continue
		}
		ta.forget(ro, 0)
		des = append(des, Decision{ID: ro.request.ID, Refusal: re})
	}
	clear(ta.waiting[cl][len(kept):])
	ta.waiting[cl] = kept
	return des
}

// expired returns the refusal of a waiting row that is given up on, or nil.
func (ta *Table) expired(now time.Time, ro *row) *outcome.Refusal {
	if ta.closed && !now.Before(ta.closeAt) {
		return outcome.NewRefusal(outcome.Leaving, ro.request.ID, "endpoint has left before the request could start")
	}
	if !ro.giveUp.IsZero() && !now.Before(ro.giveUp) {
		return ta.refuse(now, ro.request, "waited too long to be answered before its deadline")
	}
	return nil
}

// take takes the row that starts next out of those that wait, or returns nil.
func (ta *Table) take() *row {
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
	ta.unwait(cl, best)
	return ro
}

// start lets a row run.
func (ta *Table) start(now time.Time, ro *row) {
	ta.charge(ro)
	ro.running = true
	ro.since = now
	ta.running[ro.request.Class]++
	tl := ta.tally(ro.request.Profile)
	tl.waiting--
	tl.running++
}

// Remove takes a request out, waiting or running.
func (ta *Table) Remove(now time.Time, id string, out Result) {
	ro := ta.rows[id]
	if ro == nil {
		return
	}
	cl := ro.request.Class
	if !ro.running {
		for i, other := range ta.waiting[cl] {
			if other == ro {
				ta.unwait(cl, i)
				break
			}
		}
		ta.forget(ro, 0)
		return
	}
	ran := now.Sub(ro.since)
	ta.running[cl]--
	if out == Whole {
		ta.estimate.learn(now, cl, ran)
	}
	ta.forget(ro, ran)
}

// unwait takes the row at an index out of those that wait.
func (ta *Table) unwait(cl Class, i int) {
	wa := ta.waiting[cl]
	copy(wa[i:], wa[i+1:])
	wa[len(wa)-1] = nil
	ta.waiting[cl] = wa[:len(wa)-1]
}

// forget drops a row that waits and runs no longer.
func (ta *Table) forget(ro *row, ran time.Duration) {
	ta.settleShare(ro, ran)
	ta.untally(ro)
	delete(ta.rows, ro.request.ID)
}

// Close refuses new requests with leaving. Those that wait may start until
// the grace ends.
func (ta *Table) Close(now time.Time, grace time.Duration) {
	ta.closed = true
	ta.closeAt = now.Add(grace)
}

// Load returns how many requests run and wait.
func (ta *Table) Load() Load {
	return Load{
		Limit:   ta.limit,
		Running: ta.running[Live] + ta.running[Sample],
		Waiting: len(ta.waiting[Live]) + len(ta.waiting[Sample]),
	}
}

// SetPolicy puts another policy in force for all decisions from now on. What
// runs goes on, also above a lower limit.
func (ta *Table) SetPolicy(po Policy) {
	before := ta.policy.MaxRunning
	ta.policy = po.withDefaults()
	if ta.limit == before || ta.limit > ta.policy.MaxRunning {
		ta.limit = ta.policy.MaxRunning
	}
	ta.limit = max(ta.limit, ta.policy.MinRunning)
}
