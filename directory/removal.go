package directory

import (
	"time"

	"github.com/sirupsen/logrus"
)

// A Removal is what became of an endpoint whose entry was removed.
type Removal struct {
	id          string
	keptUntil   time.Time     // zero if the endpoint was dropped
	sinceReturn time.Duration // since this process noticed the end of the last outage; -1 for none
}

// fields returns the fields of the removal's log line.
func (re Removal) fields(now time.Time) logrus.Fields {
	var kept time.Duration
	if !re.keptUntil.IsZero() {
		kept = re.keptUntil.Sub(now)
	}
	sinceReturn := re.sinceReturn
	if sinceReturn >= 0 {
		return logrus.Fields{"kept-ms": kept.Milliseconds(), "since-return-ms": sinceReturn.Milliseconds()}
	}
	return logrus.Fields{"kept-ms": kept.Milliseconds()}
}

// logMissing logs the endpoints that were missing from a listing.
func (fo *Follower) logMissing(res []Removal, now time.Time) {
	if len(res) == 0 {
		return
	}
	ids := make([]string, 0, len(res))
	for _, re := range res {
		ids = append(ids, re.id)
	}
	fo.Log.WithFields(res[0].fields(now)).WithField("endpoints", ids).Info("endpoints are missing from a listing")
}

// expire drops the endpoints whose time to register again is over.
func (fo *Follower) expire(now time.Time) {
	if ids := fo.Directory.Expire(now); len(ids) > 0 {
		fo.Log.WithField("endpoints", ids).Info("endpoints did not register again")
	}
}
