package allocation

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// A quotaSimulation simulates one customer's quota at a holder and several entries.
type quotaSimulation struct {
	calls    atomic.Int64
	cut      []atomic.Bool
	epoch    uint64
	server   *TokenServer
	limiters []*RateLimiter
	quota    float64
}

func newQuotaSimulation(entries int, quota float64) *quotaSimulation {
	qs := &quotaSimulation{cut: make([]atomic.Bool, entries), epoch: 1, quota: quota}
	qs.server = qs.newServer()
	for i := range entries {
		qs.limiters = append(qs.limiters, &RateLimiter{
			CallFunc: func(ctx context.Context, rq GrantRequest) (GrantResponse, error) {
				qs.calls.Add(1)
				time.Sleep(2 * time.Millisecond)
				if qs.cut[i].Load() {
					<-ctx.Done()
					return GrantResponse{}, ctx.Err()
				}
				return qs.server.grant(rq, time.Now())
			},
			Log: quietLogger(), Metrics: metrics.NewSet(), Overshoot: 0.1,
		})
	}
	return qs
}

func (qs *quotaSimulation) newServer() *TokenServer {
	return &TokenServer{
		Metrics: metrics.NewSet(), Overshoot: 0.1, QuotaFunc: func(string) float64 { return qs.quota },
		StandingFunc: func(time.Time) (uint64, bool) { return qs.epoch, true },
	}
}

// play sends requests at a rate a second, to entries in turn, and returns how many were admitted.
func (qs *quotaSimulation) play(ctx context.Context, rate int, length time.Duration) int64 {
	var served atomic.Int64
	begun := time.Now()
	for i := 0; time.Since(begun) < length; i++ {
		go func() {
			if _, ok := qs.limiters[i%len(qs.limiters)].Allow(ctx, "ada", qs.quota); ok {
				served.Add(1)
			}
		}()
		time.Sleep(time.Second / time.Duration(rate))
	}
	synctest.Wait()
	return served.Load()
}

func within(t *testing.T, got int64, low, high float64) {
	t.Helper()
	assert.Assert(t, float64(got) >= low && float64(got) <= high, "%d, not %.0f to %.0f", got, low, high)
}

// Requests at five times the quota, over all entries, use the quota up without exceeding it, with
// few calls to the holder.
func TestQuotaOverEntries(t *testing.T) {
	for _, quota := range []float64{4, 100} {
		t.Run(fmt.Sprint(quota), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qs := newQuotaSimulation(6, quota)
				within(t, qs.play(t.Context(), int(5*quota), 30*time.Second), 0.9*quota*30, 1.01*quota*30+1)
				assert.Assert(t, qs.calls.Load() < 30*6*20, "%d", qs.calls.Load())
			})
		})
	}
}

func TestQuotaThroughFailures(t *testing.T) {
	// Neither a failure nor a change of the quota may let it be exceeded, or leave its customer without
	// tokens.
	const quota = 100.0
	for name, tc := range map[string]struct {
		trouble func(qs *quotaSimulation)
		least   float64 // fraction of the quota admitted in the next 10 s
	}{
		"cut":        {func(qs *quotaSimulation) { qs.cut[0].Store(true) }, 0.9},
		"all cut":    {func(qs *quotaSimulation) { cutAll(qs) }, 0},
		"holder":     {func(qs *quotaSimulation) { qs.epoch++; qs.server = qs.newServer() }, 0.9},
		"entry":      {func(qs *quotaSimulation) { qs.limiters[1].buckets = nil }, 0.9},
		"quota down": {func(qs *quotaSimulation) { qs.quota = quota / 50 }, 0.9},
		"quota up":   {func(qs *quotaSimulation) { qs.quota = quota * 2 }, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qs := newQuotaSimulation(6, quota)
				qs.play(t.Context(), 500, 10*time.Second)
				tc.trouble(qs)
				within(t, qs.play(t.Context(), 500, 10*time.Second), tc.least*qs.quota*10, 1.1*qs.quota*10+1)
			})
		})
	}
}

func cutAll(qs *quotaSimulation) {
	for i := range qs.cut {
		qs.cut[i].Store(true)
	}
}

func TestUnreachableHolderRetryDelay(t *testing.T) {
	// After a failed call to the holder, further requests are rejected at once instead of waiting for
	// another call that fails.
	synctest.Test(t, func(t *testing.T) {
		qs := newQuotaSimulation(1, 10)
		cutAll(qs)
		retry, ok := qs.limiters[0].Allow(t.Context(), "ada", 10)
		assert.Assert(t, !ok)
		assert.Equal(t, retry, unreachableRetry)
		calls := qs.calls.Load()
		retry, ok = qs.limiters[0].Allow(t.Context(), "ada", 10)
		assert.Assert(t, !ok && retry > 0)
		assert.Equal(t, qs.calls.Load(), calls, "it is rejected at once")
	})
}

func TestSpentQuotaRetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qs := newQuotaSimulation(1, 2)
		qs.play(t.Context(), 20, 5*time.Second)
		var retry time.Duration
		ok := true
		for ok {
			retry, ok = qs.limiters[0].Allow(t.Context(), "ada", 2)
		}
		assert.Assert(t, retry > 0 && retry <= 500*time.Millisecond, "%s", retry)
		time.Sleep(retry)
		_, ok = qs.limiters[0].Allow(t.Context(), "ada", 2)
		assert.Assert(t, ok, "there is a token after the Retry-After")
	})
}

func TestHolderWithoutQuotaUsesEntryQuota(t *testing.T) {
	// A scheduler whose configuration is missing or out of date must not treat a customer as
	// unlimited if the entries have a quota for it.
	const quota = 20.0
	synctest.Test(t, func(t *testing.T) {
		qs := newQuotaSimulation(6, quota)
		qs.server.QuotaFunc = func(string) float64 { return 0 }
		within(t, qs.play(t.Context(), 200, 10*time.Second), 0.9*quota*10, 1.1*quota*10+1)
	})
}
