package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A system is a holder and entries with purses of one customer.
type system struct {
	bucket Bucket
	now    time.Time
	purses []LocalBucket
	spent  []time.Time
}

// ask makes a request at an entry, which may be cut off.
func (sy *system) ask(entry int, te Limit, cut bool) bool {
	pu := &sy.purses[entry]
	if !pu.Spend(te, sy.now) {
		if cut || pu.RetryDelay(te, sy.now) > 0 {
			return false
		}
		tokens, next := sy.bucket.Take(te, pu.RefillSize(), sy.now)
		pu.Refill(te, tokens, next, sy.now)
		if !pu.Spend(te, sy.now) {
			return false
		}
	}
	sy.spent = append(sy.spent, sy.now)
	return true
}

// most returns the most requests within the window, of those after a time.
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

func TestQuotaIsUsedAndKept(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 40, 500} {
		te := Limit{Overshoot: 0.1, Rate: rate}
		sy := &system{now: begin, purses: make([]LocalBucket, 6)}
		for i := range 60 * 200 {
			sy.now = begin.Add(time.Duration(i) * 5 * time.Millisecond)
			for range 1 + int(rate/20) {
				sy.ask(i%6, te, false)
			}
		}
		mean := float64(len(sy.spent)) / 60
		t.Logf("quota %.1f: %.2f a second, %d in the worst ten seconds", rate, mean, sy.most(begin))
		assert.Assert(t, mean >= 0.95*rate-0.05 && mean <= rate*1.01+0.05, "%f", mean)
		assert.Assert(t, float64(sy.most(begin)) <= rate*10*1.1+1)
	}
}

func TestQuotaThatGoesFarDown(t *testing.T) {
	// Symptom: for a while after an operator lowers a quota, it is far exceeded.
	// Sequence: a customer spends up to a high quota; it is lowered to a hundredth.
	// Cause: entries spent what they were granted under the old one.
	sy := &system{now: begin, purses: make([]LocalBucket, 6)}
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

func TestCutOffEntrySpendsWhatItHas(t *testing.T) {
	// Symptom: a quota is exceeded while an entry is cut off.
	// Sequence: the entry has tokens and is cut off; others are granted theirs from then on.
	// Cause: its tokens could be spent at any later time, on top of those.
	te := Limit{Overshoot: 0.1, Rate: 100}
	sy := &system{now: begin, purses: make([]LocalBucket, 1)}
	for i := range 1000 {
		sy.now = begin.Add(time.Duration(i) * 5 * time.Millisecond)
		sy.ask(0, te, false)
	}
	before := len(sy.spent)
	cut := sy.now
	for i := range 1000 {
		sy.now = cut.Add(time.Duration(i) * 5 * time.Millisecond)
		sy.ask(0, te, true)
	}
	assert.Assert(t, float64(len(sy.spent)-before) <= te.Rate*te.TokenTTL().Seconds())
}

// Entries, rates and times of asking at random, with cuts, starts of entries, changes of
// the holder and of the quota: within any ten seconds after the last change, no more
// begin than the quota and its overshoot allow.
func TestExploreQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		overshoot := rapid.SampledFrom([]float64{0.02, 0.1, 0.5}).Draw(rt, "overshoot")
		te := Limit{Overshoot: overshoot, Rate: rapid.SampledFrom([]float64{0.3, 2, 20, 200}).Draw(rt, "rate")}
		sy := &system{now: begin, purses: make([]LocalBucket, rapid.IntRange(1, 4).Draw(rt, "entries"))}
		cut := make([]bool, len(sy.purses))
		changed := begin
		for range rapid.IntRange(1, 60).Draw(rt, "phases") {
			entry := rapid.IntRange(0, len(sy.purses)-1).Draw(rt, "entry")
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				cut[entry] = !cut[entry]
			case 1:
				sy.purses[entry] = LocalBucket{} // it starts again
			case 2:
				sy.bucket = Bucket{} // another holder
			case 3:
				te.Rate = rapid.SampledFrom([]float64{0.3, 2, 20, 200}).Draw(rt, "rate")
				changed = sy.now
			}
			step := rapid.SampledFrom([]time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond}).Draw(rt, "step")
			for range rapid.IntRange(1, 100).Draw(rt, "requests") {
				sy.now = sy.now.Add(step)
				at := rapid.IntRange(0, len(sy.purses)-1).Draw(rt, "at")
				sy.ask(at, te, cut[at])
			}
		}
		// TokenTTL has a least value, and a bucket holds one token at least.
		slack := te.Rate*max(leastLife.Seconds(), overshoot*window.Seconds()/2) + max(te.Rate*overshoot*window.Seconds()/2, 1)
		if most := float64(sy.most(changed)); most > te.Rate*window.Seconds()+slack+1 {
			rt.Fatalf("%f requests in %s at %f a second", most, window, te.Rate)
		}
	})
}
