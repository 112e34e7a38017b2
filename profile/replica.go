package profile

import (
	"sync"
	"time"
)

// A Replica is the document in force in one process. It never goes to a lower
// revision. The zero Replica holds nothing and is ready to use.
type Replica struct {
	mu           sync.Mutex
	changed      chan struct{}
	current      Document
	keepsLineage bool
	peerAt       time.Time
	serverAt     time.Time
	source       Source
	takenAt      time.Time
}

// A Status is what a Replica can tell of itself.
type Status struct {
	PeerHeardAt    time.Time // zero: never
	Revision       uint64
	ServiceHeardAt time.Time // zero: never
	Source         Source
	TakenAt        time.Time // zero: nothing is held
}

// Silent tells whether a source has not been heard for longer than a bound,
// and since when; the zero time stands for never heard. A process that hears
// neither the service nor a peer is cut off: it goes on with what it holds.
func (st Status) Silent(so Source, now time.Time, bound time.Duration) (time.Time, bool) {
	since := st.ServiceHeardAt
	if so == FromPeer {
		since = st.PeerHeardAt
	}
	return since, now.Sub(since) > bound
}

// CutOff tells whether neither the service nor a peer has been heard for
// longer than a bound, and since when.
func (st Status) CutOff(now time.Time, bound time.Duration) (time.Time, bool) {
	since := later(st.ServiceHeardAt, st.PeerHeardAt)
	return since, now.Sub(since) > bound
}

// Changed returns a channel that is closed when the next document is taken.
func (ho *Replica) Changed() <-chan struct{} {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.changed == nil {
		ho.changed = make(chan struct{})
	}
	return ho.changed
}

// Current returns the document in force. Its revision is 0 until one is taken.
func (ho *Replica) Current() Document {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.current
}

// RecordContact notes that the key-value service or a peer has answered at a time.
func (ho *Replica) RecordContact(so Source, at time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	switch so {
	case FromPeer:
		ho.peerAt = later(ho.peerAt, at)
	case FromService:
		ho.serverAt = later(ho.serverAt, at)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// keepLineage has the holder take only a document that has all changes of the
// one held. A Follower asks for it. Otherwise a branch, written on a restored
// copy of the service's value and heard from a peer, could replace the last
// trace of accepted changes before the Follower joins the two. Processes that
// do not follow the service take the highest revision, branch or not.
func (ho *Replica) keepLineage() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.keepsLineage = true
}

// Offer takes a document of a higher revision than the one held and tells
// whether it did.
//
// A restored or lagging key-value service, or a peer that was paused, can show
// a revision below one that is in force; to take it would revert an accepted
// change. One would notice it by a process whose revision falls. Comparing
// under the lock, here and nowhere else, prevents it.
func (ho *Replica) Offer(do Document, so Source) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if do.revision <= ho.current.revision {
		return false
	}
	if ho.keepsLineage && !do.descendsFrom(ho.current) {
		return false
	}
	ho.current = do
	ho.source = so
	ho.takenAt = time.Now()
	if ho.changed != nil {
		close(ho.changed)
		ho.changed = nil
	}
	return true
}

// Revision returns the revision in force, or 0.
func (ho *Replica) Revision() uint64 { return ho.Current().Revision() }

// Status returns what the holder can tell of itself.
func (ho *Replica) Status() Status {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	st := Status{
		PeerHeardAt:    ho.peerAt,
		Revision:       ho.current.revision,
		ServiceHeardAt: ho.serverAt,
		Source:         ho.source,
		TakenAt:        ho.takenAt,
	}
	if st.Source == "" {
		st.Source = FromNone
	}
	return st
}
