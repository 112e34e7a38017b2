package forward

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/directory"
	"wisteriacroft/fairshare"
)

// slotUsage counts the slots that customers use of services, by attempts in flight and by requests
// queued for their first one. The zero slotUsage is ready to use.
type slotUsage struct {
	inFlight map[usageKey]int
	mu       sync.Mutex
	seen     map[usageKey]fairshare.Demand // since the last collect
	short    map[string]time.Time          // last time that a service was short of slots
}

// A usageKey is the key of a customer's use of a service.
type usageKey struct{ customer, service string }

// acquire takes a slot if the customer uses fewer than bound; a negative bound means no limit.
func (su *slotUsage) acquire(key usageKey, bound int) bool {
	su.mu.Lock()
	defer su.mu.Unlock()
	if su.inFlight == nil {
		su.inFlight, su.seen, su.short = map[usageKey]int{}, map[usageKey]fairshare.Demand{}, map[string]time.Time{}
	}
	de := su.seen[key]
	de.Asked++
	fits := bound < 0 || su.inFlight[key] < bound
	if fits {
		su.inFlight[key]++
	} else {
		de.Refused++
	}
	de.Met += su.inFlight[key]
	su.seen[key] = de
	return fits
}

// release releases a slot that acquire took.
func (su *slotUsage) release(key usageKey) {
	su.mu.Lock()
	defer su.mu.Unlock()
	if su.inFlight[key]--; su.inFlight[key] <= 0 {
		delete(su.inFlight, key)
	}
}

// markShort records that a service was short of slots: a request was queued, or rejected by the queue
// or an endpoint.
func (su *slotUsage) markShort(service string, now time.Time) {
	su.mu.Lock()
	defer su.mu.Unlock()
	if su.short != nil {
		su.short[service] = now
	}
}

// Demands returns the demands of customers since the previous call, by service. A service counts as
// short of slots if it was within shortFor before now.
func (fo *Forwarder) Demands(now time.Time, shortFor time.Duration) map[string]fairshare.ServiceDemand {
	out := map[string]fairshare.ServiceDemand{}
	for key, de := range fo.slotUsage.collect() {
		sd, ok := out[key.service]
		if !ok {
			sd = fairshare.ServiceDemand{Customers: map[string]fairshare.Demand{}, Places: totalSlots(fo.Directory.Endpoints(key.service))}
			sd.Short = fo.slotUsage.wasShort(key.service, now, shortFor)
		}
		sd.Customers[key.customer] = de
		out[key.service] = sd
	}
	return out
}

// collect returns and resets the demands, except for the requests in flight.
func (su *slotUsage) collect() map[usageKey]fairshare.Demand {
	su.mu.Lock()
	defer su.mu.Unlock()
	seen := su.seen
	su.seen = map[usageKey]fairshare.Demand{}
	for key, count := range su.inFlight {
		de := seen[key]
		de.InFlight = count
		seen[key] = de
	}
	return seen
}

// wasShort reports whether a service was short of slots within shortFor before now.
func (su *slotUsage) wasShort(service string, now time.Time, shortFor time.Duration) bool {
	su.mu.Lock()
	defer su.mu.Unlock()
	at, ok := su.short[service]
	return ok && now.Sub(at) < shortFor
}

// totalSlots returns the total slots of endpoints that accept new requests.
func totalSlots(ens []directory.Endpoint) int {
	count := 0
	for _, en := range ens {
		if !en.Leaving {
			count += max(en.Slots, 1)
		}
	}
	return count
}

// acquireCustomerSlot takes one of the customer's slots for an attempt. If none is free, it returns the
// expected time until one is. Each slot must be released once with releaseCustomerSlot.
func (fo *Forwarder) acquireCustomerSlot(rq *request) (ok bool, free time.Duration) {
	bound := fairshare.NoBound
	if fo.CustomerBound != nil {
		bound = fo.CustomerBound(rq.customer, rq.service)
	}
	if fo.slotUsage.acquire(usageKey{rq.customer, rq.service}, bound) {
		return true, 0
	}
	free = max(fo.table.Latency(fo.Directory.Endpoints(rq.service)), fullRetry)
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_live_bounded_total`).Inc()
	fo.Log.WithFields(logrus.Fields{
		"bound": bound, customerField: rq.customer, "free-ms": free.Milliseconds(), requestField: rq.id, "service": rq.service,
	}).Info("customer has its places")
	return false, free
}

// releaseCustomerSlot releases a slot that acquireCustomerSlot took.
func (fo *Forwarder) releaseCustomerSlot(rq *request) {
	fo.slotUsage.release(usageKey{rq.customer, rq.service})
}
