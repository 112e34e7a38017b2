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

// Times of asking for tokens.
const (
	// grantTimeout bounds one call: a request waits for it.
	grantTimeout = 300 * time.Millisecond
	// unheardRetry is when a caller may come back whose entry can't reach the holder. A
	// lost holder is replaced within a few times as long, and another entry may reach it.
	unheardRetry = 500 * time.Millisecond
	// leastRetry is the least that a caller is told: others may be granted the next token.
	leastRetry = 100 * time.Millisecond
)

// A RateLimiter spends tokens of customers' quotas at an entry. Fill the exported fields before
// use.
type RateLimiter struct {
	// CallFunc asks for tokens; nil stands for a call to the holder that the finder
	// knows.
	CallFunc  func(ctx context.Context, rq GrantRequest) (GrantResponse, error)
	Finder    *lease.Resolver // of the holder
	Log       *logrus.Entry
	Metrics   *metrics.Set
	Overshoot float64
	Pool      *peer.Pool

	mu     sync.Mutex
	purses map[string]*purse
}

// A purse is a customer's, used by one request at a time. The one that finds it empty
// asks for tokens for all that wait behind it.
type purse struct {
	quota.LocalBucket
	turn chan struct{} // full while a request uses the purse
}

// Allow spends a token of a customer's quota, in requests a second, or returns after how
// long its caller may come back.
//
// An entry that can't reach the holder spends what it has and then refuses: let through,
// each entry that is cut off would exceed the quota once more.
func (pa *RateLimiter) Allow(ctx context.Context, customer string, rate float64) (retry time.Duration, ok bool) {
	te := quota.Limit{Overshoot: pa.Overshoot, Rate: rate}
	pu := pa.purse(customer)
	select {
	case pu.turn <- struct{}{}:
		defer func() { <-pu.turn }()
	case <-ctx.Done():
		return leastRetry, false
	}
	now := time.Now()
	if pu.Spend(te, now) {
		return 0, true
	}
	if retry = pu.RetryDelay(te, now); retry > 0 {
		return max(retry, leastRetry), false
	}
	re, err := pa.ask(ctx, GrantRequest{Customer: customer, Rate: rate, Want: pu.RefillSize()})
	if err != nil {
		pa.Metrics.GetOrCreateCounter(`wisteriacroft_quota_failures_total`).Inc()
		pa.Log.WithError(err).WithField("customer", customer).Warn("no tokens can be asked for")
		re = GrantResponse{Next: unheardRetry}
	}
	pu.Refill(te, re.Tokens, max(re.Next, leastRetry), now)
	if pu.Spend(te, time.Now()) {
		return 0, true
	}
	return max(re.Next, leastRetry), false
}

// purse returns a customer's purse. There are as many as customers with quotas.
func (pa *RateLimiter) purse(customer string) *purse {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.purses == nil {
		pa.purses = map[string]*purse{}
	}
	pu := pa.purses[customer]
	if pu == nil {
		pu = &purse{turn: make(chan struct{}, 1)}
		pa.purses[customer] = pu
	}
	return pu
}

// ask asks for tokens. The call doesn't end with the request that makes it, since others
// wait for it too.
func (pa *RateLimiter) ask(ctx context.Context, rq GrantRequest) (GrantResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	if pa.CallFunc != nil {
		return pa.CallFunc(ctx, rq)
	}
	return callHolder[GrantRequest, GrantResponse](ctx, pa.Finder, pa.Pool, grantMethod, rq)
}
