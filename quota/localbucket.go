package quota

import "time"

// A LocalBucket holds the tokens of a customer that an entry was granted. The zero LocalBucket is
// empty.
type LocalBucket struct {
	deniedUntil time.Time
	rate        float64   // that the entry knew when it got the tokens
	since       time.Time // the life of tokens that spent counts began
	spent       int       // since then
	before      int       // in the life before that
	tokens      int
	until       time.Time // the tokens may be spent
}

// Spend spends a token, if there is one. Tokens that were granted under another quota are
// void: after one that is far lower they would be far too many.
func (pu *LocalBucket) Spend(te Limit, now time.Time) bool {
	if pu.rate != te.Rate || !now.Before(pu.until) {
		pu.tokens = 0
	}
	if pu.tokens == 0 {
		return false
	}
	pu.tokens--
	pu.note(te, now)
	return true
}

// note counts what is spent.
func (pu *LocalBucket) note(te Limit, now time.Time) {
	if passed := now.Sub(pu.since); passed >= te.TokenTTL() {
		pu.before = pu.spent
		if passed >= 2*te.TokenTTL() {
			pu.before = 0
		}
		pu.spent, pu.since = 0, now
	}
	pu.spent++
}

// RefillSize returns for how many tokens to ask: half of what is spent in their life, so that
// few are left over and few calls are made.
func (pu *LocalBucket) RefillSize() int { return max(max(pu.spent, pu.before)/2, 1) }

// Refill takes in the answer to a call that was made at asked: tokens, or none and how long
// there won't be any.
func (pu *LocalBucket) Refill(te Limit, tokens int, next time.Duration, asked time.Time) {
	if tokens <= 0 {
		pu.deniedUntil = asked.Add(next)
		return
	}
	pu.tokens, pu.rate, pu.until = tokens, te.Rate, asked.Add(te.TokenTTL())
}

// RetryDelay returns for how long it is known that there are no tokens. A new quota makes what
// was known of the old one void.
func (pu *LocalBucket) RetryDelay(te Limit, now time.Time) time.Duration {
	if pu.rate != te.Rate {
		pu.rate, pu.tokens, pu.deniedUntil = te.Rate, 0, time.Time{}
	}
	return max(pu.deniedUntil.Sub(now), 0)
}
