package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/lease"
	"wisteriacroft/membership"
	"wisteriacroft/profile"
	"wisteriacroft/rollout"
	"wisteriacroft/weightstore"
)

const (
	// weightsInterval is how often the owner of a rollout polls the weight store for
	// the newest version.
	weightsInterval = time.Second
	// weightsTimeout bounds the requests of one poll.
	weightsTimeout = 5 * time.Second
)

// A rollouts holds the weight rollouts of all services that have engines. Every entry
// tracks all engines; only the holder of a service's lease runs its rollout.
type rollouts struct {
	address   string
	connect   func(ol *rollout.Rollout) // connects the rollout to the pool
	goFunc    func(run func(context.Context))
	log       *logrus.Entry
	ownership *ownership
	profiles  *profile.Replica
	seed      uint64
	weights   *weightstore.Client

	mu        sync.Mutex
	polledAt  time.Time
	byService map[string]*rollout.Rollout
}

// upsert adds or updates an endpoint.
func (ro *rollouts) upsert(en membership.Endpoint) {
	ro.get(en.Service()).Observe(en)
}

func (ro *rollouts) remove(en membership.Endpoint) {
	ro.get(en.Service()).Remove(en.ID())
}

// get returns the rollout of a service, creating it if needed. It is idle unless a
// profile declares the service with engines.
func (ro *rollouts) get(service string) *rollout.Rollout {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ol, ok := ro.byService[service]; ok {
		return ol
	}
	if ro.byService == nil {
		ro.byService = map[string]*rollout.Rollout{}
	}
	ol := ro.newRollout(service)
	ro.byService[service] = ol
	return ol
}

// newRollout returns a new rollout of a service. The caller holds mu.
func (ro *rollouts) newRollout(service string) *rollout.Rollout {
	ol := &rollout.Rollout{
		Address:   ro.address,
		FloorFunc: func(endpoints int) int { return ro.floor(service, endpoints) },
		HeldFunc:  func(now time.Time) (uint64, bool) { return ro.held(service, now) },
		Rand:      rand.New(rand.NewPCG(ro.seed, uint64(len(ro.byService)))),
	}
	ro.connect(ol)
	return ol
}

// floor returns the minimum number of a service's endpoints that must keep serving.
func (ro *rollouts) floor(service string, endpoints int) int {
	pr, ok := ro.profiles.Current().Service(service)
	if !ok {
		return endpoints
	}
	return min(pr.ServingFloor(), endpoints)
}

// held returns the lease epoch of a service's rollout, and whether this entry owns it.
func (ro *rollouts) held(service string, now time.Time) (uint64, bool) {
	epoch, st := ro.ownership.leaseState(rolloutLeasePrefix+service, now)
	return epoch, st == lease.Held
}

// run is a system: it claims the rollouts, runs those that this entry owns and polls the
// weight store every weightsInterval.
func (ro *rollouts) run(now time.Time) {
	services := ro.engineServices()
	for _, service := range services {
		ro.ownership.claim(rolloutLeasePrefix+service, now)
		for _, sy := range ro.get(service).Systems() {
			sy.Run(now)
		}
	}
	if now.Sub(ro.polledAt) < weightsInterval {
		return
	}
	ro.polledAt = now
	for _, service := range services {
		if _, ok := ro.held(service, now); ok {
			ro.goFunc(func(ctx context.Context) { ro.poll(ctx, service, services) })
		}
	}
}

// engineServices returns the names of the services that have engines, sorted.
func (ro *rollouts) engineServices() []string {
	var names []string
	for _, pr := range ro.profiles.Current().Services() {
		if pr.ServiceType() == profile.Engine {
			names = append(names, pr.Service())
		}
	}
	slices.Sort(names)
	return names
}

// poll fetches the newest version from the weight store and sets it on a service's
// rollout, with the rollout's share of the store's rate limit. The model has the
// service's name.
func (ro *rollouts) poll(ctx context.Context, service string, services []string) {
	ctx, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	limit, err := ro.weights.RateFunc(ctx)
	if err != nil {
		ro.log.WithError(err).WithField("service", service).Debug("fetch of the weight store's rate limit failed")
		return
	}
	ve, err := ro.weights.LatestFunc(ctx, service)
	if err != nil {
		ro.log.WithError(err).WithField("service", service).Debug("fetch of the newest weights version failed")
		return
	}
	counts := make([]int, len(services))
	for i, name := range services {
		counts[i] = ro.get(name).Progress().Engines
	}
	ol := ro.get(service)
	ol.SetLimit(rollout.Share(limit, counts, slices.Index(services, service)))
	ol.SetWanted(ve)
}

func (ro *rollouts) all() []*rollout.Rollout {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var ols []*rollout.Rollout
	for _, ol := range ro.byService {
		ols = append(ols, ol)
	}
	return ols
}

// sum returns the sum of read over the rollouts that this entry owns.
func (ro *rollouts) sum(read func(rollout.Progress) int) int {
	now, sum := time.Now(), 0
	for _, service := range ro.engineServices() {
		if _, ok := ro.held(service, now); ok {
			sum += read(ro.get(service).Progress())
		}
	}
	return sum
}
