// Package outcome defines whether a request has run: yes, no, or unknown.
package outcome

import (
	"time"

	"github.com/cockroachdb/errors"
)

// An Outcome tells whether a request without a whole answer has run. The zero Outcome is Unknown,
// which claims nothing.
type Outcome int

// The outcomes.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that no byte of the request was sent to an endpoint.
	NotRun
	// Ran means that the request ran and its answer is available.
	Ran
)

var names = [...]string{Unknown: "fate-unknown", NotRun: "not-run", Ran: "ran"}

// String returns the name of the outcome on the wire.
func (ou Outcome) String() string { return names[ou] }

// Parse returns the outcome with a name on the wire, or Unknown for any other name.
func Parse(name string) Outcome {
	for ou, na := range names {
		if na == name {
			return Outcome(ou)
		}
	}
	return Unknown
}

// A Code is the kind of a refusal.
type Code string

// The kinds of refusals.
const (
	BadRequest       Code = "bad-request"       // not run: the request is invalid
	DeadlineExceeded Code = "deadline-exceeded" // Refusal.Fate tells whether it ran
	OutcomeUnknown   Code = "fate-unknown"      // may have run; the caller must check before it repeats
	InProgress       Code = "in-progress"       // a request with the same idempotency key is running
	Leaving          Code = "leaving"           // not run: the endpoint or process is shutting down
	NotHome          Code = "not-home"          // not run: the endpoint is not the home of the key
	Refused          Code = "not-run"           // not run, for the reason in the message
	Overloaded       Code = "overloaded"        // not run: retry after RetryAfter
	UnknownProfile   Code = "unknown-profile"   // not run: no such profile in the active configuration
)

// A Refusal is the error returned for a request without a whole answer. Its exported fields are its
// wire format.
type Refusal struct {
	Code Code `json:"code"`
	// EndpointEnded means that the endpoint's process ended while it ran the request.
	EndpointEnded bool   `json:"endpoint-ended,omitempty"`
	Fate          string `json:"fate"`
	Message       string `json:"message"`
	RequestID     string `json:"request-id"`
	RetryAfter    string `json:"retry-after,omitempty"` // a Go duration such as "250ms"
}

// NewRefusal returns a refusal with the outcome implied by its code.
func NewRefusal(code Code, requestID, message string) *Refusal {
	return &Refusal{
		Code:      code,
		Fate:      implied(code).String(),
		Message:   message,
		RequestID: requestID,
	}
}

// implied returns the outcome implied by a code. For DeadlineExceeded the caller sets the outcome
// if it is known.
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

// Outcome returns the refusal's outcome.
func (re *Refusal) Outcome() Outcome { return Parse(re.Fate) }

// RetryDelay returns the time to wait before a retry, or 0 if there is none.
func (re *Refusal) RetryDelay() time.Duration {
	wait, err := time.ParseDuration(re.RetryAfter)
	if err != nil {
		return 0
	}
	return wait
}

// FromError returns the outcome of the Refusal wrapped by err, or Unknown.
func FromError(err error) Outcome {
	var re *Refusal
	if errors.As(err, &re) {
		return re.Outcome()
	}
	return Unknown
}
