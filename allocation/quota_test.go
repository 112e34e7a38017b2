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

// A counter is a deployment of one granter and some entries, for one customer.
type counter struct {
	calls   atomic.Int64
	cut     []atomic.Bool
	epoch   uint64
	granter *TokenServer
	payers  []*RateLimiter
	quota   float64
}

func newCounter(entries int, quota float64) *counter {
	co := &counter{cut: make([]atomic.Bool, entries), epoch: 1, quota: quota}
	co.granter = co.newGranter()
	for i := range entries {
		co.payers = append(co.payers, &RateLimiter{
			CallFunc: func(ctx context.Context, rq GrantRequest) (GrantResponse, error) {
				co.calls.Add(1)
				time.Sleep(2 * time.Millisecond)
				if co.cut[i].Load() {
					<-ctx.Done()
					return GrantResponse{}, ctx.Err()
				}
				return co.granter.grant(rq, time.Now())
			},
			Log: quiet(), Metrics: metrics.NewSet(), Overshoot: 0.1,
		})
	}
	return co
}

func (co *counter) newGranter() *TokenServer {
	return &TokenServer{
		Metrics: metrics.NewSet(), Overshoot: 0.1, QuotaFunc: func(string) float64 { return co.quota },
		StandingFunc: func(time.Time) (uint64, bool) { return co.epoch, true },
	}
}

// play asks at a rate each second, at one entry after the other, and returns how many
// requests were let through.
func (co *counter) play(ctx context.Context, rate int, length time.Duration) int64 {
	var served atomic.Int64
	begun := time.Now()
	for i := 0; time.Since(begun) < length; i++ {
		go func() {
			if _, ok := co.payers[i%len(co.payers)].Allow(ctx, "ada", co.quota); ok {
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

// Load pattern: callers ask for five times the quota, at all entries. It is used and kept,
// with few calls.
func TestQuotaOverEntries(t *testing.T) {
	for _, quota := range []float64{4, 100} {
		t.Run(fmt.Sprint(quota), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				co := newCounter(6, quota)
				within(t, co.play(t.Context(), int(5*quota), 30*time.Second), 0.9*quota*30, 1.01*quota*30+1)
				assert.Assert(t, co.calls.Load() < 30*6*20, "%d", co.calls.Load())
			})
		})
	}
}

func TestQuotaThroughFailures(t *testing.T) {
	// Symptom: a quota is exceeded, or its callers get nothing.
	// Sequence: an entry is cut off, the holder changes, an entry starts again, the
	// quota goes far down; one at a time.
	// Cause: tokens were granted or spent twice, or by no one.
	const quota = 100.0
	for name, tc := range map[string]struct {
		trouble func(co *counter)
		least   float64 // of the quota in the ten seconds after it
	}{
		"cut":        {func(co *counter) { co.cut[0].Store(true) }, 0.9},
		"all cut":    {func(co *counter) { cutAll(co) }, 0},
		"holder":     {func(co *counter) { co.epoch++; co.granter = co.newGranter() }, 0.9},
		"entry":      {func(co *counter) { co.payers[1].purses = nil }, 0.9},
		"quota down": {func(co *counter) { co.quota = quota / 50 }, 0.9},
		"quota up":   {func(co *counter) { co.quota = quota * 2 }, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				co := newCounter(6, quota)
				co.play(t.Context(), 500, 10*time.Second)
				tc.trouble(co)
				within(t, co.play(t.Context(), 500, 10*time.Second), tc.least*co.quota*10, 1.1*co.quota*10+1)
			})
		})
	}
}

func cutAll(co *counter) {
	for i := range co.cut {
		co.cut[i].Store(true)
	}
}

func TestCutOffPayerSaysWhenToComeBack(t *testing.T) {
	// Symptom: each request of an entry that is cut off waits for a call that fails.
	// Sequence: the entry asks the holder in vain; the next request comes.
	// Cause: the entry didn't keep that there are no tokens for a while.
	synctest.Test(t, func(t *testing.T) {
		co := newCounter(1, 10)
		cutAll(co)
		retry, ok := co.payers[0].Allow(t.Context(), "ada", 10)
		assert.Assert(t, !ok)
		assert.Equal(t, retry, unheardRetry)
		calls := co.calls.Load()
		retry, ok = co.payers[0].Allow(t.Context(), "ada", 10)
		assert.Assert(t, !ok && retry > 0)
		assert.Equal(t, co.calls.Load(), calls, "it is refused at once")
	})
}

func TestSpentQuotaSaysWhenThereIsMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		co := newCounter(1, 2)
		co.play(t.Context(), 20, 5*time.Second)
		var retry time.Duration
		ok := true
		for ok {
			retry, ok = co.payers[0].Allow(t.Context(), "ada", 2)
		}
		assert.Assert(t, retry > 0 && retry <= 500*time.Millisecond, "%s", retry)
		time.Sleep(retry)
		_, ok = co.payers[0].Allow(t.Context(), "ada", 2)
		assert.Assert(t, ok, "what the caller was told is true")
	})
}

func TestHolderThatKnowsNoQuotaKeepsTheEntries(t *testing.T) {
	// Symptom: a customer begins as many requests as it likes, though all entries know
	// its quota.
	// Sequence: a scheduler holds the lease before it has read the configuration, or has
	// an older one in which the customer has no quota; entries ask it for tokens.
	// Cause: it took a quota that it doesn't know for none, and granted all that was wanted.
	const quota = 20.0
	synctest.Test(t, func(t *testing.T) {
		co := newCounter(6, quota)
		co.granter.QuotaFunc = func(string) float64 { return 0 }
		within(t, co.play(t.Context(), 200, 10*time.Second), 0.9*quota*10, 1.1*quota*10+1)
	})
}
