package rollout

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/peer"
)

// own reports whether this process may act now. Whoever owns the rollout anew
// knows of no order: it asks every engine before it orders anything of it.
func (ro *Rollout) own(now time.Time) bool {
	epoch, ok := ro.HeldFunc(now)
	if !ok || epoch <= ro.fenced {
		return false
	}
	if epoch != ro.epoch {
		ro.epoch = epoch
		for _, rw := range ro.rows {
			rw.enter(Unknown, now)
			rw.probe = time.Time{}
		}
	}
	return true
}

// ask probes engines whose order is not settled.
func (ro *Rollout) ask(now time.Time) {
	calls := 0
	for _, rw := range ro.rows {
		if rw.calling {
			calls++
		}
	}
	for _, rw := range ro.rows {
		if calls >= maxCalls {
			return
		}
		if rw.calling || rw.phase.settled() || now.Before(rw.probe) {
			continue
		}
		calls++
		ro.sendProbe(rw, now)
	}
}

// sendProbe queues a probe of an engine's attendant.
func (ro *Rollout) sendProbe(rw *row, now time.Time) {
	rw.calling = true
	rw.probe = now.Add(cmp.Or(ro.ProbeInterval, DefaultProbeInterval))
	address, epoch := rw.view.Address(), ro.epoch
	rq := ProbeRequest{Endpoint: rw.view.ID(), Epoch: epoch}
	ro.sends = append(ro.sends, func() {
		ro.SendProbeFunc(address, rq, func(st Status, err error) {
			ro.mu.Lock()
			defer ro.mu.Unlock()
			rw.calling = false
			if err != nil {
				return // the engine's fate stays unknown: ask again
			}
			ro.take(rw, st, time.Now())
		})
	})
}

// plan orders engines to load the wanted version, within the weight store's
// limit and above the floor. Engines that serve nothing come first, since they
// cost the floor nothing; then those whose failure domain has the fewest
// swaps under way, so that no domain stops serving as a whole.
func (ro *Rollout) plan(now time.Time) {
	if ro.wanted == 0 {
		return
	}
	pr := ro.progress(now)
	floor := 0
	if ro.FloorFunc != nil {
		floor = ro.FloorFunc(pr.Engines)
	}
	free := ro.limit - pr.Fetching
	spare := pr.Serving - floor
	swaps := ro.swaps()
	candidates := ro.candidates(now)
	for free > 0 {
		rw := best(candidates, swaps, spare)
		if rw == nil {
			return
		}
		if rw.serving() {
			spare--
		}
		free--
		swaps[rw.view.FailureDomain()]++
		candidates = slices.DeleteFunc(candidates, func(other *row) bool { return other == rw })
		ro.sendOrder(rw, now)
	}
}

// swaps counts the engines of each failure domain that are out of work for an
// order.
func (ro *Rollout) swaps() map[string]int {
	swaps := map[string]int{}
	for _, rw := range ro.rows {
		if !rw.phase.settled() {
			swaps[rw.view.FailureDomain()]++
		}
	}
	return swaps
}

// candidates returns the engines that may be ordered now, but for the floor.
func (ro *Rollout) candidates(now time.Time) []*row {
	var rws []*row
	for _, rw := range ro.rows {
		ready := rw.phase.settled() && !rw.calling && rw.reachable()
		if ready && rw.version < ro.wanted && !now.Before(rw.next) {
			rws = append(rws, rw)
		}
	}
	return rws
}

// best returns the engine to order next, or nil, if spare engines serve above
// the floor.
func best(rws []*row, swaps map[string]int, spare int) *row {
	var found *row
	for _, rw := range rws {
		if rw.cost() > spare {
			continue
		}
		if found == nil || compare(rw, found, swaps) < 0 {
			found = rw
		}
	}
	return found
}

// compare orders candidates, the one to be ordered first being the least.
func compare(a, b *row, swaps map[string]int) int {
	return cmp.Or(
		cmp.Compare(a.cost(), b.cost()),
		cmp.Compare(swaps[a.view.FailureDomain()], swaps[b.view.FailureDomain()]),
		cmp.Compare(a.attempts, b.attempts),
	)
}

