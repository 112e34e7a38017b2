package allocation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"wisteriacroft/fairshare"
	"wisteriacroft/scale"
)

// An entry tells what it sees of plain services also while no customers compete. Nothing
// is divided by that, neither by the holder nor, when it can't be reached, by the entry.
func TestLoadsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := func() map[string]float64 { return nil }
		held, cut := true, false
		ho := &Allocator{
			Census: &scale.LoadAggregator{}, Log: quiet(), Metrics: metrics.NewSet(),
			StandingFunc: func(time.Time) (uint64, bool) { return 1, held }, WeightsFunc: weights,
		}
		te := &DemandReporter{
			CallFunc: func(_ context.Context, rq DemandRequest) (DemandResponse, error) {
				if cut {
					return DemandResponse{}, context.DeadlineExceeded
				}
				return ho.tell(rq, time.Now())
			},
			DemandsFunc: func(time.Time, time.Duration) map[string]fairshare.ServiceDemand {
				return map[string]fairshare.ServiceDemand{"desk": {Customers: map[string]fairshare.Demand{"a": {Asked: 9, Met: 9}}, Places: 1, Short: true}}
			},
			Instance: "entry-1", Log: quiet(),
			LoadsFunc: func(time.Time) map[string]scale.Observation {
				return map[string]scale.Observation{"desk": {Begun: 5, Span: tellEvery}}
			},
			Metrics: metrics.NewSet(), WeightsFunc: weights,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go te.Run(ctx)
		time.Sleep(3 * time.Second)
		loads, known := ho.Census.Loads(time.Now())
		assert.Assert(t, known)
		assert.Equal(t, loads["desk"].Begun, 10.0)
		assert.Equal(t, len(ho.entries), 0)
		cut = true
		time.Sleep(3 * time.Second)
		_, known = ho.Census.Loads(time.Now())
		assert.Assert(t, !known, "it was cut off")
		assert.Equal(t, te.CustomerBound("a", "desk"), fairshare.NoBound)
		cut, held = false, false
		time.Sleep(3 * time.Second)
		_, known = ho.Census.Loads(time.Now())
		assert.Assert(t, !known, "who doesn't hold the lease takes nothing in")
		cancel()
		synctest.Wait()
	})
}
