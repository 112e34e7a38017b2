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

// Names of leases in the key-value service.
const (
	rolloutLeasePrefix = "rollouts/"
	trainerLeasePrefix = "trainers/"
)

const (
	// claimIdleTime is after how long without a request for it a claim that
	// holds nothing is given up.
	claimIdleTime = 30 * time.Second
	// lookupAge is how long a looked-up owner is believed. A stale one costs
	// one forwarded request, since the old owner refuses.
	lookupAge = time.Second
)

// errOwnerUnknown means that it can't be told now who owns a lease.
var errOwnerUnknown = errors.New("owner is not known")

// An ownership acquires and renews leases, each only once it is asked for, so that
// an entry that never serves a trainer costs the key-value service nothing.
type ownership struct {
	address string // of this entry
	client  *keyvalue.Client
	goFunc  func(run func(context.Context)) // runs until the entry ends
	log     *logrus.Entry
	ttl     time.Duration

	mu       sync.Mutex
	claims   map[string]*claim
	known    map[string]lookup
	released bool // for good: the entry leaves
}

// A claim is a lease that this entry holds or tries to get.
type claim struct {
	asked  time.Time     // last request for it
	done   chan struct{} // closed once holder runs no more
	holder *lease.Holder
	stop   context.CancelFunc
}

// A lookup is an owner that the key-value service named.
type lookup struct {
	address string
	at      time.Time
}

// A heldLease is a lease that this entry holds.
type heldLease struct {
	epoch    uint64
	name     string
	standing lease.State
}

// standing returns how the lease of name stands here.
func (ow *ownership) standing(name string, now time.Time) (uint64, lease.State) {
	ow.mu.Lock()
	cl, ok := ow.claims[name]
	ow.mu.Unlock()
	if !ok {
		return 0, lease.NotHeld
	}
	return cl.holder.State(now)
}

// find returns the address of the process that owns name, after trying to
// acquire its lease if no one holds it. The error wraps errOwnerUnknown.
func (ow *ownership) find(ctx context.Context, name string) (string, error) {
	now := time.Now()
	if _, st := ow.standing(name, now); st != lease.NotHeld {
		ow.claim(name, now)
		return ow.address, nil
	}
	lo, known := ow.lookedUp(name)
	if known && now.Sub(lo.at) < lookupAge {
		return lo.address, nil
	}
	address, err := ow.lookUp(ctx, name)
	if errors.Is(err, keyvalue.ErrNotFound) {
		address, err = ow.acquire(ctx, name)
	}
	switch {
	case err == nil:
		return address, nil
	case known:
		// In an outage the last known owner goes on: no one else can take the
		// lease.
		return lo.address, nil
	default:
		return "", errors.Mark(errors.Wrapf(err, "find the owner of %s", name), errOwnerUnknown)
	}
}

// lookUp asks the key-value service who owns name.
func (ow *ownership) lookUp(ctx context.Context, name string) (string, error) {
	rec, err := lease.Current(ctx, ow.client, name)
	if err != nil {
		return "", err
	}
	if rec.Owner == ow.address {
		// The last process at this address has not released it.
		return "", errors.New("the lease of a former process at this address has yet to expire")
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.known == nil {
		ow.known = map[string]lookup{}
	}
	ow.known[name] = lookup{address: rec.Owner, at: time.Now()}
	return rec.Owner, nil
}

// lookedUp returns the owner that was looked up last, of any age.
func (ow *ownership) lookedUp(name string) (lookup, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	lo, ok := ow.known[name]
	return lo, ok
}

// acquire tries once to take the lease of name and returns who owns it then.
func (ow *ownership) acquire(ctx context.Context, name string) (string, error) {
	cl := ow.claim(name, time.Now())
	if cl == nil {
		return "", errLeft
	}
	cl.holder.Step(ctx)
	if _, held := cl.holder.Held(time.Now()); held {
		return ow.address, nil
	}
	return ow.lookUp(ctx, name)
}

// claim returns the claim of name, starting it where there is none. It is nil
// once the entry has released its leases.
func (ow *ownership) claim(name string, now time.Time) *claim {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if cl, ok := ow.claims[name]; ok {
		cl.asked = now
		return cl
	}
	if ow.released {
		return nil
	}
	if ow.claims == nil {
		ow.claims = map[string]*claim{}
	}
	cl := &claim{
		asked: now,
		done:  make(chan struct{}),
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

// start renews a claim in the background. The caller holds mu.
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

// prune is a system: it gives up claims that hold nothing and that no one has
// asked for lately.
func (ow *ownership) prune(now time.Time) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for name, cl := range ow.claims {
		_, st := cl.holder.State(now)
		if st == lease.NotHeld && now.Sub(cl.asked) > claimIdleTime {
			cl.stop()
			delete(ow.claims, name)
		}
	}
}

// held returns the leases that this entry holds, by name.
func (ow *ownership) held(now time.Time) []heldLease {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	var hes []heldLease
	for name, cl := range ow.claims {
		if epoch, st := cl.holder.State(now); st != lease.NotHeld {
			hes = append(hes, heldLease{epoch: epoch, name: name, standing: st})
		}
	}
	sort.Slice(hes, func(i, j int) bool { return hes[i].name < hes[j].name })
	return hes
}

// release gives all leases up for good, so that others can take them at once.
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
			ow.log.WithError(err).WithField("lease", name).Warn("lease is left to expire")
		}
	}
}
