package directory

import (
	"time"

	"github.com/sirupsen/logrus"
)

// A Topic is one kind of the state that a process reads from the key-value service or gets from a feeder. Each
// is read by calls of its own, so that one may be old while the others are new.
type Topic int

// The topics.
const (
	TopicEndpoints  Topic = iota
	TopicOperator         // the configuration and the announced versions
	TopicHolds            // set by operators
	TopicQuarantine       // requests that crash endpoints
	topicCount
)

// Topics returns all topics.
func Topics() []Topic { return []Topic{TopicEndpoints, TopicOperator, TopicHolds, TopicQuarantine} }

// String returns the topic's name in logs and metrics.
func (to Topic) String() string {
	return [topicCount]string{"endpoints", "operator", "holds", "quarantine"}[to]
}

// Confirm records that the state of a topic was the newest one at the given time. An earlier time than the known one
// has no effect.
func (di *Directory) Confirm(to Topic, at time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if at.After(di.confirmedAt[to]) {
		di.confirmedAt[to] = at
	}
}

// Age returns how long ago the state of a topic was last known to be the newest one. It returns false if it never was.
func (di *Directory) Age(to Topic, now time.Time) (time.Duration, bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	at := di.confirmedAt[to]
	return now.Sub(at), !at.IsZero()
}

// logAges logs each topic whose state grows older than it may be here, and when it is new again.
func (fo *Follower) logAges(direct bool, now time.Time) {
	for _, to := range Topics() {
		bound := maxFeedAge
		if !direct {
			bound = contactTimeout
		}
		age, known := fo.Directory.Age(to, now)
		old := known && age > bound && (direct || to == TopicOperator)
		if old == fo.old[to] {
			continue
		}
		fo.old[to] = old
		fields := logrus.Fields{"age-ms": age.Milliseconds(), "topic": to.String()}
		if co := fo.Directory.Configuration(); co != nil {
			fields["version"] = co.Version
		}
		if old {
			fo.Log.WithFields(fields).Warn("state may be old")
			continue
		}
		fo.Log.WithFields(fields).Info("state is confirmed again")
	}
}
