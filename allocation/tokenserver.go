package allocation

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/quota"
)

// grantMethod is the RPC method for requests for tokens.
const grantMethod = "allotment.Grant"

// A GrantRequest requests tokens of a customer's quota.
type GrantRequest struct {
	Customer string
	Rate     float64 // quota in the entry's configuration, in requests a second
	Want     int     // maximum number of tokens
}

// A GrantResponse holds the number of tokens granted or, if 0, the time until the next one.
type GrantResponse struct {
	Next   time.Duration
	Tokens int
}

// A TokenServer grants tokens of customers' quotas while the process holds a lease. Fill the exported
// fields, then call Register.
//
// Its state is not stored: a new holder starts with empty buckets, and tokens granted before expire.
type TokenServer struct {
	Metrics   *metrics.Set
	Overshoot float64 // fraction by which a quota may be exceeded
	// QuotaFunc returns a customer's quota, in requests a second, or 0 if it has none.
	QuotaFunc func(customer string) float64
	// StandingFunc returns the epoch under which the lease is held, if it is.
	StandingFunc func(now time.Time) (epoch uint64, held bool)

	buckets map[string]*quota.Bucket
	epoch   uint64
	mu      sync.Mutex
}

// Register registers the RPC method for requests for tokens.
func (ts *TokenServer) Register(sv *peer.Server) {
	peer.Handle(sv, grantMethod, func(_ context.Context, _ message.Header, rq GrantRequest) (GrantResponse, error) {
		return ts.grant(rq, time.Now())
	})
}

// grant grants tokens.
func (ts *TokenServer) grant(rq GrantRequest, now time.Time) (GrantResponse, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	epoch, held := ts.StandingFunc(now)
	if !held {
		return GrantResponse{}, ErrNotHolder
	}
	if ts.epoch != epoch || ts.buckets == nil {
		ts.epoch, ts.buckets = epoch, map[string]*quota.Bucket{}
	}
	li := quota.Limit{Overshoot: ts.Overshoot, Rate: ts.QuotaFunc(rq.Customer)}
	if li.Rate <= 0 { // this process's configuration differs from the entry's or was not read yet
		li.Rate = rq.Rate
	}
	if li.Rate <= 0 {
		delete(ts.buckets, rq.Customer)
		return GrantResponse{Tokens: rq.Want}, nil
	}
	bu := ts.buckets[rq.Customer]
	if bu == nil {
		bu = &quota.Bucket{}
		ts.buckets[rq.Customer] = bu
	}
	tokens, next := bu.Take(li, rq.Want, now)
	ts.Metrics.GetOrCreateCounter(`wisteriacroft_quota_tokens_total`).Add(tokens)
	return GrantResponse{Next: next, Tokens: tokens}, nil
}
