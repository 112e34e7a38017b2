package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sampleAll adds samples of instances every 100 ms; the first skewed of them are off by skew.
func sampleAll(cl *Clock, from, until time.Duration, instances, skewed int, skew time.Duration) {
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

func (cl *Clock) deviation(at time.Duration) time.Duration {
	return cl.Time(at).Sub(time.Unix(1000, 0).Add(at)).Abs()
}

func TestClock(t *testing.T) {
	var cl Clock
	assert.Assert(t, !cl.Settled(0))
	sampleAll(&cl, 0, 3*time.Second, 10, 3, time.Minute)
	assert.Assert(t, cl.Settled(3*time.Second))
	assert.Assert(t, cl.deviation(3*time.Second) < time.Millisecond)
	// Most wall clocks are a minute ahead for eight seconds.
	sampleAll(&cl, 3*time.Second, 11*time.Second, 10, 6, time.Minute)
	assert.Assert(t, cl.deviation(11*time.Second) < 3*time.Millisecond, "%s", cl.deviation(11*time.Second))
}

// Guards against a new holder adopting a wrong time if most wall clocks are wrong, although entries
// have the time of the previous holder.
func TestClockSeed(t *testing.T) {
	var cl Clock
	cl.expectSeed(true)
	sampleAll(&cl, 0, 3*time.Second, 10, 6, time.Minute)
	assert.Assert(t, !cl.Settled(3*time.Second), "a seed may still arrive")
	cl.Seed(time.Unix(1000, 0).Add(3*time.Second), 3*time.Second)
	assert.Assert(t, cl.Settled(3*time.Second))
	sampleAll(&cl, 3*time.Second, 5*time.Second, 10, 6, time.Minute)
	assert.Assert(t, cl.deviation(5*time.Second) < time.Millisecond)

	var alone Clock
	alone.expectSeed(true)
	sampleAll(&alone, 0, 7*time.Second, 10, 3, time.Minute)
	assert.Assert(t, alone.Settled(7*time.Second), "no seed arrived")
}

// The monotonic clock of the holder runs faster than true time by 50 ppm.
func TestClockFollowsDrift(t *testing.T) {
	var cl Clock
	sampleAll(&cl, 0, 3*time.Second, 5, 0, 0)
	const drift = 50e-6
	for at := 3 * time.Second; at < 100*time.Second; at += 100 * time.Millisecond {
		for i := range 5 {
			cl.AddSample(fmt.Sprint(i), time.Unix(1000, 0).Add(at-time.Duration(drift*float64(at))), at)
		}
	}
	off := cl.Time(100 * time.Second).Sub(time.Unix(1000, 0).Add(100*time.Second - 5*time.Millisecond)).Abs()
	assert.Assert(t, off < time.Millisecond, "%s", off)
}
