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

// A DemandReporter reports an entry's demand to the holder, and keeps the entry's limits. Fill the
// exported fields, then call Run.
type DemandReporter struct {
	// CallFunc sends a report; nil stands for a call to the holder found by Finder.
	CallFunc func(ctx context.Context, rq DemandRequest) (DemandResponse, error)
	// DemandsFunc returns the demands since its previous call.
	DemandsFunc func(now time.Time, shortFor time.Duration) map[string]fairshare.ServiceDemand
	Finder      *lease.Resolver // of the holder
	Instance    string          // of the entry
	// LoadsFunc returns the loads of scaled plain services since its previous call, or nil if there are
	// none. It may be nil.
	LoadsFunc func(now time.Time) map[string]scale.Observation
	Log       *logrus.Entry
	Metrics   *metrics.Set
	Pool      *peer.Pool
	// WeightsFunc returns the customers' weights.
	WeightsFunc func() map[string]float64

	local      fairshare.Divider
	boot       string
	bounds     fairshare.Bounds
	entries    int // as last returned by the holder
	mu         sync.Mutex
	answeredAt time.Time // last answer of the holder
}

// CustomerBound returns how many slots of a service the entry may use for a customer now, or
// fairshare.NoBound.
func (dr *DemandReporter) CustomerBound(customer, service string) int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.bounds.Of(customer, service)
}

// Run reports periodically until ctx ends.
func (dr *DemandReporter) Run(ctx context.Context) {
	dr.boot = uuid.NewString()
	(&tick.Loop{Every: reportInterval, Systems: []tick.System{{Name: "tell demands", Run: func(time.Time) { dr.report(ctx) }}}}).Run(ctx)
}

// report sends a report with demands if customers compete for a service or have limits, and with loads
// if there are scaled plain services. Otherwise it sends nothing.
func (dr *DemandReporter) report(ctx context.Context) {
	now := time.Now()
	rq := DemandRequest{Boot: dr.boot, Instance: dr.Instance}
	if dr.LoadsFunc != nil {
		rq.Loads = dr.LoadsFunc(now)
	}
	demands := dr.DemandsFunc(now, shortFor)
	if dr.limiting(demands) || competing(demands) {
		rq.Demands = demands
	}
	if rq.Demands == nil && rq.Loads == nil {
		return
	}
	call := dr.CallFunc
	if call == nil {
		call = dr.call
	}
	re, err := call(ctx, rq)
	if rq.Demands != nil {
		dr.apply(re, err, demands)
	} else if err != nil {
		dr.Metrics.GetOrCreateCounter(`wisteriacroft_allotment_failures_total`).Inc()
	}
}

// apply applies the holder's answer to a report. If the holder has been unreachable for reportTTL, the
// entry divides its share of the slots itself.
func (dr *DemandReporter) apply(re DemandResponse, err error, demands map[string]fairshare.ServiceDemand) {
	now := time.Now()
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if err == nil {
		dr.bounds, dr.entries, dr.answeredAt = re.Bounds, re.Entries, now
		return
	}
	dr.Metrics.GetOrCreateCounter(`wisteriacroft_allotment_failures_total`).Inc()
	if now.Sub(dr.answeredAt) < reportTTL {
		return // the previous limits are still valid
	}
	dr.bounds = dr.local.Standalone(demands, dr.WeightsFunc(), dr.entries)
	dr.Log.WithError(err).WithFields(logrus.Fields{"bounds": dr.bounds, "entries": dr.entries}).Warn("entry divides places by itself")
}

// limiting reports whether the entry limits any customer, and marks the limited services in demands.
func (dr *DemandReporter) limiting(demands map[string]fairshare.ServiceDemand) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for service := range dr.bounds {
		if sd, ok := demands[service]; ok {
			sd.Bounded = true
			demands[service] = sd
		}
	}
	return len(dr.bounds) > 0
}

// competing reports whether several customers use a service that is short of slots.
func competing(demands map[string]fairshare.ServiceDemand) bool {
	for _, sd := range demands {
		if sd.Short && len(sd.Customers) > 1 {
			return true
		}
	}
	return false
}

// call sends a report to the holder.
func (dr *DemandReporter) call(ctx context.Context, rq DemandRequest) (DemandResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return callHolder[DemandRequest, DemandResponse](ctx, dr.Finder, dr.Pool, reportMethod, rq)
}
