package profile

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// ErrChangeIDUsed means that the change id belongs to another change in the
// service. Nothing was written.
var ErrChangeIDUsed = errors.New("change id was used for another change")

// ErrInvalid means that the merged profiles contradict each other. Nothing was
// written. The error also wraps the findings.
var ErrInvalid = errors.New("the profiles after the merge are invalid")

// A Conflict means that the operator and another operator changed the same
// profiles since the base. Nothing was written.
type Conflict struct {
	differences []Difference
	last        Change
	revision    uint64
}

// Differences returns both sides of each profile in conflict, by name.
func (co *Conflict) Differences() []Difference { return co.differences }

// Error implements error.
func (co *Conflict) Error() string {
	names := make([]string, len(co.differences))
	for i, di := range co.differences {
		names[i] = di.Name
	}
	text := fmt.Sprintf("changed both here and in revision %d since the base: %s",
		co.revision, strings.Join(names, ", "))
	if co.last.id != "" {
		text += fmt.Sprintf(" (last changed by %s: %s)", co.last.by, co.last.message)
	}
	return text
}

// Last returns the latest recorded change to any of the profiles.
func (co *Conflict) Last() Change { return co.last }

// Revision returns the revision in the service.
func (co *Conflict) Revision() uint64 { return co.revision }

// newConflict returns a conflict with the latest change to the profiles.
func newConflict(current Document, differences []Difference) *Conflict {
	co := &Conflict{differences: differences, revision: current.revision}
	for _, di := range differences {
		if ch := current.lastChange(di.Name); ch.revision > co.last.revision {
			co.last = ch
		}
	}
	return co
}

// An OutcomeUnknownError means that a change was sent and may or may not have
// taken effect. Applying the same profiles again resolves it.
type OutcomeUnknownError struct {
	cause error
	id    string // of the change; the history shows it if the change took effect
}

// Error implements error.
func (oe *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s may or may not have taken effect: %v", oe.id, oe.cause)
}

// Unwrap returns keyvalue.ErrOutcomeUnknown. The cause is left out: it is often
// keyvalue.ErrUnavailable, which promises that nothing was written.
func (oe *OutcomeUnknownError) Unwrap() error { return keyvalue.ErrOutcomeUnknown }

// A Reverted means that the service returned a lower revision than one seen
// before: a restored backup or a stale read. Nothing was written.
type Reverted struct {
	revision uint64 // in the service
	seen     uint64 // the highest seen before
}

// Error implements error.
func (re *Reverted) Error() string {
	return fmt.Sprintf("the key-value service holds revision %d, but revision %d has been in force: "+
		"wait until an entry has put it back, then apply again", re.revision, re.seen)
}
