package directory

import (
	"fmt"
	"time"
)

// logAges logs each topic whose state grows older than it may be here, and when it is new again.
func (fo *Follower) logAges(direct bool, now time.Time) {
	var older, newer []string
	for _, to := range Topics() {
		bound := to.maxAge()
		if !direct {
			bound = configurationTimeout
		}
		age, known := fo.Directory.Age(to, now)
		old := known && age > bound
		switch {
		case old == fo.old[to]:
		case old:
			older = append(older, fmt.Sprintf("%s %s", to, age.Truncate(time.Millisecond)))
		default:
			newer = append(newer, to.String())
		}
		fo.old[to] = old
	}
	lo := fo.Log
	if co := fo.Directory.Configuration(); co != nil {
		lo = lo.WithField("version", co.Version)
	}
	if len(older) > 0 {
		lo.WithField("topics", older).Warn("state may be old")
	}
	if len(newer) > 0 {
		lo.WithField("topics", newer).Info("state is confirmed again")
	}
}
