package profile

import "time"

// A Change is the record of one accepted change.
type Change struct {
	at       time.Time
	by       string
	id       string
	message  string
	revision uint64
	changed  []ChangedProfile
}

// A ChangedProfile is a profile that a change added, altered or removed. Before and
// After are digests, "" where the profile does not exist.
type ChangedProfile struct {
	After  string
	Before string
	Name   string
}

// At returns the time of the change by the operator's clock.
func (ch Change) At() time.Time { return ch.at }

// By returns who made the change.
func (ch Change) By() string { return ch.by }

// ID returns the unique id of the change.
func (ch Change) ID() string { return ch.id }

// Message returns the operator's reason.
func (ch Change) Message() string { return ch.message }

// Revision returns the revision that the change made.
func (ch Change) Revision() uint64 { return ch.revision }

// ChangedProfiles returns the changed profiles, sorted by name.
func (ch Change) ChangedProfiles() []ChangedProfile { return ch.changed }
