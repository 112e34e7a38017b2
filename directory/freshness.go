package directory

import "time"

// configurationTimeout is the age from which a configuration may be older than that of other processes: a change
// must be in force everywhere after this time.
const configurationTimeout = 2 * time.Second

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

// ConfigurationStale reports whether a newer configuration may exist that this process has not
// read: it has just started, is cut off, or is rejected by the key-value service. A key or
// route that is missing from a stale configuration may be known to other processes.
func (di *Directory) ConfigurationStale(now time.Time) bool {
	age, known := di.Age(TopicOperator, now)
	return !known || age >= configurationTimeout
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
