package forward

import (
	"time"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

// A capacity is free capacity for one request at an endpoint.
type capacity struct {
	slotFree   bool      // a slot is free, so that the request would not wait
	answeredBy time.Time // time before which most such requests are answered
	unloadedBy time.Time // the same for a request without concurrent ones
}

// A filter reports whether free capacity is suitable for a request.
type filter func(ca capacity) bool

// anyTime accepts any capacity, for requests that may be late.
func anyTime(capacity) bool { return true }

// inTime accepts capacity for a response before the goal.
func inTime(goal time.Time) filter {
	return func(ca capacity) bool { return !ca.answeredBy.After(goal) }
}

// spareOnly accepts capacity that no request in time could use, for late requests while others are
// rejected. Goal is that of a request that arrives now.
func spareOnly(goal time.Time) filter {
	return func(ca capacity) bool { return ca.slotFree || ca.unloadedBy.After(goal) }
}

// PickAvailable is Pick among the endpoints that have capacity for one more request and that fits
// accepts.
func (ta *Table) PickAvailable(ens []directory.Endpoint, tried map[string]bool, domain string, now time.Time, fits filter) (directory.Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	healthy := ta.anyHealthy(ens, tried, now)
	return ta.choose(ens, tried, preference{domain, callerLocalPreference}, now, func(en directory.Endpoint, ro *row) bool {
		return ro.usable(healthy, now) && ro.limiter.Available(ro.inFlight, en.Slots, now) && fits(ro.capacity(en, now))
	})
}

func (ro *row) capacity(en directory.Endpoint, now time.Time) capacity {
	return capacity{
		slotFree:   ro.inFlight+ro.limiter.OthersInFlight(now) < en.Slots,
		answeredBy: now.Add(ro.limiter.LatencyBound(ro.inFlight, en.Slots, now)),
		unloadedBy: now.Add(ro.limiter.UnloadedLatency(now)),
	}
}

// anyHealthy reports whether any endpoint is available that has no penalty.
func (ta *Table) anyHealthy(ens []directory.Endpoint, tried map[string]bool, now time.Time) bool {
	for _, en := range ens {
		if !en.Leaving && !tried[en.ID] && !now.Before(ta.currentRow(en).penalty) {
			return true
		}
	}
	return false
}

// usable reports whether an endpoint may get requests: with a penalty only if none is healthy.
func (ro *row) usable(healthy bool, now time.Time) bool { return !healthy || !now.Before(ro.penalty) }

// Forecast returns the predicted performance of endpoints for this sender.
func (ta *Table) Forecast(ens []directory.Endpoint, now time.Time) admission.Forecast {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var fc admission.Forecast
	healthy := ta.anyHealthy(ens, nil, now)
	for _, en := range ens {
		ro := ta.currentRow(en)
		if en.Leaving || !ro.usable(healthy, now) {
			continue
		}
		fc.Total += ro.limiter.TotalRate(en.Slots, now)
		fc.Rate += ro.limiter.Rate(ro.inFlight, en.Slots, now)
		if expected := ro.limiter.LatencyBound(ro.inFlight, en.Slots, now); fc.Expected == 0 || expected < fc.Expected {
			fc.Expected = expected
		}
	}
	return fc
}
