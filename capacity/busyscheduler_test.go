package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a scheduler that is replaced as it is overloaded: the next one, to which all processes
// turn anew, is overloaded at once too, and nothing is served. The load is the start of a whole
// deployment at once, at schedulers that get a third of the processor they ask for.
func TestBusySchedulerIsNotReplaced(t *testing.T) {
	const (
		engines = 90
		wanted  = 3 // times the processor that there is
	)
	demand := startDemand(t, engines)
	t.Logf("%.0f uses a second", demand)
	bubble(t, func() {
		cp := newControlPlane(t, engines)
		defer cp.stop()
		for _, sn := range cp.schedulers {
			sn.processor = newProcessor(time.Duration(wanted * float64(time.Second) / demand))
		}
		cp.startAll(t)
		waitUntil(func() bool { return cp.atWork() != nil })
		first := cp.atWork()
		epoch, _ := first.scheduler.Holder.Held(time.Now())
		busy := first.processor.busy.Load()
		begun := time.Now()
		for time.Since(begun) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			now, held := first.scheduler.Holder.Held(time.Now())
			assert.Assert(t, held && now == epoch, "after %s: epoch %d, not %d, or the lease was lost", time.Since(begun), now, epoch)
		}
		t.Logf("%.2f of the processor used", float64(first.processor.busy.Load()-busy)/float64(time.Since(begun)))
		assert.Assert(t, cp.allKnow(engines))
	})
}

// startDemand returns how often a scheduler that gets all it wants would use its processor in a second of a start.
func startDemand(t *testing.T, engines int) float64 {
	var uses float64
	bubble(t, func() {
		cp := newControlPlane(t, engines)
		defer cp.stop()
		for _, sn := range cp.schedulers {
			sn.processor = newProcessor(time.Microsecond)
		}
		cp.startAll(t)
		waitUntil(func() bool { return cp.allKnow(engines) })
		time.Sleep(time.Second)
		before := cp.atWork().processor.busy.Load()
		time.Sleep(time.Second)
		uses = float64(cp.atWork().processor.busy.Load()-before) / float64(time.Microsecond)
	})
	return uses
}
