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

// LocateMethod is the RPC method of entries that returns the location of an endpoint's attendant.
const LocateMethod = "Entry.Locate"

// entryRole is the role of entries in the platform's instance list.
const entryRole = "entry"

// errNoEntry means that no entry is known.
var errNoEntry = errors.New("no entry is known")

// A LocateRequest asks an entry for the location of an endpoint's attendant.
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

// leave starts to refuse new requests.
func (at *Attendant) leave() {
	at.options.Log.Info("refusing new requests")
	at.inflight.leave()
	at.reporter.Leave()
}

// reportStates passes the endpoints' states to the reporter. It is a system.
func (at *Attendant) reportStates(time.Time) {
	for _, en := range at.endpoints {
		es, load := en.state(), en.gate.Load()
		at.reporter.Set(en.name, at.membershipState(en, es), es.version, load.Running, load.Waiting)
	}
}

// membershipState returns the state reported to entries.
func (at *Attendant) membershipState(en *endpoint, es endpointState) membership.State {
	switch {
	case es.failed || es.seenAt.IsZero():
		return membership.Unhealthy
	case en.engine != nil && !at.fence.VersionStable(en.name):
		return membership.Loading
	default:
		return membership.Ready
	}
}

// pollInstances polls the platform's instance list until ctx ends.
func (at *Attendant) pollInstances(ctx context.Context) {
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

// observeList processes the platform's instance list.
func (at *Attendant) observeList(ins []instancelist.Instance) {
	at.reporter.ObserveList(ins)
	at.mu.Lock()
	defer at.mu.Unlock()
	at.entries = slices.DeleteFunc(slices.Clone(ins), func(in instancelist.Instance) bool {
		return in.Role != entryRole
	})
}

// configuredEntries returns the entries of the settings, for use until the platform's instance list is
// available.
func (at *Attendant) configuredEntries() []instancelist.Instance {
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

// locate asks the entries one by one for the location of an endpoint.
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

// HandleLocate registers the RPC method of LocateMethod.
func HandleLocate(sv *peer.Server, fn func(endpoint string) (Location, error)) {
	peer.Handle(sv, LocateMethod, func(_ context.Context, _ message.Header, req LocateRequest) (Location, error) {
		return fn(req.Endpoint)
	})
}
