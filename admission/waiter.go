package admission

import "time"

// Deadlines are what a request needs to be of use.
type Deadlines struct {
	Goal     time.Time // an answer until then is worth the most
	Deadline time.Time // an answer after it is worth nothing
}

// A Waiter is a request that waits for room.
type Waiter struct {
	Deadlines
	Arrived  time.Time
	Customer string // empty where requests have none
	ID       uint64
	Late     bool // it can't meet its goal, and runs behind those that can
	Priority int  // 0 goes first
}

// patience is how long the request may wait for room: a quarter of what it has until
// its goal. Two fifths are for the endpoint, and the rest for the ways and the spread of
// the work. One that is refused after that still has time to go elsewhere.
//
// One that is late anyway may wait for as large a part of what its caller has at all.
func (wa Waiter) patience() time.Duration {
	if wa.Late {
		return wa.Deadline.Sub(wa.Arrived) / patiencePart
	}
	return wa.Goal.Sub(wa.Arrived) / patiencePart
}

// How the time until a request's goal is divided; see patience.
const (
	// patiencePart is by what the time is divided to give the wait for room.
	patiencePart = 4
	// targetPart is the part that the request may spend at its endpoint.
	targetPart = 0.4
)

// LatencyTarget returns how long a request may spend at its endpoint whose goal is so far
// off.
func LatencyTarget(goal time.Duration) time.Duration {
	return time.Duration(targetPart * float64(goal))
}
