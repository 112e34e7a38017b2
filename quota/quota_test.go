package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A system simulates one customer's quota at a holder and several entries.
type system struct {
	bucket  Bucket
	now     time.Time
	buckets []LocalBucket
	spent   []time.Time
}

// ask sends a request to an entry, which cannot reach the holder if cut.
func (sy *system) ask(entry int, li Limit, cut bool) bool {
	lb := &sy.buckets[entry]
	if !lb.Spend(li, sy.now) {
		if cut || lb.RetryDelay(li, sy.now) > 0 {
			return false
		}
		tokens, next := sy.bucket.Take(li, lb.RefillSize(), sy.now)
		lb.Refill(li, tokens, next, sy.now)
		if !lb.Spend(li, sy.now) {
			return false
		}
	}
	sy.spent = append(sy.spent, sy.now)
	return true
}

// most returns the maximum number of requests in any window after a time.
func (sy *system) most(after time.Time) int {
	most, first := 0, 0
	for i, at := range sy.spent {
		if at.Before(after) {
			first = i + 1
			continue
		}
		for at.Sub(sy.spent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestQuotaIsUsedAndNotExceeded(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 40, 500} {
		li := Limit{Overshoot: 0.1, Rate: rate}
		sy := &system{now: begin, buckets: make([]LocalBucket, 6)}
		for i := range 60 * 200 {
			sy.now = begin.Add(time.Duration(i) * 5 * time.Millisecond)
			for range 1 + int(rate/20) {
				sy.ask(i%6, li, false)
			}
		}
		mean := float64(len(sy.spent)) / 60
		t.Logf("quota %.1f: %.2f a second, %d in the worst ten seconds", rate, mean, sy.most(begin))
		assert.Assert(t, mean >= 0.95*rate-0.05 && mean <= rate*1.01+0.05, "%f", mean)
		assert.Assert(t, float64(sy.most(begin)) <= rate*10*1.1+1)
	}
}

func TestLoweredQuota(t *testing.T) {
	// Tokens granted under a higher quota must not be spent after the quota is lowered.
	sy := &system{now: begin, buckets: make([]LocalBucket, 6)}
	high, low := Limit{Overshoot: 0.1, Rate: 1000}, Limit{Overshoot: 0.1, Rate: 10}
	for i := range 4000 {
		sy.now = begin.Add(time.Duration(i) * time.Millisecond)
		sy.ask(i%6, high, false)
	}
	changed := sy.now.Add(time.Millisecond)
	for i := range 10000 {
		sy.now = changed.Add(time.Duration(i) * time.Millisecond)
		sy.ask(i%6, low, false)
	}
	assert.Assert(t, sy.most(changed) <= 10*11+1, "%d", sy.most(changed))
	assert.Assert(t, sy.most(changed) >= 95)
}

func TestTokensOfUnreachableEntryExpire(t *testing.T) {
	// Tokens of an entry that cannot reach the holder must expire: other entries are granted tokens in
	// the meantime, and together they would exceed the quota.
	li := Limit{Overshoot: 0.1, Rate: 100}
	sy := &system{now: begin, buckets: make([]LocalBucket, 1)}
	for i := range 1000 {
		sy.now = begin.Add(time.Duration(i) * 5 * time.Millisecond)
		sy.ask(0, li, false)
	}
	before := len(sy.spent)
	cut := sy.now
	for i := range 1000 {
		sy.now = cut.Add(time.Duration(i) * 5 * time.Millisecond)
		sy.ask(0, li, true)
	}
	assert.Assert(t, float64(len(sy.spent)-before) <= li.Rate*li.TokenTTL().Seconds())
}

// Whatever the rates, network failures, restarts and holder changes, the requests in any 10 s after
// the last change of the quota must stay within the quota and its overshoot.
func TestExploreQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		overshoot := rapid.SampledFrom([]float64{0.02, 0.1, 0.5}).Draw(rt, "overshoot")
		li := Limit{Overshoot: overshoot, Rate: rapid.SampledFrom([]float64{0.3, 2, 20, 200}).Draw(rt, "rate")}
		sy := &system{now: begin, buckets: make([]LocalBucket, rapid.IntRange(1, 4).Draw(rt, "entries"))}
		cut := make([]bool, len(sy.buckets))
		changed := begin
		for range rapid.IntRange(1, 60).Draw(rt, "phases") {
			entry := rapid.IntRange(0, len(sy.buckets)-1).Draw(rt, "entry")
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				cut[entry] = !cut[entry]
			case 1:
				sy.buckets[entry] = LocalBucket{} // restart of an entry
			case 2:
				sy.bucket = Bucket{} // new holder
			case 3:
				li.Rate = rapid.SampledFrom([]float64{0.3, 2, 20, 200}).Draw(rt, "rate")
				changed = sy.now
			}
			step := rapid.SampledFrom([]time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond}).Draw(rt, "step")
			for range rapid.IntRange(1, 100).Draw(rt, "requests") {
				sy.now = sy.now.Add(step)
				at := rapid.IntRange(0, len(sy.buckets)-1).Draw(rt, "at")
				sy.ask(at, li, cut[at])
			}
		}
		// Tokens are valid for at least minTTL, and a bucket holds at least one token.
		slack := li.Rate*max(minTTL.Seconds(), overshoot*window.Seconds()/2) + max(li.Rate*overshoot*window.Seconds()/2, 1)
		if most := float64(sy.most(changed)); most > li.Rate*window.Seconds()+slack+1 {
			rt.Fatalf("%f requests in %s at %f a second", most, window, li.Rate)
		}
	})
}