// cost returns the least spare that an order to the engine asks for.
//
// An engine that has just swapped serves again before the roster says so. It
// isn't counted as serving then, but it would be missed: an order to it has to
// leave the floor to the others. Only an engine without weights costs nothing.
func (rw *row) cost() int {
	switch {
	case rw.serving():
		return 1
	case rw.version > 0:
		return 0
	default:
		return math.MinInt
	}
}

// sendOrder queues the order to load the wanted version.
func (ro *Rollout) sendOrder(rw *row, now time.Time) {
	rw.calling = true
	rw.enter(Sending, now)
	rw.probe = now.Add(cmp.Or(ro.ProbeInterval, DefaultProbeInterval))
	address := rw.view.Address()
	rq := Request{
		Endpoint:    rw.view.ID(),
		Incarnation: rw.incarnation(),
		Notify:      ro.Address,
		Order:       engine.Order{Epoch: ro.epoch, Kind: engine.LoadVersion, Version: ro.wanted},
		Token:       rw.token,
	}
	rw.token = 0
	ro.sends = append(ro.sends, func() {
		ro.SendOrderFunc(address, rq, func(an Response, err error) {
			ro.mu.Lock()
			defer ro.mu.Unlock()
			rw.calling = false
			ro.answered(rw, rq, an, err, time.Now())
		})
	})
}

// answered takes the outcome of an order.
func (ro *Rollout) answered(rw *row, rq Request, an Response, err error, now time.Time) {
	if rq.Order.Epoch != ro.epoch || rq.Incarnation != rw.incarnation() {
		return // the engine has become unknown meanwhile, and is asked
	}
	switch {
	case errors.Is(err, peer.ErrNotSent):
		rw.enter(Idle, now)
		ro.rest(rw, now)
	case err != nil:
		rw.enter(Unknown, rw.since) // taken or not: only a report tells
		rw.probe = now.Add(settleProbe)
	case an.Verdict == Fenced:
		ro.fenced = max(ro.fenced, rq.Order.Epoch)
	case an.Verdict == WrongIncarnation:
		rw.enter(Unknown, now) // the roster will name the new one
		rw.probe = now.Add(settleProbe)
	case an.Verdict == NotSent, an.Verdict == EngineFenced:
		ro.take(rw, an.Status, now)
		ro.rest(rw, now)
	default:
		ro.take(rw, an.Status, now)
	}
}

// take takes a status unless a later one was taken before.
func (ro *Rollout) take(rw *row, st Status, now time.Time) {
	if st.Epoch > ro.epoch {
		ro.fenced = max(ro.fenced, st.Epoch-1)
	}
	late := st.Incarnation == rw.started && st.Sequence < rw.sequence
	repeated := st.Incarnation == rw.started && st.Sequence == rw.sequence
	if st.Incarnation < rw.incarnation() || late {
		return
	}
	rw.started, rw.sequence = st.Incarnation, st.Sequence
	rw.version = st.Version
	if st.Token != 0 {
		rw.token = st.Token
	}
	if st.Phase != rw.phase {
		since := now
		if !st.Phase.settled() && !rw.phase.settled() {
			since = rw.since // still the same fetch
		}
		rw.enter(st.Phase, since)
	}
	if st.Phase == Failed && st.Ordered == ro.wanted && !repeated {
		ro.rest(rw, now)
	}
}

// rest makes an engine that failed wait, longer each time.
func (ro *Rollout) rest(rw *row, now time.Time) {
	shift := min(rw.attempts, maxBackoffShift)
	rw.attempts++
	wait := min(cmp.Or(ro.BackoffFirst, DefaultBackoffFirst)<<shift, cmp.Or(ro.BackoffLongest, DefaultBackoffLongest))
	random := rand.Int64N
	if ro.Rand != nil {
		random = ro.Rand.Int64N
	}
	half := int64(wait) / 2
	rw.next = now.Add(time.Duration(half + random(half+1)))
}
