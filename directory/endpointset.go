package directory

// An endpointSet indexes endpoints by ID, address and service. The zero value is empty and
// ready to use.
//
// Each live request looks up the endpoints of its service several times. A linear search would
// delay a scheduler with many endpoints until its standbys consider it dead.
type endpointSet struct {
	byAddress map[string]map[string]bool // IDs
	byID      map[string]Endpoint
	// lists caches the endpoints by service, or all for an empty name, ordered by ID. The
	// slices are shared, and replaced rather than modified.
	lists map[string][]Endpoint
}

// get returns the endpoint with an ID.
func (es *endpointSet) get(id string) (Endpoint, bool) {
	en, ok := es.byID[id]
	return en, ok
}

// set adds or replaces an endpoint.
func (es *endpointSet) set(en Endpoint) {
	es.remove(en.ID)
	if es.byID == nil {
		es.byID, es.byAddress = map[string]Endpoint{}, map[string]map[string]bool{}
	}
	es.byID[en.ID] = en
	ids := es.byAddress[en.Address]
	if ids == nil {
		ids = map[string]bool{}
		es.byAddress[en.Address] = ids
	}
	ids[en.ID] = true
	es.invalidateLists(en)
}

// remove removes an endpoint.
func (es *endpointSet) remove(id string) {
	en, ok := es.byID[id]
	if !ok {
		return
	}
	delete(es.byID, id)
	if ids := es.byAddress[en.Address]; len(ids) > 1 {
		delete(ids, id)
	} else {
		delete(es.byAddress, en.Address)
	}
	es.invalidateLists(en)
}

// invalidateLists drops the cached lists that contain an endpoint.
func (es *endpointSet) invalidateLists(en Endpoint) {
	delete(es.lists, en.Service)
	delete(es.lists, "")
}

// at returns the endpoints at an address.
func (es *endpointSet) at(address string) []Endpoint {
	var ens []Endpoint
	for id := range es.byAddress[address] {
		ens = append(ens, es.byID[id])
	}
	return ens
}

// list returns the endpoints of a service, or all for an empty name, ordered by ID and
// transformed by transformFunc. The list is cached until one of them changes or clearLists is called.
func (es *endpointSet) list(service string, transformFunc func(en Endpoint) Endpoint) []Endpoint {
	if es.lists == nil {
		es.lists = map[string][]Endpoint{}
	}
	ens := sortedEndpoints(es.byID, service)
	for i := range ens {
		ens[i] = transformFunc(ens[i])
	}
	es.lists[service] = ens
	return ens
}

// cachedList returns the list of a service if it is cached.
func (es *endpointSet) cachedList(service string) ([]Endpoint, bool) {
	ens, ok := es.lists[service]
	return ens, ok
}

// clearLists drops all cached lists.
func (es *endpointSet) clearLists() { es.lists = nil }

// SameList reports whether two lists that Endpoints returned for the same service are
// identical, so that no endpoint changed between the calls.
func SameList(a, b []Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
