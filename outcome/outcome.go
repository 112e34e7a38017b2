// Package outcome says what became of a request, truthfully: whether it ran, did
// not run, or cannot be known to have run.
package outcome

import (
	"time"

	"github.com/cockroachdb/errors"
)

// An Outcome is what became of a request that got no whole answer. The zero Outcome
// is Unknown, so that whoever forgets to set it claims nothing.
type Outcome int

// The fates.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request was never written to an endpoint.
	NotRun
	// Ran means that the request ran and that its answer is at hand.
	Ran
)

var names = [...]string{Unknown: "fate-unknown", NotRun: "not-run", Ran: "ran"}

// String returns the fate's name on the wire.
func (fa Outcome) String() string { return names[fa] }

// Parse returns the fate of a name on the wire; any other name is Unknown.
func Parse(name string) Outcome {
	for fa, na := range names {
		if na == name {
			return Outcome(fa)
		}
	}
	return Unknown
}

// A Code is the kind of a refusal.
type Code string

// The kinds of refusals.
const (
	BadRequest       Code = "bad-request"       // not run: the request itself is wrong
	DeadlineExceeded Code = "deadline-exceeded" // see the refusal's fate
	OutcomeUnknown   Code = "fate-unknown"      // may have run; the caller must look before repeating
	InProgress       Code = "in-progress"       // the same idempotency key is running now
	Leaving          Code = "leaving"           // not run: the endpoint or process is draining
	NotHome          Code = "not-home"          // not run: this endpoint may not run the key
	Refused          Code = "not-run"           // not run, for a reason that the message gives
	Overloaded       Code = "overloaded"        // not run: come back after RetryAfter
	UnknownProfile   Code = "unknown-profile"   // not run: no such profile is in force
)

// A Refusal is the typed answer to a request that got no whole answer. It is
// an error, and its exported fields are its form on the wire.
type Refusal struct {
	Code Code `json:"code"`
	// EndpointEnded means that the endpoint's process ended while it ran the request.
	EndpointEnded bool   `json:"endpoint-ended,omitempty"`
	Fate          string `json:"fate"`
	Message       string `json:"message"`
	RequestID     string `json:"request-id"`
	RetryAfter    string `json:"retry-after,omitempty"` // a Go duration, such as "250ms"
}

// NewRefusal returns a refusal of a code with the fate that it implies.
func NewRefusal(code Code, requestID, message string) *Refusal {
	return &Refusal{
		Code:      code,
		Fate:      implied(code).String(),
		Message:   message,
		RequestID: requestID,
	}
}

// implied returns the fate of a code. A deadline may pass before or after the
// request was written, so whoever knows better sets the fate itself.
func implied(code Code) Outcome {
	switch code {
	case DeadlineExceeded, OutcomeUnknown, InProgress:
		return Unknown
	default:
		return NotRun
	}
}

// Error implements error.
func (re *Refusal) Error() string { return string(re.Code) + ": " + re.Message }

// Outcome returns the refusal's fate.
func (re *Refusal) Outcome() Outcome { return Parse(re.Fate) }

// RetryDelay returns how long the caller should wait before it asks again, or 0.
func (re *Refusal) RetryDelay() time.Duration {
	wait, err := time.ParseDuration(re.RetryAfter)
	if err != nil {
		return 0
	}
	return wait
}

// FromError returns the fate that err tells: that of the Refusal it wraps, or
// Unknown.
func FromError(err error) Outcome {
	var re *Refusal
	if errors.As(err, &re) {
		return re.Outcome()
	}
	return Unknown
}
