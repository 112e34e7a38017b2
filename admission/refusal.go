package admission

import "time"

// A Reason is the reason for a rejection, used in logs and metrics.
type Reason string

// The reasons.
const (
	NoMemory  Reason = "no-memory"  // the memory limit for requests and responses is reached
	NoRoom    Reason = "no-room"    // the request would miss its goal and delay others that can meet theirs
	NoTime    Reason = "no-time"    // the request cannot be answered before its deadline
	QueueFull Reason = "queue-full" // the queue is at its maximum length
	TooLong   Reason = "too-long"   // the request reached its maximum time in the queue
	Yielded   Reason = "yielded"    // the request was evicted from a full queue by a more urgent one
)

// A Forecast is the predicted performance of a service's endpoints for one sender.
type Forecast struct {
	Expected time.Duration // duration of a request sent now to the best endpoint
	Rate     float64       // requests a second that the endpoints can answer to the sender
	Total    float64       // requests a second that the endpoints can answer to all senders
}

// A Refusal is a rejected request.
type Refusal struct {
	Waiter
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	// State of the queue at the decision, for the log.
	Arrivals float64 // a second
	Length   int
	Outlook  Forecast
	Standing bool
}
