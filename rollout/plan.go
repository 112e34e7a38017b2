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

// active reports whether this process may act now. Under a new epoch it resets all rows to Unknown, so
// that each engine is probed before it gets an order.
func (ro *Rollout) active(now time.Time) bool {
	epoch, ok := ro.HeldFunc(now)
	if !ok || epoch <= ro.fencedEpoch {
		return false
	}
	if epoch != ro.epoch {
		ro.epoch = epoch
		for _, rw := range ro.rows {
			rw.enter(Unknown, now)
			rw.nextProbeAt = time.Time{}
		}
	}
	return true
}

// probeUnsettled probes engines whose order is not settled.
func (ro *Rollout) probeUnsettled(now time.Time) {
	calls := 0
	for _, rw := range ro.rows {
		if rw.callPending {
			calls++
		}
	}
	for _, rw := range ro.rows {
		if calls >= maxProbes {
			return
		}
		if rw.callPending || rw.phase.settled() || now.Before(rw.nextProbeAt) {
			continue
		}
		calls++
		ro.sendProbe(rw, now)
	}
}

// sendProbe queues a probe of an engine.
func (ro *Rollout) sendProbe(rw *row, now time.Time) {
	rw.callPending = true
	rw.nextProbeAt = now.Add(cmp.Or(ro.ProbeInterval, DefaultProbeInterval))
	address, epoch := rw.view.Address(), ro.epoch
	rq := ProbeRequest{Endpoint: rw.view.ID(), Epoch: epoch}
	ro.sends = append(ro.sends, func() {
		ro.SendProbeFunc(address, rq, func(st Status, err error) {
			ro.mu.Lock()
			defer ro.mu.Unlock()
			rw.callPending = false
			if err != nil {
				return // still unknown; probe again
			}
			ro.applyStatus(rw, st, time.Now())
		})
	})
}

// plan orders engines to load the wanted version, within the fetch limit and the serving floor.
// Engines that serve nothing come first, then those whose failure domain has the fewest swaps in
// progress, so that no failure domain stops serving as a whole.
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

// swaps counts the engines with an unsettled order by failure domain.
func (ro *Rollout) swaps() map[string]int {
	swaps := map[string]int{}
	for _, rw := range ro.rows {
		if !rw.phase.settled() {
			swaps[rw.view.FailureDomain()]++
		}
	}
	return swaps
}

// candidates returns the engines that may be ordered now, regardless of the floor.
func (ro *Rollout) candidates(now time.Time) []*row {
	var rws []*row
	for _, rw := range ro.rows {
		ready := rw.phase.settled() && !rw.callPending && rw.reachable()
		if ready && rw.version < ro.wanted && !now.Before(rw.nextOrderAt) {
			rws = append(rws, rw)
		}
	}
	return rws
}

// best returns the next engine to order, or nil. spare is the number of engines that serve above
// the floor.
func best(rws []*row, swaps map[string]int, spare int) *row {
	var found *row
	for _, rw := range rws {
		if rw.requiredSpare() > spare {
			continue
		}
		if found == nil || compare(rw, found, swaps) < 0 {
			found = rw
		}
	}
	return found
}

// compare sorts candidates; the least is ordered first.
func compare(a, b *row, swaps map[string]int) int {
	return cmp.Or(
		cmp.Compare(a.requiredSpare(), b.requiredSpare()),
		cmp.Compare(swaps[a.view.FailureDomain()], swaps[b.view.FailureDomain()]),
		cmp.Compare(a.attempts, b.attempts),
	)
}

// requiredSpare returns the least spare that an order to the engine requires.
//
// An engine with weights may be serving although the membership table does not show it yet, just after
// a swap. It does not count as serving, so its order requires a spare of 0. Only an engine without
// weights may be ordered below the floor.
func (rw *row) requiredSpare() int {
	switch {
	case rw.serving():
		return 1
	case rw.version > 0:
		return 0
	default:
		return math.MinInt
	}
}

// sendOrder queues an order to load the wanted version.
func (ro *Rollout) sendOrder(rw *row, now time.Time) {
	rw.callPending = true
	rw.enter(Sending, now)
	rw.nextProbeAt = now.Add(cmp.Or(ro.ProbeInterval, DefaultProbeInterval))
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
			rw.callPending = false
			ro.applyResponse(rw, rq, an, err, time.Now())
		})
	})
}

// applyResponse processes the outcome of an order.
func (ro *Rollout) applyResponse(rw *row, rq Request, an Response, err error, now time.Time) {
	if rq.Order.Epoch != ro.epoch || rq.Incarnation != rw.incarnation() {
		return // the engine has been reset to Unknown and will be probed
	}
	switch {
	case errors.Is(err, peer.ErrNotSent):
		rw.enter(Idle, now)
		ro.backOff(rw, now)
	case err != nil:
		rw.enter(Unknown, rw.since) // may have been accepted; only a report can tell
		rw.nextProbeAt = now.Add(reprobeDelay)
	case an.Verdict == Fenced:
		ro.fencedEpoch = max(ro.fencedEpoch, rq.Order.Epoch)
	case an.Verdict == WrongIncarnation:
		rw.enter(Unknown, now) // the membership table will show the new incarnation
		rw.nextProbeAt = now.Add(reprobeDelay)
	case an.Verdict == NotSent, an.Verdict == EngineFenced:
		ro.applyStatus(rw, an.Status, now)
		ro.backOff(rw, now)
	default:
		ro.applyStatus(rw, an.Status, now)
	}
}

// applyStatus processes a status unless a later one has been processed.
func (ro *Rollout) applyStatus(rw *row, st Status, now time.Time) {
	if st.Epoch > ro.epoch {
		ro.fencedEpoch = max(ro.fencedEpoch, st.Epoch-1)
	}
	late := st.Incarnation == rw.statusIncarnation && st.Sequence < rw.statusSequence
	repeated := st.Incarnation == rw.statusIncarnation && st.Sequence == rw.statusSequence
	if st.Incarnation < rw.incarnation() || late {
		return
	}
	rw.statusIncarnation, rw.statusSequence = st.Incarnation, st.Sequence
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
		ro.backOff(rw, now)
	}
}

// backOff sets the backoff of an engine after a failure.
func (ro *Rollout) backOff(rw *row, now time.Time) {
	shift := min(rw.attempts, maxBackoffShift)
	rw.attempts++
	wait := min(cmp.Or(ro.BackoffFirst, DefaultBackoffFirst)<<shift, cmp.Or(ro.BackoffLongest, DefaultBackoffLongest))
	random := rand.Int64N
	if ro.Rand != nil {
		random = ro.Rand.Int64N
	}
	half := int64(wait) / 2
	rw.nextOrderAt = now.Add(time.Duration(half + random(half+1)))
}
