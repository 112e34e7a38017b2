package usage

import (
	"slices"
	"time"
)

// Bounds of agreeing on the time.
const (
	// gatherTime is for how long after its first vote a clock follows the median
	// freely: each instance has been heard by then.
	gatherTime = 2 * time.Second
	// beliefTime is the same where an earlier holder has told entries the time: each
	// of them has pushed by then.
	beliefTime = mostWake + 2*pushTimeout
	// slewPart is how fast the clock follows the median then: faster than steady clocks
	// drift apart, and so slowly that a time of day that is set wrong for a minute on most
	// instances hardly moves it.
	slewPart = 0.0002
	// followEvery is how often the clock looks for the median at most: with each vote, of
	// which each attendant sends several a second, it would look through all of them.
	followEvery = 100 * time.Millisecond
	// voteLife is for how long a vote counts.
	voteLife = 15 * time.Second
)

// A Clock tells true time by what many instances hold it to be, each by a clock that
// may be wrong, or set while it is asked. The zero Clock knows nothing.
type Clock struct {
	began    time.Duration // of the first vote, by the steady clock
	believed bool          // offset comes from an earlier holder's time
	followed time.Duration // last, by the steady clock
	gather   time.Duration // instead of gatherTime, unless 0
	known    bool
	offset   time.Duration // of true time since 1970 from the steady clock
	slewedAt time.Duration
	votes    map[string]vote
}

type vote struct {
	at     time.Duration
	offset time.Duration
}

// AddSample takes in what an instance's time of day is at a moment of the steady clock.
func (cl *Clock) AddSample(instance string, wall time.Time, steady time.Duration) {
	if cl.votes == nil {
		cl.votes, cl.began, cl.slewedAt = map[string]vote{}, steady, steady
	}
	cl.votes[instance] = vote{at: steady, offset: time.Duration(wall.UnixNano()) - steady}
	if !cl.known || steady-cl.followed >= followEvery {
		cl.followed = steady
		cl.follow(steady)
	}
}

// Seed takes in true time as an earlier holder told it. It goes before votes: days
// exist on which more than half of all instances have a wrong time of day, and it was
// agreed on before.
func (cl *Clock) Seed(at time.Time, steady time.Duration) {
	if cl.believed {
		return
	}
	cl.believed, cl.known = true, true
	cl.offset, cl.slewedAt = time.Duration(at.UnixNano())-steady, steady
}

// expectBelief tells the clock whether an earlier holder has told entries the time.
func (cl *Clock) expectBelief(yes bool) {
	cl.gather = gatherTime
	if yes {
		cl.gather = beliefTime
	}
}

// gathers reports whether the clock still follows the median freely.
func (cl *Clock) gathers(steady time.Duration) bool {
	return !cl.believed && steady-cl.began <= max(cl.gather, gatherTime)
}

// follow moves the clock towards the median of the votes.
func (cl *Clock) follow(steady time.Duration) {
	offsets := make([]time.Duration, 0, len(cl.votes))
	for instance, vo := range cl.votes {
		if steady-vo.at > voteLife {
			delete(cl.votes, instance)
			continue
		}
		offsets = append(offsets, vo.offset)
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if cl.gathers(steady) {
		cl.known, cl.offset, cl.slewedAt = true, median, steady
		return
	}
	limit := time.Duration(slewPart * float64(steady-cl.slewedAt))
	cl.offset += min(max(median-cl.offset, -limit), limit)
	cl.slewedAt = steady
}

// Settled reports whether the time is agreed on.
func (cl *Clock) Settled(steady time.Duration) bool {
	return cl.known && !cl.gathers(steady)
}

// Time returns true time at a moment of the steady clock.
func (cl *Clock) Time(steady time.Duration) time.Time {
	return time.Unix(0, int64(cl.offset+steady))
}
