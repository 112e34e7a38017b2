package route

import "time"

// assumedLimit is the concurrency limit of an endpoint that has not reported one.
const assumedLimit = 16

// A row is the state of an endpoint.
type row struct {
	endpoint   Endpoint
	ejected    int       // consecutive ejections, since the last success
	failures   int       // consecutive failures
	inFlight   int       // requests of this entry
	load       Load      // last reported
	probing    bool      // ejected, and a probe is in flight
	avoidUntil time.Time // avoided until then
}

// loadRatio returns the row's load as a fraction of its limit. Requests of this entry may be included in
// the reported load or not, so the larger of the two numbers is used.
func (ro *row) loadRatio() float64 {
	limit := ro.load.Limit
	if limit == 0 {
		limit = assumedLimit
	}
	return float64(max(ro.inFlight, ro.load.Running+ro.load.Waiting)) / float64(limit)
}

// usable reports whether the row may get a request now. After its ejection time, an ejected endpoint
// gets one request at a time as a probe.
func (ro *row) usable(now time.Time) bool {
	if now.Before(ro.avoidUntil) {
		return false
	}
	return ro.ejected == 0 || !ro.probing
}
