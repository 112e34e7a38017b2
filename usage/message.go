package usage

import "time"

// pushMethod is the RPC method by which an entry sends starts to the holder.
const pushMethod = "usage.Push"

// A Start is a request that an endpoint started to run.
type Start struct {
	At       time.Duration // of the entry's monotonic clock
	Customer string
}

// A Batch is a group of starts of one entry. It is the same at each retry.
type Batch struct {
	Number uint64 // starts with 1 at each boot of the entry
	Starts []Start
}

// A PushRequest holds the batches of an entry that are not acknowledged yet.
type PushRequest struct {
	Batches []Batch // in the order of their numbers
	// Believed is the true time by an earlier response of a holder, in Unix microseconds; 0 if
	// there was none.
	Believed int64
	Boot     string // ID of the entry's boot
	Final    bool   // the entry ends and pushes no more
	Instance string // of the entry, for logs
	Now      time.Duration
	// Settled is the time up to which all starts are in Batches or were pushed before. Later
	// requests may still be pending.
	Settled time.Duration
	Wall    int64 // the entry's wall clock, in Unix microseconds
}

// A PushResponse acknowledges saved batches.
type PushResponse struct {
	Lasting uint64        // number of the last saved batch
	Now     int64         // true time at the holder, in Unix microseconds
	Wake    time.Duration // maximum delay of the next push
}
