package gate

import "time"

const (
	// adjustEvery is the minimum time between two changes of the limit. Reports are delayed, so
	// each change must first take effect in them.
	adjustEvery = time.Second
	// peakDecay is the time after which the peak of live calls starts to decay.
	peakDecay = 10 * time.Second
	// reservedFraction is the fraction of the peak of live calls for which slots are reserved. With the whole of it
	// live calls fare no better and samples worse; with none the p99 of live calls beside samples is a quarter
	// higher (docs/design/live-calls.md).
	reservedFraction = 0.75
	// minQueueTime is how long an endpoint must report a queue before the limit falls. It is longer
	// than an engine takes to load weights.
	minQueueTime = 10 * time.Second
)

// free returns the number of slots that a class may occupy now.
func (ta *Table) free(cl Class) int {
	free := ta.limit - ta.running[Live] - ta.running[Sample]
	if cl == Sample && ta.policy.Order == LiveFirst {
		free = min(free, ta.sampleSlots()-ta.running[Sample])
	}
	return free
}

// sampleSlots returns the maximum number of running samples. The reserve follows the recent peak
// of live calls, up to half the limit: a live call can't wait for a sample to end.
func (ta *Table) sampleSlots() int {
	reserve := max(ta.policy.LiveReserve, min(int(reservedFraction*float64(ta.peak)), ta.limit/2))
	return max(1, ta.limit-reserve)
}

// updatePeak updates the recent peak of live calls.
func (ta *Table) updatePeak(now time.Time) {
	live := ta.running[Live] + len(ta.waiting[Live])
	if live >= ta.peak {
		ta.peak, ta.peakAt = live, now
		return
	}
	if now.Sub(ta.peakAt) >= peakDecay {
		ta.peak, ta.peakAt = ta.peak-1, now
	}
}

// Observe adapts the limit to a load report of the endpoint. Requests that queue in the endpoint
// can't be prioritized, so a queue that lasts for minQueueTime lowers the limit. The limit rises by
// one at a time while requests wait here and none in the endpoint.
//
// Short queues are ignored, and the limit stays at or above the most requests that ran meanwhile: a
// healthy engine queues requests between steps and while it loads weights, and would otherwise be
// throttled until it idles.
func (ta *Table) Observe(now time.Time, reported Load) {
	if reported.Waiting == 0 {
		ta.queuedSince, ta.queuedRunning = time.Time{}, 0
	} else if ta.queuedSince.IsZero() {
		ta.queuedSince = now
	}
	ta.queuedRunning = max(ta.queuedRunning, reported.Running)
	if now.Sub(ta.adjusted) < adjustEvery {
		return
	}
	held := len(ta.waiting[Live])+len(ta.waiting[Sample]) > 0
	switch {
	case reported.Waiting > 0 && now.Sub(ta.queuedSince) >= minQueueTime:
		drop := min(reported.Waiting, max(1, ta.limit/4))
		ta.limit = max(ta.policy.MinRunning, min(ta.limit, ta.queuedRunning), ta.limit-drop)
	case reported.Waiting == 0 && held && ta.limit < ta.policy.MaxRunning:
		ta.limit++
	default:
		return
	}
	ta.adjusted = now
}
