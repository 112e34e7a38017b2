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

// Symptom: a key-value service that takes 0.3 to 0.8 s for a write keeps the holder from
// calling at all, which writes without end. Cause: a write allowed calls only until 0.3 s
// after it was sent.
func TestSlowStoreKeepsNoOrderBack(t *testing.T) {
	for _, delay := range []time.Duration{second / 5, 2 * second / 5, 3 * second / 4} {
		synctest.Test(t, func(t *testing.T) {
			fi := newField()
			fence := fi.fence()
			ho := fi.process("a")
			ho.Tenure.FenceFunc = func(uint64) (keyvalue.Expectation, bool) { return fence, true }
			fi.memory.SetFaults(keyvalue.Faults{Delay: delay})
			fi.work = 144 * second
			ctx, cancel := context.WithTimeout(t.Context(), 12*second)
			defer cancel()
			for ctx.Err() == nil {
				ho.Step(ctx)
				time.Sleep(stepEvery)
			}
			assert.Equal(t, len(fi.calls), 1, "%s: %v", delay, fi.calls)
		})
	}
}

// Half of the entries reach the next holder. It knows how many the one before knew, and
// takes their load for unknown.
func TestNextHolderKnowsHowManyEntriesThereAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		var holders []*Scaler
		for _, name := range []string{"a", "b"} {
			ho := fi.process(name)
			ho.Census = &LoadAggregator{}
			holders = append(holders, ho)
		}
		tell := func(ho *Scaler, count int) {
			for entry := range count {
				ho.Census.Report(fmt.Sprint(entry), map[string]Observation{"desk": {}}, time.Now())
			}
		}
		fi.work = 144 * second
		fi.run(t, holders[0], second)
		tell(holders[0], 6)
		fi.run(t, holders[0], 9*second)
		assert.Equal(t, len(fi.calls), 1)
		fi.epoch, fi.holder = 2, "b"
		_, err := fi.memory.Client().Put(t.Context(), "lease", []byte("b"), fi.fence().Version, 0)
		assert.NilError(t, err)
		fi.run(t, holders[1], 9*second)
		assert.Equal(t, holders[1].Tenure.Epoch(), uint64(2))
		tell(holders[1], 3)
		_, known := holders[1].Census.Loads(time.Now())
		assert.Assert(t, !known)
		tell(holders[1], 5)
		_, known = holders[1].Census.Loads(time.Now())
		assert.Assert(t, known)
	})
}
