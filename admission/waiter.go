package admission

import "time"

// Deadlines are the time limits of a request.
type Deadlines struct {
	Goal     time.Time // latency goal; a later response is late but still of use
	Deadline time.Time // a later response is useless
}

// A Waiter is a queued request.
type Waiter struct {
	Deadlines
	Arrived  time.Time
	Customer string // empty if the route requires no key
	ID       uint64
	Late     bool // cannot meet its goal; served after those that can
	Priority int  // 0 is served first
}

// maxDelay returns the maximum time of the request in the queue: a fixed fraction of the time until its
// goal or, if it is late, until its deadline. If it is then rejected, its caller still has time to
// retry elsewhere.
func (wa Waiter) maxDelay() time.Duration {
	if wa.Late {
		return wa.Deadline.Sub(wa.Arrived) / maxDelayDivisor
	}
	return wa.Goal.Sub(wa.Arrived) / maxDelayDivisor
}

// Division of the time until a request's goal. The rest covers network latency and the variance of
// the work.
const (
	// maxDelayDivisor divides the time to give the maximum time in the queue.
	maxDelayDivisor = 4
	// targetFraction is the fraction that the request may spend at its endpoint.
	targetFraction = 0.4
)

// LatencyTarget returns how long a request with a latency goal may spend at its endpoint.
func LatencyTarget(goal time.Duration) time.Duration {
	return time.Duration(targetFraction * float64(goal))
}
