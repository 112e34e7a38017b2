package admission

import (
	"math"
	"time"
)

// A decay is an exponentially decaying counter with a time constant of span.
type decay struct {
	at    time.Time
	count float64
}

// add counts one event.
func (de *decay) add(now time.Time, span time.Duration) {
	de.count = de.rate(now, span)*span.Seconds() + 1
	de.at = now
}

// rate returns the recent events a second.
func (de *decay) rate(now time.Time, span time.Duration) float64 {
	return de.count * math.Exp(-now.Sub(de.at).Seconds()/span.Seconds()) / span.Seconds()
}
