package profile

import (
	"sync"
	"time"
)

// A Replica holds the document in force in one process. Its revision never
// decreases. The zero Replica is empty and ready to use. It is safe for
// concurrent use.
type Replica struct {
	mu              sync.Mutex
	changed         chan struct{}
	current         Document
	rejectsBranches bool
	peerContact     time.Time
	serviceContact  time.Time
	source          Source
	adoptedAt       time.Time
}

// A Status is a snapshot of a Replica's state.
type Status struct {
	PeerHeardAt    time.Time // zero: never
	Revision       uint64
	ServiceHeardAt time.Time // zero: never
	Source         Source
	TakenAt        time.Time // zero: no document yet
}

// Stale reports whether the last contact with a source is longer ago than a
// bound, and returns the time of that contact, zero if there was none.
func (st Status) Stale(so Source, now time.Time, bound time.Duration) (time.Time, bool) {
	since := st.ServiceHeardAt
	if so == FromPeer {
		since = st.PeerHeardAt
	}
	return since, now.Sub(since) > bound
}

// CutOff reports whether the last contact with the service and all peers is
// longer ago than a bound, and returns the time of that contact. A process that
// is cut off continues with the document that it holds.
func (st Status) CutOff(now time.Time, bound time.Duration) (time.Time, bool) {
	since := later(st.ServiceHeardAt, st.PeerHeardAt)
	return since, now.Sub(since) > bound
}

// Changed returns a channel that is closed when the next document is adopted.
func (re *Replica) Changed() <-chan struct{} {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.changed == nil {
		re.changed = make(chan struct{})
	}
	return re.changed
}

// Current returns the document in force, or the zero Document if there is none.
func (re *Replica) Current() Document {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.current
}

// RecordContact records that the key-value service or a peer answered at a time.
func (re *Replica) RecordContact(so Source, at time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	switch so {
	case FromPeer:
		re.peerContact = later(re.peerContact, at)
	case FromService:
		re.serviceContact = later(re.serviceContact, at)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// rejectBranches makes Offer reject documents that lack changes of the current one.
// A Follower calls it. Otherwise a branch that was written on a restored copy of
// the service's value, and received from a peer, could replace the last copy of
// accepted changes before the Follower merges the two. Processes without a
// Follower adopt the highest revision, branch or not.
func (re *Replica) rejectBranches() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.rejectsBranches = true
}

// Offer adopts a document if its revision is above the current one and reports
// whether it did. A restored or lagging key-value service, or a peer that was
// paused, can return a lower revision; adopting it would revert an accepted
// change.
func (re *Replica) Offer(do Document, so Source) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	if do.revision <= re.current.revision {
		return false
	}
	if re.rejectsBranches && !do.descendsFrom(re.current) {
		return false
	}
	re.current = do
	re.source = so
	re.adoptedAt = time.Now()
	if re.changed != nil {
		close(re.changed)
		re.changed = nil
	}
	return true
}

// Revision returns the revision in force, or 0.
func (re *Replica) Revision() uint64 { return re.Current().Revision() }

// Status returns a snapshot of the replica's state.
func (re *Replica) Status() Status {
	re.mu.Lock()
	defer re.mu.Unlock()
	st := Status{
		PeerHeardAt:    re.peerContact,
		Revision:       re.current.revision,
		ServiceHeardAt: re.serviceContact,
		Source:         re.source,
		TakenAt:        re.adoptedAt,
	}
	if st.Source == "" {
		st.Source = FromNone
	}
	return st
}
