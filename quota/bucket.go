// Package quota limits the request rate of customers over all entries with token buckets: a holder
// grants tokens to entries, which spend them. It does no I/O and reads no clock.
package quota

import "time"

// window is the time over which the overshoot of a quota is limited.
const window = 10 * time.Second

// minTTL is the minimum lifetime of tokens: about the duration of a call to the holder.
const minTTL = 50 * time.Millisecond

// A Limit is the quota of a customer.
type Limit struct {
	Overshoot float64 // fraction by which the quota may be exceeded within window
	Rate      float64 // requests a second
}

// TokenTTL returns the lifetime of tokens.
//
// A window may exceed the rate by the tokens granted before it and spent in it, and by those saved in
// the bucket. Each may be half of the overshoot; see capacity.
func (li Limit) TokenTTL() time.Duration {
	return max(time.Duration(li.Overshoot*float64(window)/2), minTTL)
}

// capacity returns the capacity of a bucket, at least one token.
func (li Limit) capacity() float64 { return max(li.Rate*li.Overshoot*window.Seconds()/2, 1) }

// A Bucket is the token bucket of a customer at the holder. The zero Bucket is empty, so that a new
// holder does not grant again what the previous one may have granted.
type Bucket struct {
	at    time.Time
	level float64
}

// Take grants at most want tokens. If it grants none, next is the time until there is one.
func (bu *Bucket) Take(li Limit, want int, now time.Time) (granted int, next time.Duration) {
	if !bu.at.IsZero() && now.After(bu.at) {
		bu.level += li.Rate * now.Sub(bu.at).Seconds()
	}
	bu.at = now
	bu.level = min(bu.level, li.capacity())
	granted = max(min(want, int(bu.level)), 0)
	bu.level -= float64(granted)
	if granted == 0 && li.Rate > 0 {
		next = time.Duration((1 - bu.level) / li.Rate * float64(time.Second))
	}
	return granted, next
}
