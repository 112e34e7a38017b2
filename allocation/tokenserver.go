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

// grantMethod is the call by which an entry asks for tokens of a customer's quota.
const grantMethod = "allotment.Grant"

// A GrantRequest asks for tokens.
type GrantRequest struct {
	Customer string
	Rate     float64 // the quota that the entry knows
	Want     int
}

// A GrantResponse holds tokens or, if there are none, after how long there is one.
type GrantResponse struct {
	Next   time.Duration
	Tokens int
}

// A TokenServer grants tokens of customers' quotas while the process holds a lease. Fill the
// exported fields, then call Register.
//
// What it has granted need not last: the next holder begins without tokens, and those
// that were granted before are void after their lives.
type TokenServer struct {
	Metrics   *metrics.Set
	Overshoot float64 // by which part of it a quota may be exceeded
	// QuotaFunc returns a customer's quota, in requests a second; 0 means none.
	QuotaFunc func(customer string) float64
	// StandingFunc returns the epoch under which the lease is held, if it is.
	StandingFunc func(now time.Time) (epoch uint64, held bool)

	buckets map[string]*quota.Bucket
	epoch   uint64
	mu      sync.Mutex
}

// Register lets entries ask for tokens.
func (gr *TokenServer) Register(sv *peer.Server) {
	peer.Handle(sv, grantMethod, func(_ context.Context, _ message.Header, rq GrantRequest) (GrantResponse, error) {
		return gr.grant(rq, time.Now())
	})
}

// grant grants tokens.
func (gr *TokenServer) grant(rq GrantRequest, now time.Time) (GrantResponse, error) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	epoch, held := gr.StandingFunc(now)
	if !held {
		return GrantResponse{}, ErrNotHolder
	}
	if gr.epoch != epoch || gr.buckets == nil {
		gr.epoch, gr.buckets = epoch, map[string]*quota.Bucket{}
	}
	te := quota.Limit{Overshoot: gr.Overshoot, Rate: gr.QuotaFunc(rq.Customer)}
	if te.Rate <= 0 { // the configuration here is another one than the entry's, or not read yet
		te.Rate = rq.Rate
	}
	if te.Rate <= 0 {
		delete(gr.buckets, rq.Customer)
		return GrantResponse{Tokens: rq.Want}, nil
	}
	bu := gr.buckets[rq.Customer]
	if bu == nil {
		bu = &quota.Bucket{}
		gr.buckets[rq.Customer] = bu
	}
	tokens, next := bu.Take(te, rq.Want, now)
	gr.Metrics.GetOrCreateCounter(`wisteriacroft_quota_tokens_total`).Add(tokens)
	return GrantResponse{Next: next, Tokens: tokens}, nil
}
