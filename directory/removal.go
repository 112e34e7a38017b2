package directory

import (
	"time"

	"github.com/sirupsen/logrus"
)

// A Removal is what became of an endpoint whose entry was removed.
type Removal struct {
	id         string
	kept       time.Duration // how long the endpoint is still used; 0 if it was dropped
	returnedAt time.Time     // end of the last outage, as far as this process knows; zero for none
}

// fields returns the fields of the removal's log line.
func (re Removal) fields(now time.Time) logrus.Fields {
	fs := logrus.Fields{"kept-ms": re.kept.Milliseconds()}
	if !re.returnedAt.IsZero() {
		fs["since-return-ms"] = now.Sub(re.returnedAt).Milliseconds()
	}
	return fs
}

// logMissing logs the endpoints that were missing from a listing.
func (fo *Follower) logMissing(res []Removal, now time.Time) {
	for _, kept := range []bool{true, false} {
		var ids []string
		var last Removal
		for _, re := range res {
			if re.kept > 0 == kept {
				ids, last = append(ids, re.id), re
			}
		}
		if len(ids) > 0 {
			fo.Log.WithFields(last.fields(now)).WithField("endpoints", ids).Info("endpoints are missing from a listing")
		}
	}
}

// expire drops the endpoints whose time to register again is over.
func (fo *Follower) expire(now time.Time) {
	if ids := fo.Directory.Expire(now); len(ids) > 0 {
		fo.Log.WithField("endpoints", ids).Info("endpoints did not register again")
	}
}
