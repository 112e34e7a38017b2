package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// Guards against calls to the key-value service by the number of entries while the feeder is lost, cut
// off from the service or silent: a standby feeds the entries in its place. Meanwhile a leaving endpoint
// still reaches all entries in time.
func TestEntriesWithoutFeeder(t *testing.T) {
	const engines = 60
	for _, tc := range []struct {
		name  string
		lose  func(sn *schedulerNode)
		calls float64 // paid, for each entry
	}{
		{"killed", func(sn *schedulerNode) { sn.kill() }, 0},
		{"rejected by the key-value service", func(sn *schedulerNode) { sn.rejected.Store(true) }, 0},
		{"silent", func(sn *schedulerNode) {
			sn.muted.Store(true)
			sn.rejected.Store(true)
		}, 0.2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settledControlPlane(t, engines, func(cp *controlPlane) {
				ph := cp.measure(nil, "lost", func() {
					tc.lose(cp.atWork())
					time.Sleep(300 * time.Millisecond)
					cp.register(t, cp.attendants[0], true)
					known := waitUntil(func() bool { return cp.allKnow(engines - 1) })
					assert.Assert(t, known < 2*time.Second, "%s", known)
					time.Sleep(7 * time.Second)
				})
				calls := ph.shares[entryRole].calls
				each := paidCalls(calls) / float64(len(cp.entries))
				t.Logf("%.2f calls by each entry, %+v in all", each, calls)
				assert.Assert(t, each <= tc.calls, "%.2f", each)
				assert.Assert(t, cp.atWork() != nil)
				for _, sn := range cp.schedulers {
					sn.muted.Store(false)
				}
			})
		})
	}
}

// Guards against calls of all entries in an outage of the key-value service, which would only add to
// its load: each entry tries ever less often.
func TestEntriesInOutage(t *testing.T) {
	const engines = 60
	settledControlPlane(t, engines, func(cp *controlPlane) {
		ph := cp.measure(nil, "outage", func() {
			cp.me.SetFaults(keyvalue.Faults{Delay: 4 * time.Millisecond, Outage: true})
			time.Sleep(8 * time.Second)
			cp.me.SetFaults(keyvalue.Faults{Delay: 4 * time.Millisecond})
			cp.register(t, cp.attendants[0], true)
			known := waitUntil(func() bool { return cp.allKnow(engines - 1) })
			assert.Assert(t, known < 2*time.Second, "%s", known)
		})
		each := paidCalls(ph.shares[entryRole].calls) / float64(len(cp.entries))
		t.Logf("%.2f calls by each entry", each)
		assert.Assert(t, each <= 8, "%.2f", each)
	})
}

// Guards against reads of all endpoints by every entry at the start of a whole deployment: together they
// fill the link of the key-value service, and delay the reads by which the scheduler itself starts.
func TestEntriesAtStart(t *testing.T) {
	const engines = 60
	bubble(t, func() {
		cp := newControlPlane(t, engines)
		defer cp.stop()
		ph := cp.measure(nil, "start", func() {
			cp.startAll(t)
			waitUntil(func() bool { return cp.allKnow(engines) })
		})
		calls := ph.shares[entryRole].calls
		t.Logf("%+v by %d entries", calls, len(cp.entries))
		// Each looks for the holder of the scheduler's lease, which is not held yet at the first look. A few
		// make their three stale reads before the second one.
		entries := int64(len(cp.entries))
		assert.Assert(t, calls.Leases <= 2*entries+3*entries/10)
		assert.Equal(t, calls.Reads+calls.Watches+calls.Writes, int64(0))
	})
}
