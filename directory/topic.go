package directory

import (
	"fmt"
	"time"
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

const (
	// maxEndpointAge bounds the age of the endpoints that a feeder sends. Together with the
	// duration of a call it stays below the 2 s after which a leaving endpoint must get no new
	// work.
	maxEndpointAge = 1100 * time.Millisecond
	// maxFeedAge is the same for the other topics. Together with the time in which a standby takes the
	// feeder's place it stays below the 2 s after which a change must be in force.
	maxFeedAge = 1400 * time.Millisecond
)

// Topics returns all topics.
func Topics() []Topic { return []Topic{TopicEndpoints, TopicOperator, TopicHolds, TopicQuarantine} }

// String returns the topic's name in logs and metrics.
func (to Topic) String() string {
	return [topicCount]string{"endpoints", "operator", "holds", "quarantine"}[to]
}

// maxAge returns the age beyond which a feeder does not send the topic's state.
func (to Topic) maxAge() time.Duration {
	if to == TopicEndpoints {
		return maxEndpointAge
	}
	return maxFeedAge
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
	return di.age(to, now)
}

// age is Age. The lock is held.
func (di *Directory) age(to Topic, now time.Time) (time.Duration, bool) {
	at := di.confirmedAt[to]
	return elapsed(at, now), !at.IsZero()
}

// A freshness tells how old the state of a feeder is, and for how long it can be sent.
type freshness struct {
	age   time.Duration // of the oldest topic
	left  time.Duration // until a topic is too old to be sent; negative if one is
	topic Topic         // that one
}

// freshness returns the freshness of the topics. It returns false if the state of one of them is unknown.
func (di *Directory) freshness(now time.Time) (freshness, bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	var fr freshness
	for _, to := range Topics() {
		age, known := di.age(to, now)
		if !known || !di.synced {
			return freshness{topic: to}, false
		}
		fr.age = max(fr.age, age)
		if left := to.maxAge() - age; to == 0 || left < fr.left {
			fr.left, fr.topic = left, to
		}
	}
	return fr, true
}

// elapsed returns the time between two moments. While an instance is suspended only its time of day goes on, and after
// a step of that only the other clock is right: the longer time counts.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

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
