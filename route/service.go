package route

import (
	"math/rand/v2"
	"time"

	"wisteriacroft/engine"
)

// A service is the rows of one service.
type service struct {
	ready      group             // rows that accept new requests
	domains    map[string]*group // the same, by failure domain
	inFlight   int               // requests of this entry, over all rows
	total      int               // rows in any state
	noneUsable noneUsable
	suspect    group // rows in state Suspect
}

// A noneUsable caches that no row is usable until a time, for needs with at least a version. Without
// it, each pick would scan all rows while all endpoints reject requests.
type noneUsable struct {
	until   time.Time
	version engine.Version
}

// newService returns a service without rows.
func newService() *service { return &service{domains: make(map[string]*group)} }

// addReady adds a row to those that accept new requests.
func (se *service) addReady(ro *row) {
	se.noneUsable = noneUsable{}
	se.ready.add(ro)
	domain := ro.endpoint.FailureDomain
	if se.domains[domain] == nil {
		se.domains[domain] = &group{}
	}
	se.domains[domain].add(ro)
}

// removeReady removes a row from those that accept new requests.
func (se *service) removeReady(ro *row) {
	se.ready.remove(ro)
	domain := ro.endpoint.FailureDomain
	gr := se.domains[domain]
	if gr == nil {
		return
	}
	gr.remove(ro)
	if len(gr.rows) == 0 {
		delete(se.domains, domain)
	}
}

// pick returns the less loaded of two random rows, if possible in the preferred failure domain, or nil
// if none fits.
func (se *service) pick(now time.Time, need Need, rng *rand.Rand, spill float64) *row {
	if now.Before(se.noneUsable.until) && need.MinVersion >= se.noneUsable.version {
		return nil
	}
	var near *row
	if gr := se.domains[need.FailureDomain]; gr != nil {
		near = lessLoaded(gr.withVersion(need.MinVersion), rng, now, &need)
	}
	if near != nil && near.loadRatio() < spill {
		return near
	}
	rows := se.ready.withVersion(need.MinVersion)
	far := lessLoaded(rows, rng, now, &need)
	if near == nil && far == nil && len(need.Exclude) == 0 && need.Room == 0 {
		se.noneUsable = noneUsable{until: earliestUsable(rows), version: need.MinVersion}
	}
	if near == nil || far != nil && far.loadRatio() < near.loadRatio() {
		return far
	}
	return near
}

// nextRoundRobin returns the next row in round robin, or nil.
func (se *service) nextRoundRobin(now time.Time, need Need) *row {
	rows := se.ready.withVersion(need.MinVersion)
	if len(rows) == 0 {
		return nil
	}
	se.ready.next++
	return nextFit(rows, se.ready.next%len(rows), now, &need)
}

// belowLoadBound reports whether a row has few enough of this entry's requests, relative to the mean, to
// get another one because of its prefix.
func (se *service) belowLoadBound(ro *row, bound float64) bool {
	mean := float64(se.inFlight+1) / float64(max(1, len(se.ready.rows)))
	return float64(ro.inFlight) < bound*mean+1
}

// earliestUsable returns the earliest time at which a row is no longer avoided.
func earliestUsable(rows []*row) time.Time {
	var at time.Time
	for i, ro := range rows {
		if i == 0 || ro.avoidUntil.Before(at) {
			at = ro.avoidUntil
		}
	}
	return at
}
