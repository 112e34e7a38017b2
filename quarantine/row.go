package quarantine

import "time"

// A row holds the records of a request.
type row struct {
	succeededAt int64            // Unix milliseconds of the last success
	changed     uint64           // generation of the table at the last change
	crashes     map[string]int64 // Unix milliseconds of the crash, by incarnation of an endpoint
}

// summary returns how many endpoints have crashed since the last success, and the time of the
// last crash in Unix milliseconds.
func (ro *row) summary() (crashes int, last int64) {
	for _, at := range ro.crashes {
		if at > ro.succeededAt {
			crashes++
			last = max(last, at)
		}
	}
	return crashes, last
}

// expired reports whether a row is no longer relevant.
func (ro *row) expired(now time.Time) bool {
	crashes, last := ro.summary()
	ttl := suspectTTL
	if crashes >= trialThreshold {
		ttl = blockTime
	}
	return now.Sub(time.UnixMilli(max(last, ro.succeededAt))) > ttl
}

// verdict returns whether the request may be sent by a process with the given spread.
func (ro *row) verdict(spread float64, now time.Time) Verdict {
	crashes, last := ro.summary()
	hold := holdAfter(crashes, spread)
	// Bounded, as the clock of the process that saw the crash may be ahead.
	held := min(hold-now.Sub(time.UnixMilli(last)), hold)
	return Verdict{HeldFor: max(held, 0), Strikes: crashes}
}

// holdAfter returns how long a request is held after its last crash.
func holdAfter(crashes int, spread float64) time.Duration {
	switch {
	case crashes >= blockThreshold:
		return blockTime
	case crashes >= trialThreshold:
		hold := cooldown << (crashes - trialThreshold)
		return hold + time.Duration(spread*float64(hold/spreadDivisor))
	case crashes >= cooldownThreshold:
		return cooldown
	default:
		return 0
	}
}
