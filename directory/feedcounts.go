package directory

import "sync/atomic"

// A FeedCounts counts what a follower sent as a feeder, and what it received.
type FeedCounts struct {
	Encoded int64 // responses encoded, for any number of followers
	Gaps    int64 // differences received that did not follow the known endpoints
	Partial int64 // responses with differences sent
	Reads   int64 // of all endpoints from the key-value service for want of a feeder
	Whole   int64 // responses with all endpoints sent
}

// feedCounters are the counters of a follower. The zero value is ready to use.
type feedCounters struct{ encoded, gaps, partial, reads, whole atomic.Int64 }

// countResponse counts a response that was encoded for one follower.
func (fc *feedCounters) countResponse(re FeedResponse) {
	fc.encoded.Add(1)
	switch {
	case re.Fresh:
		fc.whole.Add(1)
	case re.Partial:
		fc.partial.Add(1)
	}
}

// countUpdate counts a response that was encoded before.
func (fc *feedCounters) countUpdate(up update) {
	switch {
	case !up.endpoints:
	case up.since == unknownGeneration:
		fc.whole.Add(1)
	default:
		fc.partial.Add(1)
	}
}

// FeedCounts returns the counts so far.
func (fo *Follower) FeedCounts() FeedCounts {
	fc := &fo.counts
	return FeedCounts{
		Encoded: fc.encoded.Load(), Gaps: fc.gaps.Load(), Partial: fc.partial.Load(), Reads: fc.reads.Load(), Whole: fc.whole.Load(),
	}
}
