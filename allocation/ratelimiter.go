package allocation

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriacroft/lease"
	"wisteriacroft/peer"
	"wisteriacroft/quota"
)

// Times of requests for tokens.
const (
	// grantTimeout is the timeout of a call, for which a live request waits.
	grantTimeout = 300 * time.Millisecond
	// unreachableRetry is the Retry-After while the holder is unreachable. Another entry may reach it.
	unreachableRetry = 500 * time.Millisecond
	// minRetry is the minimum Retry-After, since the next token may be granted to another entry.
	minRetry = 100 * time.Millisecond
)

// A RateLimiter spends tokens of customers' quotas at an entry. Fill the exported fields before use. It
// is safe for concurrent use.
type RateLimiter struct {
	// CallFunc requests tokens; nil stands for a call to the holder found by Finder.
	CallFunc  func(ctx context.Context, rq GrantRequest) (GrantResponse, error)
	Finder    *lease.Resolver // of the holder
	Log       *logrus.Entry
	Metrics   *metrics.Set
	Overshoot float64
	Pool      *peer.Pool

	mu      sync.Mutex
	buckets map[string]*customerBucket
}

// A customerBucket holds the tokens of a customer. One request uses it at a time, so that a single call
// fetches tokens for all waiting requests.
type customerBucket struct {
	quota.LocalBucket
	semaphore chan struct{}
}

// Allow spends a token of a customer's quota, given in requests a second. If there is none, it returns
// false and the Retry-After for the caller.
//
// An entry that cannot reach the holder spends its tokens and then rejects requests. If it admitted
// them, each such entry would exceed the quota by its own traffic.
func (rl *RateLimiter) Allow(ctx context.Context, customer string, rate float64) (retry time.Duration, ok bool) {
	li := quota.Limit{Overshoot: rl.Overshoot, Rate: rate}
	cb := rl.bucket(customer)
	select {
	case cb.semaphore <- struct{}{}:
		defer func() { <-cb.semaphore }()
	case <-ctx.Done():
		return minRetry, false
	}
	now := time.Now()
	if cb.Spend(li, now) {
		return 0, true
	}
	if retry = cb.RetryDelay(li, now); retry > 0 {
		return max(retry, minRetry), false
	}
	re, err := rl.fetch(ctx, GrantRequest{Customer: customer, Rate: rate, Want: cb.RefillSize()})
	if err != nil {
		rl.Metrics.GetOrCreateCounter(`wisteriacroft_quota_failures_total`).Inc()
		rl.Log.WithError(err).WithField("customer", customer).Warn("no tokens can be asked for")
		re = GrantResponse{Next: unreachableRetry}
	}
	cb.Refill(li, re.Tokens, max(re.Next, minRetry), now)
	if cb.Spend(li, time.Now()) {
		return 0, true
	}
	return max(re.Next, minRetry), false
}

// bucket returns a customer's bucket. Buckets are never removed; there is one for each customer with a quota.
func (rl *RateLimiter) bucket(customer string) *customerBucket {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.buckets == nil {
		rl.buckets = map[string]*customerBucket{}
	}
	cb := rl.buckets[customer]
	if cb == nil {
		cb = &customerBucket{semaphore: make(chan struct{}, 1)}
		rl.buckets[customer] = cb
	}
	return cb
}

// fetch requests tokens from the holder. The call is not cancelled with ctx, since other requests wait
// for it too.
func (rl *RateLimiter) fetch(ctx context.Context, rq GrantRequest) (GrantResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	if rl.CallFunc != nil {
		return rl.CallFunc(ctx, rq)
	}
	return callHolder[GrantRequest, GrantResponse](ctx, rl.Finder, rl.Pool, grantMethod, rq)
}
