package directory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wisteriacroft/hold"
)

// returnTime is how long after the key-value service's return an endpoint that
// is missing from it is still used: the time that the platform gives endpoints
// to register again, 2 s, and a heartbeat's lag.
const returnTime = 2500 * time.Millisecond

// leastOutage is how long the service must have been away for entries to have
// ended meanwhile: endpoints write each 1.2 s, and an entry ends after three
// intervals of silence. Calls that are cut and repeated at once are no outage.
const leastOutage = 2 * time.Second

// cutOffAfter is after how long without an answer of the key-value service or of
// the process that feeds it a process counts as cut off. In touch, it has one
// each 0.8 s.
const cutOffAfter = 1500 * time.Millisecond

// A Directory is the table of routes and endpoints that a process believes in.
// The zero Directory is empty and ready to use.
type Directory struct {
	mu            sync.RWMutex
	configuration *Configuration
	endpoints     endpointSet
	aside         map[string]Endpoint  // lost their addresses before the configuration was known
	missing       map[string]time.Time // endpoints to drop, and when
	versions      map[string]uint64    // newest version named for a model
	synced        bool                 // endpoints have been read once
	confirmedAt   time.Time            // the service last told of the endpoints
	generation    uint64               // of the endpoints; their models' versions don't count
	holds         *hold.Set            // of operators
	awaySince     time.Time            // zero while the service answers
	backAt        time.Time
	heardAt       time.Time // of the service, or of the process that feeds this one
	newsAt        time.Time // when the configuration was known to be the newest
}

// Configuration returns what is in force, or nil before it is known. It must
// not be changed.
func (di *Directory) Configuration() *Configuration {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.configuration
}

// SetConfiguration puts a configuration in force unless a newer one is. It
// returns whether it did.
//
// A read that was answered by a replica behind the others, or an answer that
// was overtaken, would otherwise bring back routes that were removed.
func (di *Directory) SetConfiguration(co *Configuration) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	if di.configuration != nil && co.Version <= di.configuration.Version {
		return false
	}
	di.configuration = co
	for _, en := range di.aside {
		di.place(en)
	}
	di.aside = nil
	return true
}

// Endpoint returns the endpoint of an ID.
func (di *Directory) Endpoint(id string) (Endpoint, bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	en, ok := di.endpoints.get(id)
	return di.drained(en), ok
}

