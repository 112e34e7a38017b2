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

// errUnknownEndpoint means that no attendant of an endpoint is known.
var errUnknownEndpoint = errors.New("endpoint is not known")

// A members is what the entry derives from its roster.
type members struct {
	mu     sync.Mutex
	beside map[string]string               // attendants, by endpoint
	gone   map[string]bool                 // endpoints whose instance was removed
	places map[string]message.BlobLocation // data folders, by instance
	seen   map[string]string               // addresses, by instance
}

// addMembers wires the roster to the routes and the rollouts.
func (en *Entry) addMembers() {
	en.members = members{
		beside: map[string]string{},
		gone:   map[string]bool{},
		places: map[string]message.BlobLocation{},
		seen:   map[string]string{},
	}
	en.roster = &membership.Table{
		Address:    en.options.Address,
		Instance:   en.options.Instance,
		RemoveFunc: en.removeEndpoint,
		UpsertFunc: en.upsertEndpoint,
	}
	en.poller = &membership.Poller{
		Client:      en.options.Instances,
		Log:         en.log,
		ObserveFunc: en.roster.ObserveList,
		Rand:        rand.New(rand.NewPCG(en.options.Seed, rosterStream)),
	}
	en.roster.ObserveList(en.seeds())
}

// Streams tell the random numbers of parts that share a seed from each other.
const (
	rosterStream     = 3
	spreadStream     = 4
	quarantineStream = 5
)

// seeds returns the settings' entries as instances, which stand in until the
// platform's list has been read.
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

// upsertEndpoint takes an endpoint that is new or changed.
func (en *Entry) upsertEndpoint(ro membership.Endpoint) {
	en.members.note(ro)
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

// boundVersion returns the version that work bound to one may count on. An
// engine that loads weights has none: its attendant would refuse such work.
func boundVersion(ro membership.Endpoint) engine.Version {
	if ro.State() == membership.Loading {
		return 0
	}
	return ro.Version()
}

// routeState returns what may be sent to an endpoint in a state. One that
// loads weights goes on with what isn't bound to a version.
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

// removeEndpoint forgets an endpoint that is no more.
func (en *Entry) removeEndpoint(ro membership.Endpoint) {
	en.members.forget(ro)
	en.routes.Remove(ro.ID())
	en.rollouts.remove(ro)
}

// note takes an endpoint's attendant as of now.
func (me *members) note(ro membership.Endpoint) {
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.gone, ro.ID())
	me.beside[ro.ID()] = ro.Attendant()
	me.seen[ro.Attendant()] = ro.Address()
	if ro.DataFolder() && ro.State() != membership.Leaving {
		me.places[ro.Attendant()] = message.BlobLocation{
			Address:       ro.Address(),
			FailureDomain: ro.FailureDomain(),
			Instance:      ro.Attendant(),
		}
		return
	}
	delete(me.places, ro.Attendant())
}

// forget drops the attendant of an endpoint that was removed.
func (me *members) forget(ro membership.Endpoint) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.gone[ro.ID()] = true
	delete(me.beside, ro.ID())
	for _, attendant := range me.beside {
		if attendant == ro.Attendant() {
			return // it serves others still, and its data folder with them
		}
	}
	delete(me.places, ro.Attendant())
	delete(me.seen, ro.Attendant())
}

// addressOf returns where an attendant is.
func (me *members) addressOf(instance string) (string, bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	address, ok := me.seen[instance]
	return address, ok
}

// maxPlaces is how many data folders a payload is offered to: blob.ReplicaCount take
// it, and the others stand in for those that fail.
const maxPlaces = 8

// places returns some data folders that take payloads, in an order that spreads
// the payloads over them.
//
// They go along with each attempt and are held while it runs. All folders of a
// large deployment would take more than all else of the attempt.
func (en *Entry) places() []message.BlobLocation {
	en.members.mu.Lock()
	var pls []message.BlobLocation
	for _, pl := range en.members.places {
		pls = append(pls, pl)
	}
	en.members.mu.Unlock()
	sort.Slice(pls, func(i, j int) bool { return pls[i].Instance < pls[j].Instance })
	rand.Shuffle(len(pls), func(i, j int) { pls[i], pls[j] = pls[j], pls[i] })
	return choosePlaces(pls)
}

// choosePlaces returns at most maxPlaces of pls: the first of each failure
// domain before the second of any, since copies must lie in different ones.
func choosePlaces(pls []message.BlobLocation) []message.BlobLocation {
	seen := map[string]int{}
	turns := make([]int, len(pls))
	for i, pl := range pls {
		turns[i] = seen[pl.FailureDomain]
		seen[pl.FailureDomain]++
	}
	var chosen []message.BlobLocation
	for turn := 0; len(chosen) < min(maxPlaces, len(pls)); turn++ {
		for i, pl := range pls {
			if turns[i] == turn && len(chosen) < maxPlaces {
				chosen = append(chosen, pl)
			}
		}
	}
	return chosen
}

// locate answers where an endpoint's attendant is.
func (en *Entry) locate(endpoint string) (attendant.Location, error) {
	if ro, ok := en.routes.Get(endpoint); ok {
		return attendant.Location{Address: ro.Address}, nil
	}
	en.members.mu.Lock()
	defer en.members.mu.Unlock()
	if en.members.gone[endpoint] {
		return attendant.Location{Gone: true}, nil
	}
	return attendant.Location{}, errors.Wrapf(errUnknownEndpoint, "%s", endpoint)
}

// observeCaller notes the revision in the header of a call to this process. After a restart
// in an outage, the attendants' reports are what tells of a higher revision.
func (en *Entry) observeCaller(he message.Header, _ string) {
	if he.Revision <= en.profiles.Revision() {
		return
	}
	if address, ok := en.members.addressOf(he.Sender); ok {
		en.spreader.Observe(address, he.Revision)
	}
}
