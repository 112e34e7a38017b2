// Package hold manages the operators' holds, which pause new work of a customer, a step, a service
// or an endpoint.
//
// All holds are one value in the key-value service, which is replaced by compare-and-swap only.
// Every process that schedules work follows it, and uses the newest one during an outage.
package hold

import (
	"time"

	"github.com/cockroachdb/errors"
)

// A Kind is the kind of a hold's target.
type Kind string

// The kinds of targets.
const (
	// Customer pauses the items of a customer's steps that have not started, and rejects its
	// live requests.
	Customer Kind = "customer"
	// Endpoint drains an endpoint: it gets no new work.
	Endpoint Kind = "endpoint"
	// Service pauses the autoscaling of a service.
	Service Kind = "service"
	// Step pauses the items of a step that have not started.
	Step Kind = "step"
)

// Kinds are all kinds, ordered by name.
var Kinds = []Kind{Customer, Endpoint, Service, Step}

// A Target identifies what is held.
type Target struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"` // for an endpoint its ID, or its address, which a restart keeps
}

// String returns the target in the syntax of the command line.
func (ta Target) String() string { return string(ta.Kind) + " " + ta.Name }

// A Record is a hold that is in force, with its author and reason.
type Record struct {
	Target
	At  time.Time `json:"at"`
	By  string    `json:"by"`
	Why string    `json:"why"`
}

// Maximum lengths of a record's texts, in bytes. They bound the size of the stored value.
const (
	maxName = 200
	maxText = 300
)

// Validation errors of changes.
var (
	// ErrBadTarget means that the kind or the name is invalid.
	ErrBadTarget = errors.New("can't be held")
	// ErrNoReason means that a change has no reason or no author.
	ErrNoReason = errors.New("a change needs a reason, and who makes it")
	// ErrTooLong means that a text exceeds its maximum length.
	ErrTooLong = errors.New("text is too long")
)

// Check returns an error if the record is invalid.
func (re Record) Check() error {
	switch re.Kind {
	case Customer, Endpoint, Service, Step:
	default:
		return errors.Wrapf(ErrBadTarget, "kind %q", re.Kind)
	}
	switch {
	case re.Name == "":
		return errors.Wrapf(ErrBadTarget, "%s without a name", re.Kind)
	case re.Why == "" || re.By == "":
		return ErrNoReason
	case len(re.Name) > maxName:
		return errors.Wrapf(ErrTooLong, "name of %d bytes, maximum %d", len(re.Name), maxName)
	case len(re.Why) > maxText, len(re.By) > maxText:
		return errors.Wrapf(ErrTooLong, "reason of %d bytes and author of %d bytes, maximum %d each", len(re.Why), len(re.By), maxText)
	}
	return nil
}
