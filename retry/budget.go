// Package retry decides whether and when a request is retried.
package retry

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriacroft/outcome"
)

// Defaults of a Policy.
const (
	defaultBackoff     = 10 * time.Millisecond
	defaultBurst       = 10
	defaultMaxAttempts = 3
	defaultMaxBackoff  = time.Second
	defaultRatio       = 0.1
)

// A Policy limits the retries of a service. The zero Policy has usable defaults.
type Policy struct {
	Backoff     time.Duration // before the first retry, doubled for each further one; default 10ms
	Burst       int           // capacity of the budget, in retries; default 10
	MaxAttempts int           // including the first; default 3
	MaxBackoff  time.Duration // default 1s
	Ratio       float64       // retries added to the budget by each first attempt; default 0.1, negative for no retries
}

// withDefaults returns the policy with its defaults filled in.
func (po Policy) withDefaults() Policy {
	po.Backoff = cmp.Or(po.Backoff, defaultBackoff)
	po.Burst = cmp.Or(po.Burst, defaultBurst)
	po.MaxAttempts = cmp.Or(po.MaxAttempts, defaultMaxAttempts)
	po.MaxBackoff = cmp.Or(po.MaxBackoff, defaultMaxBackoff)
	po.Ratio = cmp.Or(po.Ratio, defaultRatio)
	if po.Ratio < 0 {
		po.Burst, po.Ratio = 0, 0
	}
	return po
}

// An Attempt is a failed attempt of a request.
type Attempt struct {
	Deadline   time.Time // zero means none
	Fate       outcome.Outcome
	Number     int           // counted from 1
	Repeatable bool          // the request may run more than once
	Wait       time.Duration // minimum wait, such as the Retry-After of a rejection
}

// A Budget is the retry budget of one service: a token bucket that first attempts fill and retries
// empty. Without it, retries multiply an overload and can keep it going after its cause has ended. It
// is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	policy   Policy
	rejected float64 // moving mean of the fraction of attempts rejected for lack of capacity
	rng      *rand.Rand
	tokens   float64
}

// NewBudget returns a full budget. The seed is for the jitter of waits.
func NewBudget(po Policy, seed uint64) *Budget {
	po = po.withDefaults()
	return &Budget{
		policy: po,
		rng:    rand.New(rand.NewPCG(seed, 0)),
		tokens: float64(po.Burst),
	}
}

// Deposit records a first attempt, which adds Policy.Ratio retries to the budget.
func (bu *Budget) Deposit() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = min(bu.allowedFraction()*float64(bu.policy.Burst), bu.tokens+bu.allowedFraction()*bu.policy.Ratio)
}

const (
	// outcomeWeight is the weight of a new outcome in the moving mean.
	outcomeWeight = 0.05
	// maxRejected is the fraction of rejected attempts from which no retries are allowed: each would
	// probably displace a first attempt.
	maxRejected = 0.25
)

// Observe records whether an endpoint accepted an attempt or rejected it for lack of capacity. The
// budget shrinks with the fraction of rejected attempts.
func (bu *Budget) Observe(taken bool) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	rejected := 1.0
	if taken {
		rejected = 0
	}
	bu.rejected += outcomeWeight * (rejected - bu.rejected)
	bu.tokens = min(bu.tokens, bu.allowedFraction()*float64(bu.policy.Burst))
}

// allowedFraction returns the fraction of the policy's retries that is allowed. The caller holds the
// lock.
func (bu *Budget) allowedFraction() float64 { return max(0, 1-bu.rejected/maxRejected) }

// Retry reports whether there may be another attempt, and how long to wait before it. It takes a retry
// from the budget if so.
func (bu *Budget) Retry(now time.Time, at Attempt) (time.Duration, bool) {
	if !retryable(at) {
		return 0, false
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if at.Number >= bu.policy.MaxAttempts || bu.tokens < 1 {
		return 0, false
	}
	wait := max(at.Wait, bu.backoff(at.Number))
	if !at.Deadline.IsZero() && !now.Add(wait).Before(at.Deadline) {
		return 0, false
	}
	bu.tokens--
	return wait, true
}

// retryable reports whether the request may be sent again. If its outcome is unknown, it may have run,
// so that it must be repeatable.
func retryable(at Attempt) bool {
	switch at.Fate {
	case outcome.NotRun:
		return true
	case outcome.Unknown:
		return at.Repeatable
	default:
		return false
	}
}

// backoff returns the wait after an attempt: exponential, with jitter between half and all of it.
func (bu *Budget) backoff(number int) time.Duration {
	wait := bu.policy.MaxBackoff
	if shift := number - 1; shift < 30 {
		wait = min(wait, bu.policy.Backoff<<shift)
	}
	return wait/2 + time.Duration(bu.rng.Int64N(int64(wait/2)+1))
}
