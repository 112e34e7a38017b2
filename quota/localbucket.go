package quota

import "time"

// A LocalBucket holds the tokens of a customer that an entry was granted. The zero LocalBucket is empty.
// It is not safe for concurrent use.
type LocalBucket struct {
	deniedUntil time.Time
	rate        float64   // quota for which the tokens were granted
	periodStart time.Time // start of the current token lifetime
	spent       int       // tokens spent in the current lifetime
	previous    int       // tokens spent in the previous lifetime
	tokens      int
	expiresAt   time.Time // of the tokens
}

// Spend spends a token, if there is one. Tokens granted for a different rate are dropped, since they
// may be too many for the new one.
func (lb *LocalBucket) Spend(li Limit, now time.Time) bool {
	if lb.rate != li.Rate || !now.Before(lb.expiresAt) {
		lb.tokens = 0
	}
	if lb.tokens == 0 {
		return false
	}
	lb.tokens--
	lb.count(li, now)
	return true
}

// count counts a spent token.
func (lb *LocalBucket) count(li Limit, now time.Time) {
	if passed := now.Sub(lb.periodStart); passed >= li.TokenTTL() {
		lb.previous = lb.spent
		if passed >= 2*li.TokenTTL() {
			lb.previous = 0
		}
		lb.spent, lb.periodStart = 0, now
	}
	lb.spent++
}

// RefillSize returns how many tokens to request: half of those spent in a lifetime, which balances
// expired tokens against calls.
func (lb *LocalBucket) RefillSize() int { return max(max(lb.spent, lb.previous)/2, 1) }

// Refill records the answer to a call made at asked: tokens, or none for the duration next.
func (lb *LocalBucket) Refill(li Limit, tokens int, next time.Duration, asked time.Time) {
	if tokens <= 0 {
		lb.deniedUntil = asked.Add(next)
		return
	}
	lb.tokens, lb.rate, lb.expiresAt = tokens, li.Rate, asked.Add(li.TokenTTL())
}

// RetryDelay returns for how long there are no tokens according to the last answer. A different rate
// resets the bucket.
func (lb *LocalBucket) RetryDelay(li Limit, now time.Time) time.Duration {
	if lb.rate != li.Rate {
		lb.rate, lb.tokens, lb.deniedUntil = li.Rate, 0, time.Time{}
	}
	return max(lb.deniedUntil.Sub(now), 0)
}
