package idempotency

import (
	"math"
	"slices"
	"time"
)

// RevisionGone is the revision recorded for a former home whose instance is no longer in the
// platform's instance list: it runs nothing under any set.
const RevisionGone uint64 = math.MaxUint64

// An EndpointSet is the endpoints of a service that may be homes, and the revision of the
// configuration that defines them.
type EndpointSet struct {
	Endpoints []string
	Revision  uint64
}

// A period is a set and the times at which its endpoints stopped using it.
type period struct {
	set     EndpointSet
	settled map[string]time.Time // by endpoint; absent if not confirmed
}

// homes holds the sets under which a key may have run, oldest first. The last one is active.
type homes struct {
	periods  []*period
	revision uint64 // highest received
	yielded  uint64 // no key runs under older sets
}

// update adds former sets and the set of a revision. A revision lower than the current one is
// ignored.
func (ho *homes) update(set EndpointSet, former []EndpointSet) {
	if set.Revision < ho.revision {
		return
	}
	for _, fo := range former {
		ho.append(fo)
	}
	ho.append(set)
	ho.revision = set.Revision
}

// append adds a set if it is newer than the last one and its endpoints differ.
func (ho *homes) append(set EndpointSet) {
	if n := len(ho.periods); n > 0 {
		last := ho.periods[n-1].set
		if set.Revision <= last.Revision || sameNames(set.Endpoints, last.Endpoints) {
			return
		}
	}
	set.Endpoints = slices.Clone(set.Endpoints)
	ho.periods = append(ho.periods, &period{set: set, settled: make(map[string]time.Time)})
}

func sameNames(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// current returns the endpoints of the active set, or nil if there is none or the home has yielded
// to a newer revision.
func (ho *homes) current() []string {
	if len(ho.periods) == 0 || ho.revision < ho.yielded {
		return nil
	}
	return ho.periods[len(ho.periods)-1].set.Endpoints
}

// former returns all periods but the active one.
func (ho *homes) former() []*period {
	if len(ho.periods) == 0 {
		return nil
	}
	return ho.periods[:len(ho.periods)-1]
}

// settle records that an endpoint runs nothing under sets older than a revision.
func (ho *homes) settle(now time.Time, endpoint string, revision uint64) {
	for i, pe := range ho.former() {
		if ho.periods[i+1].set.Revision > revision {
			return
		}
		if _, ok := pe.settled[endpoint]; !ok {
			pe.settled[endpoint] = now
		}
	}
}

// A yieldState is the time at which the former homes of a key yielded it.
type yieldState struct {
	at        time.Time // latest time; zero if the key had no other home
	unyielded string    // a former home that has not yielded
}

// yieldStateOf returns the state of a key's former homes.
func (ho *homes) yieldStateOf(ke Key, endpoint string) yieldState {
	var ys yieldState
	for _, pe := range ho.former() {
		home := ke.Home(pe.set.Endpoints)
		if home == "" || home == endpoint {
			continue
		}
		at, ok := pe.settled[home]
		if !ok {
			return yieldState{unyielded: home}
		}
		if at.After(ys.at) {
			ys.at = at
		}
	}
	return ys
}

// unsettled returns the names of former homes that have not yielded, sorted.
func (ho *homes) unsettled(endpoint string) []string {
	var names []string
	for _, pe := range ho.former() {
		for _, name := range pe.set.Endpoints {
			if _, ok := pe.settled[name]; !ok && name != endpoint {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// dropOld drops the oldest periods that all other endpoints left before a time.
func (ho *homes) dropOld(endpoint string, before time.Time) {
	for len(ho.periods) > 1 && ho.periods[0].leftBefore(endpoint, before) {
		ho.periods = ho.periods[1:]
	}
}

// leftBefore reports whether all endpoints except own left the period before a time.
func (pe *period) leftBefore(own string, before time.Time) bool {
	for _, name := range pe.set.Endpoints {
		at, ok := pe.settled[name]
		if name != own && (!ok || !at.Before(before)) {
			return false
		}
	}
	return true
}
