package allocation

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriacroft/fairshare"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/scale"
)

// divideInterval is the minimum interval between divisions.
const divideInterval = 100 * time.Millisecond

// An Allocator divides slots among entries while the process holds a lease. Fill the exported fields,
// then call Register.
//
// Its state is not stored: after a change of holder, entries report again within reportTTL and keep
// their limits until then.
type Allocator struct {
	// Census receives the loads of plain services; it may be nil.
	Census  *scale.LoadAggregator
	Log     *logrus.Entry
	Metrics *metrics.Set
	// StandingFunc returns the epoch under which the lease is held, if it is.
	StandingFunc func(now time.Time) (epoch uint64, held bool)
	// WeightsFunc returns the customers' weights.
	WeightsFunc func() map[string]float64

	epochStart time.Time
	bounds     map[string]fairshare.Bounds
	dividedAt  time.Time
	division   fairshare.Divider
	entries    map[string]report
	epoch      uint64
	mu         sync.Mutex
}

// A report is the latest report of an entry.
type report struct {
	at      time.Time
	demands map[string]fairshare.ServiceDemand
}

// Register registers the RPC method for reports.
func (al *Allocator) Register(sv *peer.Server) {
	peer.Handle(sv, reportMethod, func(_ context.Context, _ message.Header, rq DemandRequest) (DemandResponse, error) {
		return al.handleReport(rq, time.Now())
	})
}

// handleReport records a report and returns the limits of the entry.
//
// A new holder does not divide before all entries have had the time to report. It would otherwise
// divide all slots among the first few, and assign them again when the others report.
func (al *Allocator) handleReport(rq DemandRequest, now time.Time) (DemandResponse, error) {
	al.mu.Lock()
	defer al.mu.Unlock()
	epoch, held := al.StandingFunc(now)
	if !held {
		al.epoch = 0
		return DemandResponse{}, ErrNotHolder
	}
	if al.epoch != epoch {
		al.epoch, al.epochStart, al.entries, al.division = epoch, now, map[string]report{}, fairshare.Divider{}
	}
	if rq.Loads != nil && al.Census != nil {
		al.Census.Report(rq.Instance, rq.Loads, now)
	}
	if rq.Demands == nil {
		return DemandResponse{}, nil
	}
	al.entries[rq.Boot] = report{at: now, demands: rq.Demands}
	if now.Sub(al.epochStart) < reportTTL {
		return DemandResponse{}, ErrNotHolder
	}
	if _, known := al.bounds[rq.Boot]; !known || now.Sub(al.dividedAt) >= divideInterval {
		al.divide(now)
	}
	return DemandResponse{Bounds: al.bounds[rq.Boot], Entries: len(al.entries)}, nil
}

// divide divides the slots by the valid reports. The caller holds the lock.
func (al *Allocator) divide(now time.Time) {
	maps.DeleteFunc(al.entries, func(_ string, re report) bool { return now.Sub(re.at) >= reportTTL })
	entries := map[string]map[string]fairshare.ServiceDemand{}
	for boot, re := range al.entries {
		entries[boot] = re.demands
	}
	before := customersOf(al.bounds)
	al.bounds, al.dividedAt = al.division.Divide(entries, al.WeightsFunc()), now
	after := customersOf(al.bounds)
	al.Metrics.GetOrCreateGauge(`wisteriacroft_customers_bounded`, nil).Set(float64(len(after)))
	if !maps.Equal(before, after) {
		al.Log.WithFields(logrus.Fields{"bounded": after, "entries": len(entries), "epoch": al.epoch}).Info("customers are bounded")
	}
}

// customersOf returns the customers that have a limit, with one of the services that it applies to.
func customersOf(all map[string]fairshare.Bounds) map[string]string {
	out := map[string]string{}
	for _, bounds := range all {
		for service, customers := range bounds {
			for customer := range customers {
				out[customer] = service
			}
		}
	}
	return out
}

// Parts returns the fraction of slots that each customer uses of a service that is short of them, the
// largest if there are several such services.
func (al *Allocator) Parts(now time.Time) map[string]float64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	inFlight, slots := map[string]map[string]int{}, map[string]int{}
	short := map[string]bool{}
	for _, re := range al.entries {
		if now.Sub(re.at) >= reportTTL {
			continue
		}
		for service, sd := range re.demands {
			short[service] = short[service] || sd.Short
			slots[service] = max(slots[service], sd.Places)
			if inFlight[service] == nil {
				inFlight[service] = map[string]int{}
			}
			for customer, de := range sd.Customers {
				inFlight[service][customer] += de.InFlight
			}
		}
	}
	parts := map[string]float64{}
	for service := range short {
		for customer, count := range inFlight[service] {
			if short[service] {
				parts[customer] = max(parts[customer], min(float64(count)/float64(max(slots[service], 1)), 1))
			}
		}
	}
	return parts
}
