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
	// weightsInterval is how often the owner of a rollout asks the weight
	// store for the newest version.
	weightsInterval = time.Second
	// weightsTimeout bounds one question to the weight store.
	weightsTimeout = 5 * time.Second
)

// A rollouts holds the weight rollouts of the services that have engines. Each
// entry knows the engines of all; whichever holds a service's lease acts.
type rollouts struct {
	address   string
	connect   func(ol *rollout.Rollout) // makes it send through the pool
	goFunc    func(run func(context.Context))
	log       *logrus.Entry
	ownership *ownership
	profiles  *profile.Replica
	seed      uint64
	weights   *weightstore.Client

	mu      sync.Mutex
	askedAt time.Time
	rows    map[string]*rollout.Rollout
}

// upsert takes an endpoint that is new or changed.
func (ro *rollouts) upsert(en membership.Endpoint) {
	ro.row(en.Service()).Observe(en)
}

// remove forgets an endpoint.
func (ro *rollouts) remove(en membership.Endpoint) {
	ro.row(en.Service()).Remove(en.ID())
}

// row returns the rollout of a service, which does nothing unless the profiles
// say that the service has engines.
func (ro *rollouts) row(service string) *rollout.Rollout {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ol, ok := ro.rows[service]; ok {
		return ol
	}
	if ro.rows == nil {
		ro.rows = map[string]*rollout.Rollout{}
	}
	ol := ro.newRollout(service)
	ro.rows[service] = ol
	return ol
}

// newRollout returns the rollout of a service. The caller holds mu.
func (ro *rollouts) newRollout(service string) *rollout.Rollout {
	ol := &rollout.Rollout{
		Address:   ro.address,
		FloorFunc: func(endpoints int) int { return ro.floor(service, endpoints) },
		HeldFunc:  func(now time.Time) (uint64, bool) { return ro.held(service, now) },
		Rand:      rand.New(rand.NewPCG(ro.seed, uint64(len(ro.rows)))),
	}
	ro.connect(ol)
	return ol
}

// floor returns how many of a service's endpoints must go on serving.
func (ro *rollouts) floor(service string, endpoints int) int {
	pr, ok := ro.profiles.Current().Service(service)
	if !ok {
		return endpoints
	}
	return min(pr.ServingFloor(), endpoints)
}

// held returns the epoch of a service's rollout if this entry owns it.
func (ro *rollouts) held(service string, now time.Time) (uint64, bool) {
	epoch, st := ro.ownership.standing(rolloutLeasePrefix+service, now)
	return epoch, st == lease.Held
}

// run is a system: it claims the rollouts, runs those that are held here and
// asks the weight store now and then.
func (ro *rollouts) run(now time.Time) {
	services := ro.engineServices()
	for _, service := range services {
		ro.ownership.claim(rolloutLeasePrefix+service, now)
		for _, sy := range ro.row(service).Systems() {
			sy.Run(now)
		}
	}
	if now.Sub(ro.askedAt) < weightsInterval {
		return
	}
	ro.askedAt = now
	for _, service := range services {
		if _, ok := ro.held(service, now); ok {
			ro.goFunc(func(ctx context.Context) { ro.ask(ctx, service, services) })
		}
	}
}

// engineServices returns the services that have engines, by name.
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

// ask gives a rollout the newest version that the weight store has and the
// rollout's share of the store's limit. The model has the service's name.
func (ro *rollouts) ask(ctx context.Context, service string, services []string) {
	ctx, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	limit, err := ro.weights.RateFunc(ctx)
	if err != nil {
		ro.log.WithError(err).WithField("service", service).Debug("weight store does not tell its limit")
		return
	}
	ve, err := ro.weights.LatestFunc(ctx, service)
	if err != nil {
		ro.log.WithError(err).WithField("service", service).Debug("no version is known")
		return
	}
	counts := make([]int, len(services))
	for i, name := range services {
		counts[i] = ro.row(name).Progress().Engines
	}
	ol := ro.row(service)
	ol.SetLimit(rollout.Share(limit, counts, slices.Index(services, service)))
	ol.SetWanted(ve)
}

// all returns the rollouts.
func (ro *rollouts) all() []*rollout.Rollout {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var ols []*rollout.Rollout
	for _, ol := range ro.rows {
		ols = append(ols, ol)
	}
	return ols
}

// sum returns a count over the rollouts that this entry owns.
func (ro *rollouts) sum(read func(rollout.Progress) int) int {
	now, sum := time.Now(), 0
	for _, service := range ro.engineServices() {
		if _, ok := ro.held(service, now); ok {
			sum += read(ro.row(service).Progress())
		}
	}
	return sum
}