// Endpoints returns the endpoints of a service, or all for an empty name,
// ordered by ID. One that an operator drains is leaving. They must not be changed.
func (di *Directory) Endpoints(service string) []Endpoint {
	di.mu.RLock()
	ens, ok := di.endpoints.listed(service)
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

// Ready returns whether routes and endpoints are known.
func (di *Directory) Ready() bool {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.configuration != nil && di.synced
}

// SetEndpoint adds or replaces an endpoint. It returns the ID of another one that
// had its address before, or "".
//
// An endpoint that crashed has its entry for some seconds more, beside that of its
// successor at the same address. Taken for two, the successor got twice as many
// items as it has places after a loss of power, and refused half of them. The one
// that started last is the one that lives.
//
// An endpoint that starts again under its ID has an entry of its former start for
// as long. Taken for news when it comes late, such an entry would bring back a
// drain, or an address, of a process that is gone.
func (di *Directory) SetEndpoint(en Endpoint) (replaced string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.place(en)
}

// place adds or replaces an endpoint, unless what is known is newer.
func (di *Directory) place(en Endpoint) (replaced string) {
	old, known := di.endpoints.get(en.ID)
	if known && old.Incarnation.Supersedes(en.Incarnation) {
		return ""
	}
	en.Incarnation = max(en.Incarnation, old.Incarnation)
	for _, other := range di.endpoints.at(en.Address) {
		if other.ID == en.ID || en.Address == "" || !di.rivals(en, other) {
			continue
		}
		if !en.outlives(other) && di.rivals(other, en) {
			di.putAside(en)
			return ""
		}
		replaced = other.ID
		di.forget(other.ID)
		di.putAside(other)
	}
	if !known || old.differs(en) {
		di.generation++
	}
	di.endpoints.set(en)
	delete(di.missing, en.ID)
	return replaced
}

// forget drops an endpoint.
func (di *Directory) forget(id string) {
	if _, ok := di.endpoints.get(id); ok {
		di.generation++
	}
	di.endpoints.remove(id)
	delete(di.missing, id)
	delete(di.aside, id)
}

// replaceEndpoints replaces all endpoints by those that another process knows.
// It has waited for those that went missing in an outage.
func (di *Directory) replaceEndpoints(ens []Endpoint) {
	di.mu.Lock()
	defer di.mu.Unlock()
	var fed endpointSet
	for _, en := range ens {
		old, _ := di.endpoints.get(en.ID)
		if old.Incarnation.Supersedes(en.Incarnation) {
			en = old // the feeder has not heard of its start yet
		}
		en.Incarnation = max(en.Incarnation, old.Incarnation)
		fed.set(en)
	}
	di.endpoints = fed
	di.missing = nil
	di.synced = true
	di.generation++
}

// RecordContact takes in that the key-value service or the feeder answered, whatever it
// said.
func (di *Directory) RecordContact(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.heardAt = now
}

// CutOff reports whether neither the key-value service nor the feeder has
// answered for some time.
//
// A process that is cut off can keep no step and knows of no result, while its
// neighbours can. An outage of the service alone does not count: the feeder
// still answers, and other processes could do no better.
func (di *Directory) CutOff(now time.Time) bool {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return now.Sub(di.heardAt) >= cutOffAfter
}

// ConfirmConfiguration takes in that the configuration is the newest one at a moment.
func (di *Directory) ConfirmConfiguration(at time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.newsAt = at
}

// ConfigurationStale reports whether a newer configuration may have come into force of which
// this process has not heard.
//
// A process that is cut off, turned away by the key-value service or just started
// knows the keys and routes of a configuration that may not be the newest. That it
// lacks one says little then: another process may know it.
func (di *Directory) ConfigurationStale(now time.Time) bool {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return now.Sub(di.newsAt) >= cutOffAfter
}

// ConfirmEndpoints takes in that what is known of endpoints was true at a moment.
func (di *Directory) ConfirmEndpoints(at time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.confirmedAt = at
}

// confirmed returns the generation of the endpoints, how long ago the service
// told of them, and whether it ever did.
func (di *Directory) confirmed(now time.Time) (generation uint64, age time.Duration, known bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.generation, now.Sub(di.confirmedAt), di.synced && !di.confirmedAt.IsZero()
}

// RemoveEndpoint drops an endpoint whose entry is gone.
//
// Entries also vanish while the service is away from the endpoints, and come
// back with it. Dropping them at once would refuse all requests for seconds
// after each outage, so that shortly after one they stay until returnTime is
// over.
func (di *Directory) RemoveEndpoint(id string, now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	away := !di.awaySince.IsZero() && now.Sub(di.awaySince) >= leastOutage
	back := !di.backAt.IsZero() && now.Sub(di.backAt) <= returnTime
	if !away && !back {
		di.forget(id)
		return
	}
	if di.missing == nil {
		di.missing = map[string]time.Time{}
	}
	if _, ok := di.missing[id]; !ok {
		di.missing[id] = now.Add(returnTime)
	}
}

// SetEndpoints replaces all endpoints.
func (di *Directory) SetEndpoints(ens []Endpoint, now time.Time) {
	present := map[string]bool{}
	for _, en := range ens {
		present[en.ID] = true
		di.SetEndpoint(en)
	}
	for _, en := range di.Endpoints("") {
		if !present[en.ID] {
			di.RemoveEndpoint(en.ID, now)
		}
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	di.synced = true
}

// Expire drops the endpoints that stayed missing after an outage.
func (di *Directory) Expire(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	for id, at := range di.missing {
		if now.After(at) && di.awaySince.IsZero() && now.Sub(di.backAt) > returnTime {
			di.forget(id)
		}
	}
}

// SetUnavailable records whether the key-value service answers, and returns whether
// that has changed.
func (di *Directory) SetUnavailable(away bool, now time.Time) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	was := !di.awaySince.IsZero()
	switch {
	case away == was:
		return false
	case away:
		di.awaySince = now
	default:
		if now.Sub(di.awaySince) >= leastOutage {
			di.backAt = now
		}
		di.awaySince = time.Time{}
	}
	return true
}

// SetVersion records the newest version that was named for a model; it never
// goes back. It returns whether it is new.
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

// Versions returns the newest version that was named for each model.
func (di *Directory) Versions() map[string]uint64 {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return maps.Clone(di.versions)
}
