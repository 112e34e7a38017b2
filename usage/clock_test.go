package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// voteAll lets instances vote each 100 ms until a moment; the first skewed of them are
// off by skew.
func voteAll(cl *Clock, from, until time.Duration, instances, skewed int, skew time.Duration) {
	for at := from; at < until; at += 100 * time.Millisecond {
		for i := range instances {
			wall := time.Unix(1000, 0).Add(at)
			if i < skewed {
				wall = wall.Add(skew)
			}
			cl.AddSample(fmt.Sprint(i), wall, at)
		}
	}
}

func (cl *Clock) off(at time.Duration) time.Duration {
	return cl.Time(at).Sub(time.Unix(1000, 0).Add(at)).Abs()
}

func TestClock(t *testing.T) {
	var cl Clock
	assert.Assert(t, !cl.Settled(0))
	voteAll(&cl, 0, 3*time.Second, 10, 3, time.Minute)
	assert.Assert(t, cl.Settled(3*time.Second))
	assert.Assert(t, cl.off(3*time.Second) < time.Millisecond)
	// Most clocks are a minute ahead for eight seconds.
	voteAll(&cl, 3*time.Second, 11*time.Second, 10, 6, time.Minute)
	assert.Assert(t, cl.off(11*time.Second) < 3*time.Millisecond, "%s", cl.off(11*time.Second))
}

// A holder begins while most clocks are wrong. Entries know the time from the holder
// before it.
func TestClockBelieves(t *testing.T) {
	var cl Clock
	cl.expectBelief(true)
	voteAll(&cl, 0, 3*time.Second, 10, 6, time.Minute)
	assert.Assert(t, !cl.Settled(3*time.Second), "an entry may still tell")
	cl.Seed(time.Unix(1000, 0).Add(3*time.Second), 3*time.Second)
	assert.Assert(t, cl.Settled(3*time.Second))
	voteAll(&cl, 3*time.Second, 5*time.Second, 10, 6, time.Minute)
	assert.Assert(t, cl.off(5*time.Second) < time.Millisecond)

	var alone Clock
	alone.expectBelief(true)
	voteAll(&alone, 0, 7*time.Second, 10, 3, time.Minute)
	assert.Assert(t, alone.Settled(7*time.Second), "no entry knows the time")
}

// The steady clock of one instance runs faster than true time by 50 millionths.
func TestClockFollowsDrift(t *testing.T) {
	var cl Clock
	voteAll(&cl, 0, 3*time.Second, 5, 0, 0)
	const drift = 50e-6
	for at := 3 * time.Second; at < 100*time.Second; at += 100 * time.Millisecond {
		for i := range 5 {
			cl.AddSample(fmt.Sprint(i), time.Unix(1000, 0).Add(at-time.Duration(drift*float64(at))), at)
		}
	}
	off := cl.Time(100 * time.Second).Sub(time.Unix(1000, 0).Add(100*time.Second - 5*time.Millisecond)).Abs()
	assert.Assert(t, off < time.Millisecond, "%s", off)
}
