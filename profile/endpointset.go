package profile

import "slices"

// Bounds of the recorded endpoint sets.
const (
	maxEndpointSets = 16    // per service
	maxSetNames     = 16384 // endpoint names in all sets of the document
)

// An EndpointSet holds the endpoints of a service since a revision.
type EndpointSet struct {
	Endpoints []string `cbor:"endpoints"`
	Revision  uint64   `cbor:"revision"`
	Service   string   `cbor:"service"`
}

// EndpointSets returns the recent sets of a service, oldest first. The last one
// is in force. A process that has just started needs the earlier sets to ask the
// previous home of an idempotency key before it runs a call with that key.
func (do Document) EndpointSets(service string) []EndpointSet {
	var sets []EndpointSet
	for _, es := range do.sets {
		if es.Service == service {
			sets = append(sets, es)
		}
	}
	if pr, ok := do.Service(service); ok && len(sets) == 0 {
		sets = []EndpointSet{{Endpoints: pr.endpoints, Revision: do.revision, Service: service}}
	}
	return sets
}

// recordEndpointSets records the sets of a document that follows previous. The sets
// of a removed service stay, since it may be declared again.
func (do *Document) recordEndpointSets(previous Document) {
	for _, es := range previous.sets {
		if _, ok := do.Service(es.Service); !ok {
			do.sets = append(do.sets, es)
		}
	}
	for _, se := range do.Services() {
		sets := previous.EndpointSets(se.service)
		if len(sets) == 0 || !slices.Equal(sets[len(sets)-1].Endpoints, se.endpoints) {
			sets = append(sets, EndpointSet{
				Endpoints: se.endpoints,
				Revision:  do.revision,
				Service:   se.service,
			})
		}
		do.sets = append(do.sets, sets...)
	}
	do.trimEndpointSets()
}

// trimEndpointSets drops the oldest sets beyond the bounds, but never the one in
// force.
func (do *Document) trimEndpointSets() {
	names := 0
	counts := map[string]int{}
	kept := do.sets[:0]
	for _, es := range slices.Backward(slices.Clone(do.sets)) {
		names += len(es.Endpoints)
		counts[es.Service]++
		first := counts[es.Service] == 1
		if first || counts[es.Service] <= maxEndpointSets && names <= maxSetNames {
			kept = append(kept, es)
		}
	}
	slices.Reverse(kept)
	do.sets = kept
}
