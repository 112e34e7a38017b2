package directory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// An outageSet holds the prefixes for which calls of the key-value service fail. The zero value is empty and ready to
// use. It is safe for concurrent use.
type outageSet struct {
	mu       sync.Mutex
	prefixes map[string]bool
}

// set records whether calls for a prefix fail, and reports whether that has changed.
func (oe *outageSet) set(prefix string, failing bool) bool {
	oe.mu.Lock()
	defer oe.mu.Unlock()
	if oe.prefixes[prefix] == failing {
		return false
	}
	if oe.prefixes == nil {
		oe.prefixes = map[string]bool{}
	}
	oe.prefixes[prefix] = failing
	return true
}

// setUnavailable records from the result of a call whether the key-value service is
// unavailable for a prefix, and logs a change.
func (fo *Follower) setUnavailable(prefix string, err error) {
	unavailable := err != nil && !errors.Is(err, keyvalue.ErrHistoryGone)
	if prefix == fo.Source.EndpointPrefix {
		fo.Directory.SetUnavailable(unavailable)
	}
	if !fo.outages.set(prefix, unavailable) {
		return
	}
	en := fo.Log.WithFields(logrus.Fields{"dependency": "key-value", "prefix": prefix})
	if unavailable {
		en.WithError(err).Warn("dependency lost")
		return
	}
	en.Info("dependency regained")
}

// recordOutage records the last outage that this process has noticed, and the version of the state of the endpoints that it has read
// after it.
func (fo *Follower) recordOutage(version int64) {
	ke := fo.Client.LastOutage()
	length, ok := fo.Directory.RecordOutage(ke, version)
	if !ok {
		return
	}
	fo.Log.WithFields(logrus.Fields{
		"away-ms": length.Milliseconds(), "since-return-ms": time.Since(ke.To).Milliseconds(), revisionField: version,
	}).Info("entries may have expired in an outage")
}
