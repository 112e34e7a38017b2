package entry

import (
	"math/rand/v2"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"

	"wisteriacroft/attendant"
	"wisteriacroft/configuration"
	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/route"
)

// errUnknownEndpoint means that the membership table has no attendant of an endpoint.
var errUnknownEndpoint = errors.New("endpoint is not known")

// A members holds the attendants and data folders derived from the membership table.
type members struct {
	mu         sync.Mutex
	attendants map[string]string               // attendant by endpoint
	removed    map[string]bool                 // endpoints whose instance was removed
	locations  map[string]message.BlobLocation // data folder by instance
	addresses  map[string]string               // address by instance
}

// addMembers connects the membership table to the routes and the rollouts.
func (en *Entry) addMembers() {
	en.members = members{
		attendants: map[string]string{},
		removed:    map[string]bool{},
		locations:  map[string]message.BlobLocation{},
		addresses:  map[string]string{},
	}
	en.memberTable = &membership.Table{
		Address:    en.options.Address,
		Instance:   en.options.Instance,
		RemoveFunc: en.removeEndpoint,
		UpsertFunc: en.upsertEndpoint,
	}
	en.poller = &membership.Poller{
		Client:      en.options.Instances,
		Log:         en.log,
		ObserveFunc: en.memberTable.ObserveList,
		Rand:        rand.New(rand.NewPCG(en.options.Seed, membershipStream)),
	}
	en.memberTable.ObserveList(en.seeds())
}

// Stream numbers of the random generators that share a seed.
const (
	membershipStream = 3
	syncStream       = 4
	quarantineStream = 5
)

// seeds returns the configured peers as instances, which are used until the platform's
// instance list has been read.
func (en *Entry) seeds() []instancelist.Instance {
	var ins []instancelist.Instance
	for _, address := range en.options.Peers {
		ins = append(ins, instancelist.Instance{
			Address: address,
			ID:      address,
			Role:    configuration.EntryRole,
			State:   instancelist.Live,
		})
	}
	return ins
}

func (en *Entry) upsertEndpoint(ro membership.Endpoint) {
	en.members.upsert(ro)
	en.routes.Upsert(route.Endpoint{
		Address:       ro.Address(),
		FailureDomain: ro.FailureDomain(),
		ID:            ro.ID(),
		Service:       ro.Service(),
		State:         routeState(ro.State()),
		Version:       boundVersion(ro),
	})
	en.routes.Observe(ro.ID(), route.Load{Running: ro.Running(), Waiting: ro.Waiting()})
	en.rollouts.upsert(ro)
}

// boundVersion returns the version for requests that require one. It is 0 while an
// engine loads weights, since its attendant refuses such requests meanwhile.
func boundVersion(ro membership.Endpoint) engine.Version {
	if ro.State() == membership.Loading {
		return 0
	}
	return ro.Version()
}

// routeState returns the routing state of an endpoint. One that loads weights still
// serves requests that require no version.
func routeState(st membership.State) route.State {
	switch st {
	case membership.Leaving, membership.Unhealthy:
		return route.Leaving
	case membership.Suspect:
		return route.Suspect
	default:
		return route.Ready
	}
}

func (en *Entry) removeEndpoint(ro membership.Endpoint) {
	en.members.forget(ro)
	en.routes.Remove(ro.ID())
	en.rollouts.remove(ro)
}

// upsert adds or updates the attendant of an endpoint.
func (me *members) upsert(ro membership.Endpoint) {
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.removed, ro.ID())
	me.attendants[ro.ID()] = ro.Attendant()
	me.addresses[ro.Attendant()] = ro.Address()
	if ro.DataFolder() && ro.State() != membership.Leaving {
		me.locations[ro.Attendant()] = message.BlobLocation{
			Address:       ro.Address(),
			FailureDomain: ro.FailureDomain(),
			Instance:      ro.Attendant(),
		}
		return
	}
	delete(me.locations, ro.Attendant())
}

// forget drops the attendant of an endpoint that was removed.
func (me *members) forget(ro membership.Endpoint) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.removed[ro.ID()] = true
	delete(me.attendants, ro.ID())
	for _, attendant := range me.attendants {
		if attendant == ro.Attendant() {
			return // it still serves other endpoints and its data folder
		}
	}
	delete(me.locations, ro.Attendant())
	delete(me.addresses, ro.Attendant())
}

// addressOf returns the address of an attendant.
func (me *members) addressOf(instance string) (string, bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	address, ok := me.addresses[instance]
	return address, ok
}

// maxLocations bounds the candidate data folders of a payload: blob.ReplicaCount of them
// store it, and the others are fallbacks.
const maxLocations = 8

// locations returns at most maxLocations data folders for a payload, in random order to
// balance the payloads.
//
// They are part of each attempt's request, which all folders of a large deployment would
// make far larger.
func (en *Entry) locations() []message.BlobLocation {
	en.members.mu.Lock()
	var pls []message.BlobLocation
	for _, pl := range en.members.locations {
		pls = append(pls, pl)
	}
	en.members.mu.Unlock()
	sort.Slice(pls, func(i, j int) bool { return pls[i].Instance < pls[j].Instance })
	rand.Shuffle(len(pls), func(i, j int) { pls[i], pls[j] = pls[j], pls[i] })
	return chooseLocations(pls)
}

// chooseLocations returns at most maxLocations of pls, taking the first of each failure domain
// before the second of any, since replicas must lie in different ones.
func chooseLocations(pls []message.BlobLocation) []message.BlobLocation {
	seen := map[string]int{}
	ranks := make([]int, len(pls))
	for i, pl := range pls {
		ranks[i] = seen[pl.FailureDomain]
		seen[pl.FailureDomain]++
	}
	var selected []message.BlobLocation
	for rank := 0; len(selected) < min(maxLocations, len(pls)); rank++ {
		for i, pl := range pls {
			if ranks[i] == rank && len(selected) < maxLocations {
				selected = append(selected, pl)
			}
		}
	}
	return selected
}

// locate returns the location of an endpoint's attendant.
func (en *Entry) locate(endpoint string) (attendant.Location, error) {
	if ro, ok := en.routes.Get(endpoint); ok {
		return attendant.Location{Address: ro.Address}, nil
	}
	en.members.mu.Lock()
	defer en.members.mu.Unlock()
	if en.members.removed[endpoint] {
		return attendant.Location{Gone: true}, nil
	}
	return attendant.Location{}, errors.Wrapf(errUnknownEndpoint, "%s", endpoint)
}

// observeCaller records the revision in the header of a call to this process. After a
// restart during an outage, only the attendants' reports reveal a higher revision.
func (en *Entry) observeCaller(he message.Header, _ string) {
	if he.Revision <= en.profiles.Revision() {
		return
	}
	if address, ok := en.members.addressOf(he.Sender); ok {
		en.syncer.Observe(address, he.Revision)
	}
}
