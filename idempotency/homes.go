package idempotency

import (
	"math"
	"slices"
	"time"
)

// RevisionGone is the revision of a former home whose instance is no longer in the
// platform's list: it runs nothing more under any set.
const RevisionGone uint64 = math.MaxUint64

// An EndpointSet names the endpoints of a service that may be homes, and the revision
// that set them so.
type EndpointSet struct {
	Endpoints []string
	Revision  uint64
}

// A period is a set and what is known of its end.
type period struct {
	set     EndpointSet
	settled map[string]time.Time // when each endpoint was known to have left it
}

// homes are the sets that a home has to reckon with, oldest first; the last
// one is in force.
type homes struct {
	periods  []*period
	revision uint64 // highest that the attendant was given
	yielded  uint64 // runs nothing under sets older than this
}

// take takes in the set of a revision, and the sets before it that may still
// be believed in somewhere. A lower revision than one held is passed over.
func (ho *homes) take(set EndpointSet, former []EndpointSet) {
	if set.Revision < ho.revision {
		return
	}
	for _, fo := range former {
		ho.append(fo)
	}
	ho.append(set)
	ho.revision = set.Revision
}

// append puts a set at the end, if it is newer than the last one and differs.
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

// sameNames reports whether two lists hold the same names in any order.
func sameNames(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// current returns the endpoints of the set in force, or nil if nothing may run
// under it.
func (ho *homes) current() []string {
	if len(ho.periods) == 0 || ho.revision < ho.yielded {
		return nil
	}
	return ho.periods[len(ho.periods)-1].set.Endpoints
}

// former returns the periods that have ended.
func (ho *homes) former() []*period {
	if len(ho.periods) == 0 {
		return nil
	}
	return ho.periods[:len(ho.periods)-1]
}

// settle records that an endpoint runs nothing under sets older than a
// revision.
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

// A handOver says since when a key's former homes are known to have given it
// up.
type handOver struct {
	at      time.Time // latest; zero if the key had no other home
	missing string    // a former home that has not given it up
}

// handOver returns what is known of a key's former homes.
func (ho *homes) handOver(ke Key, endpoint string) handOver {
	var ha handOver
	for _, pe := range ho.former() {
		home := ke.Home(pe.set.Endpoints)
		if home == "" || home == endpoint {
			continue
		}
		at, ok := pe.settled[home]
		if !ok {
			return handOver{missing: home}
		}
		if at.After(ha.at) {
			ha.at = at
		}
	}
	return ha
}

// unsettled returns the former homes whose word is missing, by name.
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

// forget drops the oldest periods that all endpoints had left before a time.
func (ho *homes) forget(endpoint string, before time.Time) {
	for len(ho.periods) > 1 && ho.periods[0].leftBefore(endpoint, before) {
		ho.periods = ho.periods[1:]
	}
}

// leftBefore reports whether all endpoints but one's own left before a time.
func (pe *period) leftBefore(own string, before time.Time) bool {
	for _, name := range pe.set.Endpoints {
		at, ok := pe.settled[name]
		if name != own && (!ok || !at.Before(before)) {
			return false
		}
	}
	return true
}
