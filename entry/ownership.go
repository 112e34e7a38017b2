package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
)

// Name prefixes of leases in the key-value service.
const (
	rolloutLeasePrefix = "rollouts/"
	trainerLeasePrefix = "trainers/"
)

const (
	// claimIdleTimeout is how long an unused claim is kept while its lease is not held.
	claimIdleTimeout = 30 * time.Second
	// lookupTTL is how long a looked-up owner is cached. A stale one costs one
	// forwarded request, since the old owner refuses.
	lookupTTL = time.Second
)

// errOwnerUnknown means that the owner of a lease can't be determined.
var errOwnerUnknown = errors.New("owner is not known")

// An ownership acquires and renews leases on demand, so that an entry that serves no
// trainer causes no load on the key-value service.
type ownership struct {
	address string // of this entry
	client  *keyvalue.Client
	goFunc  func(run func(context.Context)) // runs until the entry ends
	log     *logrus.Entry
	ttl     time.Duration

	mu       sync.Mutex
	claims   map[string]*claim
	owners   map[string]lookup // by lease name
	released bool              // permanently, since the entry leaves
}

// A claim is a lease that this entry holds or tries to acquire.
type claim struct {
	lastUsed time.Time
	done     chan struct{} // closed once holder.Run has returned
	holder   *lease.Holder
	stop     context.CancelFunc
}

// A lookup is a cached owner from the key-value service.
type lookup struct {
	address string
	at      time.Time
}

// A heldLease is a lease that this entry holds.
type heldLease struct {
	epoch      uint64
	name       string
	leaseState lease.State
}

// leaseState returns the epoch and the state of a lease in this entry.
func (ow *ownership) leaseState(name string, now time.Time) (uint64, lease.State) {
	ow.mu.Lock()
	cl, ok := ow.claims[name]
	ow.mu.Unlock()
	if !ok {
		return 0, lease.NotHeld
	}
	return cl.holder.State(now)
}

// find returns the address of the owner of a lease, after trying to acquire the lease if
// it is free. The error is marked with errOwnerUnknown.
func (ow *ownership) find(ctx context.Context, name string) (string, error) {
	now := time.Now()
	if _, st := ow.leaseState(name, now); st != lease.NotHeld {
		ow.claim(name, now)
		return ow.address, nil
	}
	lo, known := ow.cachedOwner(name)
	if known && now.Sub(lo.at) < lookupTTL {
		return lo.address, nil
	}
	address, err := ow.fetchOwner(ctx, name)
	if errors.Is(err, keyvalue.ErrNotFound) {
		address, err = ow.acquire(ctx, name)
	}
	switch {
	case err == nil:
		return address, nil
	case known:
		// During an outage the last known owner stays in charge: no other process can
		// acquire the lease.
		return lo.address, nil
	default:
		return "", errors.Mark(errors.Wrapf(err, "find the owner of %s", name), errOwnerUnknown)
	}
}

// fetchOwner fetches the owner of a lease from the key-value service and caches it.
func (ow *ownership) fetchOwner(ctx context.Context, name string) (string, error) {
	rec, err := lease.Current(ctx, ow.client, name)
	if err != nil {
		return "", err
	}
	if rec.Owner == ow.address {
		// The previous process at this address did not release the lease.
		return "", errors.New("the lease of a former process at this address has yet to expire")
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.owners == nil {
		ow.owners = map[string]lookup{}
	}
	ow.owners[name] = lookup{address: rec.Owner, at: time.Now()}
	return rec.Owner, nil
}

// cachedOwner returns the cached owner, regardless of its age.
func (ow *ownership) cachedOwner(name string) (lookup, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	lo, ok := ow.owners[name]
	return lo, ok
}

// acquire tries once to acquire a lease and returns its owner.
func (ow *ownership) acquire(ctx context.Context, name string) (string, error) {
	cl := ow.claim(name, time.Now())
	if cl == nil {
		return "", errLeaving
	}
	cl.holder.Step(ctx)
	if _, held := cl.holder.Held(time.Now()); held {
		return ow.address, nil
	}
	return ow.fetchOwner(ctx, name)
}

// claim returns the claim of a lease, starting one if needed. It returns nil once the
// entry has released its leases.
func (ow *ownership) claim(name string, now time.Time) *claim {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if cl, ok := ow.claims[name]; ok {
		cl.lastUsed = now
		return cl
	}
	if ow.released {
		return nil
	}
	if ow.claims == nil {
		ow.claims = map[string]*claim{}
	}
	cl := &claim{
		lastUsed: now,
		done:     make(chan struct{}),
		holder: &lease.Holder{
			Client: ow.client,
			Log:    ow.log,
			Name:   name,
			Owner:  ow.address,
			TTL:    ow.ttl,
		},
	}
	ow.claims[name] = cl
	ow.start(cl)
	return cl
}

// start acquires and renews a claim's lease in the background. The caller holds mu.
func (ow *ownership) start(cl *claim) {
	stopped, stop := context.WithCancel(context.Background())
	cl.stop = stop
	ow.goFunc(func(ctx context.Context) {
		defer close(cl.done)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(stopped, cancel)()
		cl.holder.Run(ctx)
	})
}

// prune is a system: it drops claims without a lease that have not been used for
// claimIdleTimeout.
func (ow *ownership) prune(now time.Time) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for name, cl := range ow.claims {
		_, st := cl.holder.State(now)
		if st == lease.NotHeld && now.Sub(cl.lastUsed) > claimIdleTimeout {
			cl.stop()
			delete(ow.claims, name)
		}
	}
}

// held returns the leases that this entry holds, sorted by name.
func (ow *ownership) held(now time.Time) []heldLease {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	var hes []heldLease
	for name, cl := range ow.claims {
		if epoch, st := cl.holder.State(now); st != lease.NotHeld {
			hes = append(hes, heldLease{epoch: epoch, name: name, leaseState: st})
		}
	}
	sort.Slice(hes, func(i, j int) bool { return hes[i].name < hes[j].name })
	return hes
}

// release releases all leases permanently, so that other entries can acquire them
// without waiting for their expiry.
func (ow *ownership) release(ctx context.Context) {
	ow.mu.Lock()
	cls := ow.claims
	ow.claims = nil
	ow.released = true
	ow.mu.Unlock()
	for name, cl := range cls {
		cl.stop()
		<-cl.done
		if err := cl.holder.Release(ctx); err != nil {
			ow.log.WithError(err).WithField("lease", name).Warn("lease release failed; lease will expire")
		}
	}
}
