package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

// A count is what one size of a deployment costs its scheduler, as counts that don't depend on the
// machine.
type count struct {
	engines   int
	encodings int64   // responses to followers encoded while a third of the endpoints return
	feedSent  float64 // bytes sent meanwhile
	idle      float64 // messages sent a second
	work      float64 // messages sent a second
}

// countControlPlane plays a deployment and returns its counts.
func countControlPlane(t *testing.T, engines int) count {
	co := count{engines: engines}
	settledControlPlane(t, engines, func(cp *controlPlane) {
		scheduler := func(ph phase) traffic { return ph.shares[schedulerRole].traffic }
		idle := cp.measure(nil, "idle", func() { time.Sleep(2 * time.Second) })
		co.idle = float64(scheduler(idle).messages) / idle.duration.Seconds()

		before := cp.feedCounts()
		co.feedSent = float64(scheduler(cp.measure(nil, "return", func() { cp.massReturn(t, engines) })).sent)
		after := cp.feedCounts()
		co.encodings = after.Encoded - before.Encoded
		assert.Equal(t, after.Whole, before.Whole, "a follower was sent all endpoints though it knew them")
		assert.Equal(t, after.Gaps, int64(0))

		trainers := cp.startTrainers(t)
		time.Sleep(stepInterval)
		work := cp.measure(nil, "work", func() { time.Sleep(stepInterval) })
		co.work = float64(scheduler(work).messages) / work.duration.Seconds()
		trainers.stop()
	})
	return co
}

// feedCounts returns the sums of the counts of all followers.
func (cp *controlPlane) feedCounts() directory.FeedCounts {
	var sum directory.FeedCounts
	add := func(fo *directory.Follower) {
		fc := fo.FeedCounts()
		sum.Encoded += fc.Encoded
		sum.Gaps += fc.Gaps
		sum.Partial += fc.Partial
		sum.Whole += fc.Whole
	}
	for _, sn := range cp.schedulers {
		add(sn.follower)
	}
	for _, en := range cp.entries {
		add(en.follower)
	}
	return sum
}

// Guards against costs of the scheduler that grow faster than the deployment, such as endpoints times
// followers: it would be full at some size, and be taken for dead.
func TestSchedulerCostsGrowWithTheDeployment(t *testing.T) {
	const (
		growth = 3
		slack  = 1.25
	)
	small, large := countControlPlane(t, 50), countControlPlane(t, 50*growth)
	t.Logf("%+v", small)
	t.Logf("%+v", large)
	for _, tc := range []struct {
		name         string
		small, large float64
	}{
		{"messages a second while idle", small.idle, large.idle},
		{"messages a second at work", small.work, large.work},
		{"bytes sent while endpoints return", small.feedSent, large.feedSent},
	} {
		assert.Assert(t, tc.large <= growth*slack*tc.small, "%s: %.0f and %.0f", tc.name, tc.small, tc.large)
	}
	// Changes are gathered for a quarter of a second, and encoded once for all followers that are at
	// the same generation.
	assert.Assert(t, large.encodings <= 2*small.encodings, "%d and %d encodings", small.encodings, large.encodings)
}
