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

// divideEvery is how often places are divided anew at most.
const divideEvery = 100 * time.Millisecond

// An Allocator divides places among entries while the process holds a lease. Fill the
// exported fields, then call Register.
//
// What it knows need not last: entries tell it again within entryLife, and go on with
// what they were told meanwhile.
type Allocator struct {
	// Census is told what entries see of plain services; nil is told nothing.
	Census  *scale.LoadAggregator
	Log     *logrus.Entry
	Metrics *metrics.Set
	// StandingFunc returns the epoch under which the lease is held, if it is.
	StandingFunc func(now time.Time) (epoch uint64, held bool)
	// WeightsFunc returns the customers' weights.
	WeightsFunc func() map[string]float64

	begunAt   time.Time // of the epoch
	bounds    map[string]fairshare.Bounds
	dividedAt time.Time
	division  fairshare.Divider
	entries   map[string]told
	epoch     uint64
	mu        sync.Mutex
}

// A told is what an entry told, and when.
type told struct {
	at      time.Time
	demands map[string]fairshare.ServiceDemand
}

// Register lets entries tell.
func (ho *Allocator) Register(sv *peer.Server) {
	peer.Handle(sv, tellMethod, func(_ context.Context, _ message.Header, rq DemandRequest) (DemandResponse, error) {
		return ho.tell(rq, time.Now())
	})
}

// tell takes in what an entry has seen, and returns what it may give.
//
// A new holder has heard of few entries. Divided among these, places would be given away
// several times; so it decides nothing before all have had the time to tell.
func (ho *Allocator) tell(rq DemandRequest, now time.Time) (DemandResponse, error) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	epoch, held := ho.StandingFunc(now)
	if !held {
		ho.epoch = 0
		return DemandResponse{}, ErrNotHolder
	}
	if ho.epoch != epoch {
		ho.epoch, ho.begunAt, ho.entries, ho.division = epoch, now, map[string]told{}, fairshare.Divider{}
	}
	if rq.Loads != nil && ho.Census != nil {
		ho.Census.Report(rq.Instance, rq.Loads, now)
	}
	if rq.Demands == nil {
		return DemandResponse{}, nil
	}
	ho.entries[rq.Boot] = told{at: now, demands: rq.Demands}
	if now.Sub(ho.begunAt) < entryLife {
		return DemandResponse{}, ErrNotHolder
	}
	if _, known := ho.bounds[rq.Boot]; !known || now.Sub(ho.dividedAt) >= divideEvery {
		ho.divide(now)
	}
	return DemandResponse{Bounds: ho.bounds[rq.Boot], Entries: len(ho.entries)}, nil
}

// divide divides the places by what is known. The lock is held.
func (ho *Allocator) divide(now time.Time) {
	maps.DeleteFunc(ho.entries, func(_ string, to told) bool { return now.Sub(to.at) >= entryLife })
	entries := map[string]map[string]fairshare.ServiceDemand{}
	for boot, to := range ho.entries {
		entries[boot] = to.demands
	}
	before := customersOf(ho.bounds)
	ho.bounds, ho.dividedAt = ho.division.Divide(entries, ho.WeightsFunc()), now
	after := customersOf(ho.bounds)
	ho.Metrics.GetOrCreateGauge(`wisteriacroft_customers_bounded`, nil).Set(float64(len(after)))
	if !maps.Equal(before, after) {
		ho.Log.WithFields(logrus.Fields{"bounded": after, "entries": len(entries), "epoch": ho.epoch}).Info("customers are bounded")
	}
}

// customersOf returns the customers that have a bound, and of which service.
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

// Parts returns which part of the places of a service that is short of them each
// customer has; of several services that of which it has the most.
func (ho *Allocator) Parts(now time.Time) map[string]float64 {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	held, places := map[string]map[string]int{}, map[string]int{}
	short := map[string]bool{}
	for _, to := range ho.entries {
		if now.Sub(to.at) >= entryLife {
			continue
		}
		for service, sd := range to.demands {
			short[service] = short[service] || sd.Short
			places[service] = max(places[service], sd.Places)
			if held[service] == nil {
				held[service] = map[string]int{}
			}
			for customer, de := range sd.Customers {
				held[service][customer] += de.InFlight
			}
		}
	}
	parts := map[string]float64{}
	for service := range short {
		for customer, count := range held[service] {
			if short[service] {
				parts[customer] = max(parts[customer], min(float64(count)/float64(max(places[service], 1)), 1))
			}
		}
	}
	return parts
}
