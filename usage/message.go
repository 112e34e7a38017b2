package usage

import "time"

// pushMethod is the call by which an entry tells the holder what began.
const pushMethod = "usage.Push"

// A Start is a request that an endpoint began to run.
type Start struct {
	At       time.Duration // by the steady clock of the entry's start
	Customer string
}

// A Batch is some starts of one entry. Sent again, it is the same.
type Batch struct {
	Number uint64 // counted from 1 within one start of the entry
	Starts []Start
}

// A PushRequest holds what an entry has recorded and does not know to last.
type PushRequest struct {
	Batches []Batch // in the order of their numbers
	// Believed is what the entry holds to be true time, by an earlier answer of a
	// holder, in Unix microseconds; 0 if it has had none.
	Believed int64
	Boot     string // of the entry; changes with each of its starts
	Final    bool   // the entry ends and pushes no more
	Instance string // of the entry, for logs
	Now      time.Duration
	// Settled is until when all that began is in Batches or was pushed before: what
	// began later may still be under way.
	Settled time.Duration
	Wall    int64 // the entry's time of day, in Unix microseconds
}

// A PushResponse says what lasts.
type PushResponse struct {
	Lasting uint64        // the batches up to it
	Now     int64         // true time as the holder knows it, in Unix microseconds
	Wake    time.Duration // the holder wants to hear again after it at the latest
}
