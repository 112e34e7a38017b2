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

func (en *Entry) upsertEndpoint(ep membership.Endpoint) {
	en.members.upsert(ep)
	en.routes.Upsert(route.Endpoint{
		Address:       ep.Address(),
		FailureDomain: ep.FailureDomain(),
		ID:            ep.ID(),
		Service:       ep.Service(),
		State:         routeState(ep.State()),
		Version:       boundVersion(ep),
	})
	en.routes.Observe(ep.ID(), route.Load{Running: ep.Running(), Waiting: ep.Waiting()})
	en.rollouts.upsert(ep)
}

// boundVersion returns the version for requests that require one. It is 0 while an
// engine loads weights, since its attendant refuses such requests meanwhile.
func boundVersion(ep membership.Endpoint) engine.Version {
	if ep.State() == membership.Loading {
		return 0
	}
	return ep.Version()
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

func (en *Entry) removeEndpoint(ep membership.Endpoint) {
	en.members.forget(ep)
	en.routes.Remove(ep.ID())
	en.rollouts.remove(ep)
}

// upsert adds or updates the attendant of an endpoint.
func (me *members) upsert(ep membership.Endpoint) {
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.removed, ep.ID())
	me.attendants[ep.ID()] = ep.Attendant()
	me.addresses[ep.Attendant()] = ep.Address()
	if ep.DataFolder() && ep.State() != membership.Leaving {
		me.locations[ep.Attendant()] = message.BlobLocation{
			Address:       ep.Address(),
			FailureDomain: ep.FailureDomain(),
			Instance:      ep.Attendant(),
		}
		return
	}
	delete(me.locations, ep.Attendant())
}

// forget drops the attendant of an endpoint that was removed.
func (me *members) forget(ep membership.Endpoint) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.removed[ep.ID()] = true
	delete(me.attendants, ep.ID())
	for _, attendant := range me.attendants {
		if attendant == ep.Attendant() {
			return // it still serves other endpoints and its data folder
		}
	}
	delete(me.locations, ep.Attendant())
	delete(me.addresses, ep.Attendant())
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
	var bls []message.BlobLocation
	for _, bl := range en.members.locations {
		bls = append(bls, bl)
	}
	en.members.mu.Unlock()
	sort.Slice(bls, func(i, j int) bool { return bls[i].Instance < bls[j].Instance })
	rand.Shuffle(len(bls), func(i, j int) { bls[i], bls[j] = bls[j], bls[i] })
	return chooseLocations(bls)
}

// chooseLocations returns at most maxLocations of bls, taking the first of each failure domain
// before the second of any, since replicas must lie in different ones.
func chooseLocations(bls []message.BlobLocation) []message.BlobLocation {
	seen := map[string]int{}
	ranks := make([]int, len(bls))
	for i, bl := range bls {
		ranks[i] = seen[bl.FailureDomain]
		seen[bl.FailureDomain]++
	}
	var selected []message.BlobLocation
	for rank := 0; len(selected) < min(maxLocations, len(bls)); rank++ {
		for i, bl := range bls {
			if ranks[i] == rank && len(selected) < maxLocations {
				selected = append(selected, bl)
			}
		}
	}
	return selected
}

// locate returns the location of an endpoint's attendant.
func (en *Entry) locate(endpoint string) (attendant.Location, error) {
	if ep, ok := en.routes.Get(endpoint); ok {
		return attendant.Location{Address: ep.Address}, nil
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
