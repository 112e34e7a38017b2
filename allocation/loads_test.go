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

// An entry reports the load of plain services also while customers do not compete. Such reports must
// not limit customers, neither at the holder nor, if it is unreachable, at the entry.
func TestLoadsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := func() map[string]float64 { return nil }
		held, cut := true, false
		al := &Allocator{
			Census: &scale.LoadAggregator{}, Log: quietLogger(), Metrics: metrics.NewSet(),
			StandingFunc: func(time.Time) (uint64, bool) { return 1, held }, WeightsFunc: weights,
		}
		dr := &DemandReporter{
			CallFunc: func(_ context.Context, rq DemandRequest) (DemandResponse, error) {
				if cut {
					return DemandResponse{}, context.DeadlineExceeded
				}
				return al.handleReport(rq, time.Now())
			},
			DemandsFunc: func(time.Time, time.Duration) map[string]fairshare.ServiceDemand {
				return map[string]fairshare.ServiceDemand{"desk": {Customers: map[string]fairshare.Demand{"a": {Asked: 9, Met: 9}}, Places: 1, Short: true}}
			},
			Instance: "entry-1", Log: quietLogger(),
			LoadsFunc: func(time.Time) map[string]scale.Observation {
				return map[string]scale.Observation{"desk": {Begun: 5, Span: reportInterval}}
			},
			Metrics: metrics.NewSet(), WeightsFunc: weights,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go dr.Run(ctx)
		time.Sleep(3 * time.Second)
		loads, known := al.Census.Loads(time.Now())
		assert.Assert(t, known)
		assert.Equal(t, loads["desk"].Begun, 10.0)
		assert.Equal(t, len(al.entries), 0)
		cut = true
		time.Sleep(3 * time.Second)
		_, known = al.Census.Loads(time.Now())
		assert.Assert(t, !known, "the holder is unreachable")
		assert.Equal(t, dr.CustomerBound("a", "desk"), fairshare.NoBound)
		cut, held = false, false
		time.Sleep(3 * time.Second)
		_, known = al.Census.Loads(time.Now())
		assert.Assert(t, !known, "a process without the lease ignores reports")
		cancel()
		synctest.Wait()
	})
}
