package scale

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// Guards against a holder that writes forever without sending an order because each write takes
// longer than the time for which it permits calls.
func TestSlowWrites(t *testing.T) {
	for _, delay := range []time.Duration{second / 5, 2 * second / 5, 3 * second / 4} {
		synctest.Test(t, func(t *testing.T) {
			fp := newFakePlatform()
			fence := fp.fence()
			sc := fp.process("a")
			sc.Tenure.FenceFunc = func(uint64) (keyvalue.Expectation, bool) { return fence, true }
			fp.memory.SetFaults(keyvalue.Faults{Delay: delay})
			fp.work = 144 * second
			ctx, cancel := context.WithTimeout(t.Context(), 12*second)
			defer cancel()
			for ctx.Err() == nil {
				sc.Step(ctx)
				time.Sleep(stepInterval)
			}
			assert.Equal(t, len(fp.calls), 1, "%s: %v", delay, fp.calls)
		})
	}
}

// Guards against a new holder that only half of the entries reach taking their load for the total.
func TestNewHolderExpectsEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		var holders []*Scaler
		for _, name := range []string{"a", "b"} {
			sc := fp.process(name)
			sc.Census = &LoadAggregator{}
			holders = append(holders, sc)
		}
		reportFrom := func(sc *Scaler, count int) {
			for entry := range count {
				sc.Census.Report(fmt.Sprint(entry), map[string]Observation{"desk": {}}, time.Now())
			}
		}
		fp.work = 144 * second
		fp.run(t, holders[0], second)
		reportFrom(holders[0], 6)
		fp.run(t, holders[0], 9*second)
		assert.Equal(t, len(fp.calls), 1)
		fp.epoch, fp.holder = 2, "b"
		_, err := fp.memory.Client().Put(t.Context(), "lease", []byte("b"), fp.fence().Version, 0)
		assert.NilError(t, err)
		fp.run(t, holders[1], 9*second)
		assert.Equal(t, holders[1].Tenure.Epoch(), uint64(2))
		reportFrom(holders[1], 3)
		_, known := holders[1].Census.Loads(time.Now())
		assert.Assert(t, !known)
		reportFrom(holders[1], 5)
		_, known = holders[1].Census.Loads(time.Now())
		assert.Assert(t, known)
	})
}
