package quarantine

import "time"

// A row is what is known of a request.
type row struct {
	answered int64            // Unix milliseconds of the last answer
	changed  uint64           // generation of the table at the last change
	strikes  map[string]int64 // Unix milliseconds of its end, by the start of an endpoint
}

// standing returns how many endpoints have ended since the last answer, and when
// the last one did.
func (ro *row) standing() (strikes int, last int64) {
	for _, at := range ro.strikes {
		if at > ro.answered {
			strikes++
			last = max(last, at)
		}
	}
	return strikes, last
}

// expired reports whether a row says nothing any more.
func (ro *row) expired(now time.Time) bool {
	strikes, last := ro.standing()
	life := suspectLife
	if strikes >= barStrikes {
		life = barTime
	}
	return now.Sub(time.UnixMilli(max(last, ro.answered))) > life
}

// judge returns what may be done with the request.
func (ro *row) judge(po policy, now time.Time) Verdict {
	strikes, last := ro.standing()
	rest := time.Duration(0)
	switch {
	case strikes >= po.bar:
		rest = barTime
	case strikes >= po.some:
		rest = po.rest
	}
	// Seen by a clock that is ahead, an end holds its request for no longer.
	held := min(rest-now.Sub(time.UnixMilli(last)), rest)
	return Verdict{HeldFor: max(held, 0), Strikes: strikes}
}
