package attendant

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// LocateMethod is the net/rpc method by which entries answer where an
// endpoint's attendant is.
const LocateMethod = "Entry.Locate"

// entryRole is the role of an entry in the platform's list.
const entryRole = "entry"

// errNoEntry means that no entry could be asked.
var errNoEntry = errors.New("no entry is known")

// A LocateRequest asks an entry where an endpoint's attendant is.
type LocateRequest struct {
	Endpoint string
}

// newReporter returns the reporter of the attendant's endpoints.
func (at *Attendant) newReporter() *membership.Reporter {
	rp := &membership.Reporter{
		Address:       at.options.Address,
		DataFolder:    at.options.Store != nil,
		FailureDomain: at.options.FailureDomain,
		Incarnation:   at.options.Incarnation,
		Instance:      at.options.Instance,
		LeavingFunc:   at.leave,
	}
	for _, en := range at.endpoints {
		rp.Add(en.name, en.service)
	}
	return rp
}

// leave refuses new work from now on.
func (at *Attendant) leave() {
	at.options.Log.Info("taking no new work")
	at.work.leave()
	at.reporter.Leave()
}

// reportStates gives the reporter the endpoints' states. It is a system.
func (at *Attendant) reportStates(time.Time) {
	for _, en := range at.endpoints {
		es, load := en.state(), en.gate.Load()
		at.reporter.Set(en.name, at.rosterState(en, es), es.version, load.Running, load.Waiting)
	}
}

// rosterState returns the state that entries are told.
func (at *Attendant) rosterState(en *endpoint, es endpointState) membership.State {
	switch {
	case es.failed || es.seenAt.IsZero():
		return membership.Unhealthy
	case en.engine != nil && !at.fence.VersionStable(en.name):
		return membership.Loading
	default:
		return membership.Ready
	}
}

// follow reads the platform's list of instances until ctx ends.
func (at *Attendant) follow(ctx context.Context) {
	if at.options.Instances == nil {
		return
	}
	po := &membership.Poller{
		Client:      at.options.Instances,
		Log:         at.options.Log.WithField("instance", at.options.Instance),
		ObserveFunc: at.observeList,
		Rand:        rand.New(rand.NewPCG(at.options.Seed, 2)),
	}
	po.Run(ctx)
}

// observeList takes the platform's list of instances.
func (at *Attendant) observeList(ins []instancelist.Instance) {
	at.reporter.ObserveList(ins)
	at.mu.Lock()
	defer at.mu.Unlock()
	at.entries = slices.DeleteFunc(slices.Clone(ins), func(in instancelist.Instance) bool {
		return in.Role != entryRole
	})
}

// knownEntries returns the settings' entries as instances, for as long as the
// platform's list is away.
func (at *Attendant) knownEntries() []instancelist.Instance {
	var ins []instancelist.Instance
	for _, address := range at.options.Entries {
		ins = append(ins, instancelist.Instance{
			Address: address,
			ID:      address,
			Role:    entryRole,
			State:   instancelist.Live,
		})
	}
	return ins
}

// locate asks the entries, one after the other, where an endpoint is.
func (at *Attendant) locate(ctx context.Context, endpoint string) (Location, error) {
	at.mu.Lock()
	ins := at.entries
	at.mu.Unlock()
	err := errNoEntry
	for _, in := range ins {
		var lo Location
		lo, err = peer.Call[LocateRequest, Location](ctx, at.pool, in.Address, LocateMethod, LocateRequest{Endpoint: endpoint})
		if err == nil {
			return lo, nil
		}
	}
	return Location{}, err
}

// HandleLocate serves where endpoints are.
func HandleLocate(sv *peer.Server, fn func(endpoint string) (Location, error)) {
	peer.Handle(sv, LocateMethod, func(_ context.Context, _ message.Header, req LocateRequest) (Location, error) {
		return fn(req.Endpoint)
	})
}
