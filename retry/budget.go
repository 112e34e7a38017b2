// Package retry decides whether a request is tried again, and when.
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

// A Policy bounds the retries of a service. The zero Policy has usable
// defaults.
type Policy struct {
	Backoff     time.Duration // before the first retry, doubled for each; default 10ms
	Burst       int           // retries that a quiet service saves up; default 10
	MaxAttempts int           // first one included; default 3
	MaxBackoff  time.Duration // default 1s
	Ratio       float64       // retries that each first attempt earns; default 0.1, negative for no retries
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

// An Attempt is one that got no whole answer.
type Attempt struct {
	Deadline   time.Time // zero means none
	Fate       outcome.Outcome
	Number     int           // counted from 1
	Repeatable bool          // running twice does no harm
	Wait       time.Duration // least wait, such as the one that a refusal asked for when there is nowhere else to go
}

// A Budget is the retry budget of one service: a bucket that first attempts
// fill and retries empty. Without it each hop's retries multiply an overload,
// which shows as load that stays high after its cause is gone. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	policy  Policy
	refused float64 // moving mean: the part of attempts that found no place
	rng     *rand.Rand
	tokens  float64
}

// NewBudget returns a full budget. The seed is that of the jitter.
func NewBudget(po Policy, seed uint64) *Budget {
	po = po.withDefaults()
	return &Budget{
		policy: po,
		rng:    rand.New(rand.NewPCG(seed, 0)),
		tokens: float64(po.Burst),
	}
}

// Deposit counts a first attempt, which earns Ratio of a retry.
func (bu *Budget) Deposit() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = min(bu.share()*float64(bu.policy.Burst), bu.tokens+bu.share()*bu.policy.Ratio)
}

const (
	// outcomeWeight is the part of one outcome in the mean of the last ones.
	outcomeWeight = 0.05
	// mostRefused is the part of attempts that may be refused before there are no
	// retries at all: beyond it each retry most likely takes the place of a first attempt.
	mostRefused = 0.25
)

// Observe counts whether an endpoint had a place for an attempt. The budget shrinks as
// more are refused, and is as before when all are taken.
func (bu *Budget) Observe(taken bool) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	refused := 1.0
	if taken {
		refused = 0
	}
	bu.refused += outcomeWeight * (refused - bu.refused)
	bu.tokens = min(bu.tokens, bu.share()*float64(bu.policy.Burst))
}

// share returns which part of the policy's retries are allowed: all while no attempt is
// refused, none from mostRefused on. The lock is held.
func (bu *Budget) share() float64 { return max(0, 1-bu.refused/mostRefused) }

// Retry returns how long to wait before the next attempt, and whether there
// may be one. It takes a retry out of the budget.
func (bu *Budget) Retry(now time.Time, at Attempt) (time.Duration, bool) {
	if !safe(at) {
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

// safe reports whether another attempt can do no harm. A request whose fate is
// unknown may have run: only one that may run twice is tried again.
func safe(at Attempt) bool {
	switch at.Fate {
	case outcome.NotRun:
		return true
	case outcome.Unknown:
		return at.Repeatable
	default:
		return false
	}
}

// backoff returns the wait after an attempt: doubled for each, and between
// half and the whole of that, so that those who failed together don't return
// together.
func (bu *Budget) backoff(number int) time.Duration {
	wait := bu.policy.MaxBackoff
	if shift := number - 1; shift < 30 {
		wait = min(wait, bu.policy.Backoff<<shift)
	}
	return wait/2 + time.Duration(bu.rng.Int64N(int64(wait/2)+1))
}
