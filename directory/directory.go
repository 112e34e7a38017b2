package directory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wisteriacroft/broadcast"
	"wisteriacroft/hold"
)

// contactTimeout is the time without a response of the key-value service or the feeder after
// which a process considers itself cut off. Responses normally arrive every 0.8 s.
const contactTimeout = 1500 * time.Millisecond

// A Directory is a process's table of routes and endpoints. The zero value is empty and ready
// to use. It is safe for concurrent use.
type Directory struct {
	mu            sync.RWMutex
	configuration *Configuration
	endpoints     endpointSet
	displaced     map[string]Endpoint   // lost their addresses before the configuration was known
	missing       map[string]bool       // IDs of the endpoints whose entries may have expired in the outage
	versions      map[string]uint64     // newest announced version by model
	synced        bool                  // endpoints have been read once
	confirmedAt   [topicCount]time.Time // by topic
	changed       broadcast.Signal
	changes       changeLog // of the endpoints, without model versions
	revision      uint64    // of the endpoints, with model versions
	holds         *hold.Set // set by operators

	outage      outage
	outageSeen  time.Time // end of the last outage that RecordOutage was told
	unavailable bool      // the key-value service, for endpoints
	lastContact time.Time // last response of the key-value service or the feeder
}

// Configuration returns the configuration in force, or nil before it is known. It must not be
// modified.
func (di *Directory) Configuration() *Configuration {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.configuration
}

// SetConfiguration replaces the configuration if the new one has a higher version, and
// reports whether it did.
//
// A stale read or a delayed response would otherwise restore routes that were removed.
func (di *Directory) SetConfiguration(co *Configuration) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	if di.configuration != nil && co.Version <= di.configuration.Version {
		return false
	}
	di.configuration = co
	for _, en := range di.displaced {
		di.upsert(en)
	}
	di.displaced = nil
	di.changed.Notify()
	return true
}

// Endpoint returns the endpoint with an ID. One that an operator drains is marked as leaving.
func (di *Directory) Endpoint(id string) (Endpoint, bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	en, ok := di.endpoints.get(id)
	return di.drained(en), ok
}

// Endpoints returns the endpoints of a service, or all for an empty name,
// ordered by ID. One that an operator drains is marked as leaving. The slice is shared and
// must not be modified.
func (di *Directory) Endpoints(service string) []Endpoint {
	di.mu.RLock()
	ens, ok := di.endpoints.cachedList(service)
	di.mu.RUnlock()
	if ok {
		return ens
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.endpoints.list(service, di.drained)
}

// sortedEndpoints returns the endpoints of a service, or all for an empty name, ordered
// by ID.
func sortedEndpoints(all map[string]Endpoint, service string) []Endpoint {
	ens := make([]Endpoint, 0, len(all))
	for _, en := range all {
		if service == "" || en.Service == service {
			ens = append(ens, en)
		}
	}
	slices.SortFunc(ens, func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return ens
}

// Ready reports whether routes and endpoints are known.
func (di *Directory) Ready() bool {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.configuration != nil && di.synced
}

// SetEndpoint adds or replaces an endpoint. It returns the ID of the endpoint that it replaced
// at the same address, or "".
//
// The entry of a crashed endpoint outlives it by some seconds, beside that of its successor at
// the same address. If both counted, the successor would get twice as many items as it has
// slots. Only the one that started last is used.
//
// An endpoint may also restart under the same ID. A late entry of its previous incarnation is
// ignored, as it would restore the drain state or the address of a process that has ended.
func (di *Directory) SetEndpoint(en Endpoint) (replaced string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.upsert(en)
}

// upsert adds or replaces an endpoint unless a newer entry is known. The lock is held.
func (di *Directory) upsert(en Endpoint) (replaced string) {
	old, known := di.endpoints.get(en.ID)
	if known && old.Incarnation.Supersedes(en.Incarnation) {
		return ""
	}
	en.Incarnation = max(en.Incarnation, old.Incarnation)
	for _, other := range di.endpoints.at(en.Address) {
		if other.ID == en.ID || en.Address == "" || !di.mayReplace(en, other) {
			continue
		}
		if !en.supersedes(other) && di.mayReplace(other, en) {
			di.displace(en)
			return ""
		}
		replaced = other.ID
		di.drop(other.ID)
		di.displace(other)
	}
	di.endpoints.set(en)
	di.revision++
	if !known || old.changed(en) {
		di.recordChange(en.ID)
	}
	delete(di.missing, en.ID)
	return replaced
}

// drop removes an endpoint. The lock is held.
func (di *Directory) drop(id string) {
	if _, ok := di.endpoints.get(id); ok {
		di.endpoints.remove(id)
		di.revision++
		di.recordChange(id)
	}
	delete(di.missing, id)
	delete(di.displaced, id)
}

// replaceEndpoints replaces all endpoints with those of the feeder, which has already applied
// the grace period to endpoints missing after an outage.
func (di *Directory) replaceEndpoints(ens []Endpoint) {
	di.mu.Lock()
	defer di.mu.Unlock()
	var fed endpointSet
	for _, en := range ens {
		fed.set(di.newest(en))
	}
	di.endpoints = fed
	di.missing, di.displaced = nil, nil
	di.synced = true
	di.revision++
	di.changes.reset()
	di.changed.Notify()
}

// RecordContact records that the key-value service or the feeder responded, even with an
// error.
func (di *Directory) RecordContact(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.lastContact = now
}

// CutOff reports whether neither the key-value service nor the feeder has responded within
// contactTimeout.
//
// A process that is cut off cannot store steps or look up results, while other processes can.
// An outage of the key-value service alone does not count: the feeder still responds, and
// other processes are affected just as much.
func (di *Directory) CutOff(now time.Time) bool {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return now.Sub(di.lastContact) >= contactTimeout
}

// SetEndpoints replaces all endpoints with a complete listing, and returns what became of those that
// are missing from it.
func (di *Directory) SetEndpoints(ens []Endpoint, now time.Time) []Removal {
	var res []Removal
	present := map[string]bool{}
	for _, en := range ens {
		present[en.ID] = true
		di.SetEndpoint(en)
	}
	for _, en := range di.Endpoints("") {
		if !present[en.ID] {
			res = append(res, di.RemoveEndpoint(en.ID, now))
		}
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	di.synced = true
	return res
}

// SetVersion records a version announced for a model if it is higher than the current one, and
// reports whether it did.
func (di *Directory) SetVersion(model string, version uint64) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	if version <= di.versions[model] {
		return false
	}
	if di.versions == nil {
		di.versions = map[string]uint64{}
	}
	di.versions[model] = version
	return true
}

// Versions returns the newest announced version by model.
func (di *Directory) Versions() map[string]uint64 {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return maps.Clone(di.versions)
}
