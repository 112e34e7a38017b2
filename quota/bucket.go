// Package quota keeps customers' requests to so many a second over all entries: a holder
// grants tokens, and entries spend what they were granted. It talks to nothing and reads
// no clock.
package quota

import "time"

// window is the time in which a quota may be exceeded by no more than its overshoot.
const window = 10 * time.Second

// leastLife is the shortest life of tokens: a call to the holder and back.
const leastLife = 50 * time.Millisecond

// Limit are what a customer may have.
type Limit struct {
	Overshoot float64 // by which part of it a quota may be exceeded within ten seconds
	Rate      float64 // requests a second
}

// TokenTTL returns for how long tokens may be spent after they were granted.
//
// In any window of ten seconds, two things come on top of the rate: tokens that were granted
// before it and are spent in it, and those that the bucket had gathered. Each may be half of
// the overshoot; see burst.
func (te Limit) TokenTTL() time.Duration {
	return max(time.Duration(te.Overshoot*float64(window)/2), leastLife)
}

// burst returns how many tokens a bucket gathers, and at least one.
func (te Limit) burst() float64 { return max(te.Rate*te.Overshoot*window.Seconds()/2, 1) }

// A Bucket holds the tokens of a customer that are not granted. The zero Bucket is empty:
// a new holder doesn't know what the one before it granted, and must not grant it twice.
type Bucket struct {
	at    time.Time
	level float64
}

// Take grants tokens, at most as many as are wanted, and returns after how long there is
// one again if there is none.
func (bu *Bucket) Take(te Limit, want int, now time.Time) (granted int, next time.Duration) {
	if !bu.at.IsZero() && now.After(bu.at) {
		bu.level += te.Rate * now.Sub(bu.at).Seconds()
	}
	bu.at = now
	bu.level = min(bu.level, te.burst())
	granted = max(min(want, int(bu.level)), 0)
	bu.level -= float64(granted)
	if granted == 0 && te.Rate > 0 {
		next = time.Duration((1 - bu.level) / te.Rate * float64(time.Second))
	}
	return granted, next
}
