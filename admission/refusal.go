package admission

import "time"

// A Reason is why a request is refused.
type Reason string

// The reasons.
const (
	NoMemory  Reason = "no-memory"  // too much is held for callers already
	NoRoom    Reason = "no-room"    // it would miss its goal, and take room of those that meet theirs
	NoTime    Reason = "no-time"    // it would not be answered by its deadline
	QueueFull Reason = "queue-full" // too many wait
	TooLong   Reason = "too-long"   // it waited as long as it may
	Yielded   Reason = "yielded"    // it made place for a more urgent one
)

// A Forecast is what a service's endpoints are likely to do for a sender.
type Forecast struct {
	Expected time.Duration // of a request that is sent now, at the best of them
	Rate     float64       // requests a second that the sender may have answered
	Total    float64       // requests a second that they answer to all senders
}

// A Refusal is a waiter that is refused, with what its caller and the log are told.
type Refusal struct {
	Waiter
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	// What decided, for the log.
	Arrivals float64 // a second
	Length   int
	Outlook  Forecast
	Standing bool
}
