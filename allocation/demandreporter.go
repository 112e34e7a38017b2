package allocation

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"wisteriacroft/fairshare"
	"wisteriacroft/lease"
	"wisteriacroft/peer"
	"wisteriacroft/scale"
	"wisteriacroft/tick"
)

// A DemandReporter tells the holder what an entry has seen, and knows what the entry may give
// customers. Fill the exported fields, then call Run.
type DemandReporter struct {
	// CallFunc makes the call; nil stands for one to the holder that the finder knows.
	CallFunc func(ctx context.Context, rq DemandRequest) (DemandResponse, error)
	// DemandsFunc returns what the entry has seen since it was called before.
	DemandsFunc func(now time.Time, shortFor time.Duration) map[string]fairshare.ServiceDemand
	Finder      *lease.Resolver // of the holder
	Instance    string          // of the entry
	// LoadsFunc returns what the entry has seen of plain services whose endpoints may be
	// ordered since it was called before, nil if there are none. Nil has none.
	LoadsFunc func(now time.Time) map[string]scale.Observation
	Log       *logrus.Entry
	Metrics   *metrics.Set
	Pool      *peer.Pool
	// WeightsFunc returns the customers' weights.
	WeightsFunc func() map[string]float64

	alone   fairshare.Divider
	boot    string
	bounds  fairshare.Bounds
	entries int // that the holder last knew
	mu      sync.Mutex
	toldAt  time.Time // the holder last answered
}

// CustomerBound returns how many places of a service the entry may give a customer now,
// or fairshare.NoBound.
func (te *DemandReporter) CustomerBound(customer, service string) int {
	te.mu.Lock()
	defer te.mu.Unlock()
	return te.bounds.Of(customer, service)
}

// Run tells until ctx ends.
func (te *DemandReporter) Run(ctx context.Context) {
	te.boot = uuid.NewString()
	(&tick.Loop{Every: tellEvery, Systems: []tick.System{{Name: "tell demands", Run: func(time.Time) { te.round(ctx) }}}}).Run(ctx)
}

// round tells once, if customers compete for a service that is short of places or was
// when the holder was told before, or if there are services whose endpoints may be ordered
// by what entries see. An entry of an idle system without such tells nothing.
func (te *DemandReporter) round(ctx context.Context) {
	now := time.Now()
	rq := DemandRequest{Boot: te.boot, Instance: te.Instance}
	if te.LoadsFunc != nil {
		rq.Loads = te.LoadsFunc(now)
	}
	demands := te.DemandsFunc(now, shortFor)
	if te.bounding(demands) || compete(demands) {
		rq.Demands = demands
	}
	if rq.Demands == nil && rq.Loads == nil {
		return
	}
	call := te.CallFunc
	if call == nil {
		call = te.call
	}
	re, err := call(ctx, rq)
	if rq.Demands != nil {
		te.take(re, err, demands)
	} else if err != nil {
		te.Metrics.GetOrCreateCounter(`wisteriacroft_allotment_failures_total`).Inc()
	}
}

// take takes in what the holder said to the demands that it was told.
func (te *DemandReporter) take(re DemandResponse, err error, demands map[string]fairshare.ServiceDemand) {
	now := time.Now()
	te.mu.Lock()
	defer te.mu.Unlock()
	if err == nil {
		te.bounds, te.entries, te.toldAt = re.Bounds, re.Entries, now
		return
	}
	te.Metrics.GetOrCreateCounter(`wisteriacroft_allotment_failures_total`).Inc()
	if now.Sub(te.toldAt) < entryLife {
		return // what was told still counts
	}
	te.bounds = te.alone.Standalone(demands, te.WeightsFunc(), te.entries)
	te.Log.WithError(err).WithFields(logrus.Fields{"bounds": te.bounds, "entries": te.entries}).Warn("entry divides places by itself")
}

// bounding reports whether the entry bounds anyone, and notes in the demands of what.
func (te *DemandReporter) bounding(demands map[string]fairshare.ServiceDemand) bool {
	te.mu.Lock()
	defer te.mu.Unlock()
	for service := range te.bounds {
		if sd, ok := demands[service]; ok {
			sd.Bounded = true
			demands[service] = sd
		}
	}
	return len(te.bounds) > 0
}

// compete reports whether several customers ask for a service that is short of places.
func compete(demands map[string]fairshare.ServiceDemand) bool {
	for _, sd := range demands {
		if sd.Short && len(sd.Customers) > 1 {
			return true
		}
	}
	return false
}

// call makes one call to the holder.
func (te *DemandReporter) call(ctx context.Context, rq DemandRequest) (DemandResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return callHolder[DemandRequest, DemandResponse](ctx, te.Finder, te.Pool, tellMethod, rq)
}
