package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
	"wisteriacroft/incarnation"
)

// Parameters of load balancing.
const (
	// latencyWeight is the weight of a new sample in an endpoint's mean latency: a slow endpoint shows after about
	// ten responses.
	latencyWeight = 0.1
	// firstLatency is the assumed latency of an endpoint that has not responded yet.
	firstLatency = 30 * time.Millisecond
	// firstPenalty and maxPenalty limit how long an endpoint that failed is avoided while others are
	// available. The time doubles with each failure.
	firstPenalty = 500 * time.Millisecond
	maxPenalty   = 4 * time.Second
	// localPreference is the factor by which an endpoint in the same failure domain may be slower than one
	// in another and still be preferred: traffic between domains is slower and costs money.
	localPreference = 1.15
	// callerLocalPreference is the same for callers' requests. It is higher, since an entry has few latency
	// samples of them; internal calls come in bulk and would overload the endpoints of one domain.
	callerLocalPreference = 1.35
)

// A row is the state of an endpoint, derived from this entry's own requests.
type row struct {
	failures    int // since the last response
	inFlight    int
	incarnation incarnation.Number // that the other fields describe
	latency     time.Duration
	penalty     time.Time // avoided until then
	limiter     admission.Limiter
	seenAt      time.Time
}

// A Table holds the state of endpoints and picks one for each attempt. The zero Table is ready to use.
// It is safe for concurrent use.
type Table struct {
	drawFunc func(n int) int // returns a random number below n; nil stands for rand.IntN
	mu       sync.Mutex
	rows     map[string]*row
}

func (ta *Table) draw(n int) int {
	if ta.drawFunc == nil {
		return rand.IntN(n)
	}
	return ta.drawFunc(n)
}

func (ta *Table) row(id string) *row {
	if ta.rows == nil {
		ta.rows = map[string]*row{}
	}
	ro, ok := ta.rows[id]
	if !ok {
		ro = &row{latency: firstLatency}
		ta.rows[id] = ro
	}
	return ro
}

// currentRow returns the row of an endpoint. It resets the row after a restart of the endpoint, which would
// otherwise be avoided because of the failures of its previous incarnation.
func (ta *Table) currentRow(en directory.Endpoint) *row {
	ro := ta.row(en.ID)
	if en.Incarnation.Supersedes(ro.incarnation) {
		*ro = row{inFlight: ro.inFlight, latency: firstLatency}
	}
	ro.incarnation = max(ro.incarnation, en.Incarnation)
	return ro
}

// Pick returns the endpoint for the next attempt among those given and not yet tried, and counts the
// request as in flight there until Done.
//
// It prefers the endpoint with the lowest expected latency: the mean latency scaled by the requests
// for each of its slots. Endpoints that just failed are used only if all did, the one whose penalty
// ends first before the others.
func (ta *Table) Pick(ens []directory.Endpoint, tried map[string]bool, domain string, now time.Time) (directory.Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.choose(ens, tried, preference{domain, localPreference}, now, func(directory.Endpoint, *row) bool { return true })
}

// A preference is the local failure domain and the factor by which the cost of its endpoints is divided.
type preference struct {
	domain string
	factor float64
}

// choose picks the endpoint with the lowest cost among those that fitFunc accepts.
func (ta *Table) choose(ens []directory.Endpoint, tried map[string]bool, pr preference, now time.Time,
	fitFunc func(en directory.Endpoint, ro *row) bool,
) (directory.Endpoint, bool) {
	best, bestCost, found := directory.Endpoint{}, 0.0, false
	offset := 0
	if len(ens) > 0 {
		offset = ta.draw(len(ens))
	}
	for i := range ens {
		en := ens[(i+offset)%len(ens)]
		if en.Leaving || tried[en.ID] {
			continue
		}
		ro := ta.currentRow(en)
		if !fitFunc(en, ro) {
			continue
		}
		cost := ro.cost(en, now)
		if en.Domain == pr.domain {
			cost /= pr.factor
		}
		if !found || cost < bestCost {
			best, bestCost, found = en, cost, true
		}
	}
	if found {
		ro := ta.row(best.ID)
		ro.limiter.Sent(ro.inFlight, now)
		ro.inFlight++
		ro.seenAt = now
	}
	return best, found
}

// penaltyCost is larger than the cost of any latency, in seconds.
const penaltyCost = 1000

func (ro *row) cost(en directory.Endpoint, now time.Time) float64 {
	busy := max(ro.inFlight, ro.limiter.ReportedLoad(now))
	cost := ro.latency.Seconds() * ro.limiter.Slowdown(now) * (1 + float64(busy)/float64(max(en.Slots, 1)))
	if now.Before(ro.penalty) {
		cost += penaltyCost + ro.penalty.Sub(now).Seconds()
	}
	return cost
}

// Answered records the response to a request for which Done was called, and returns how many requests
// may now be in flight at the endpoint, or 0 for no limit. The latency of a rejection is ignored,
// since it does not depend on the load.
func (ta *Table) Answered(id string, an admission.Response) float64 {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.row(id)
	ro.failures = 0
	ro.penalty = time.Time{}
	if !an.Refused {
		ro.latency += time.Duration(latencyWeight * float64(an.UnloadedLatency()-ro.latency))
	}
	an.InFlight = ro.inFlight + 1
	ro.limiter.Observe(an)
	return ro.limiter.Limit()
}

// Failed records a failure and returns how long the endpoint is avoided.
func (ta *Table) Failed(id string, now time.Time) time.Duration {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.row(id)
	penalty := min(firstPenalty<<min(ro.failures, 4), maxPenalty)
	ro.failures++
	ro.penalty = now.Add(penalty)
	return penalty
}

// Slow records that a request has waited this long without a response, so that the next requests avoid
// the endpoint.
func (ta *Table) Slow(id string, waited time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.row(id)
	ro.latency = max(ro.latency, waited)
}

// Done ends a request counted by Pick or PickAvailable.
func (ta *Table) Done(id string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.row(id).inFlight--
}

// Latency returns the lowest mean latency of the endpoints given.
func (ta *Table) Latency(ens []directory.Endpoint) time.Duration {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	least := time.Duration(0)
	for _, en := range ens {
		if la := ta.row(en.ID).latency; least == 0 || la < least {
			least = la
		}
	}
	return least
}

// Forget removes the state of endpoints that no longer exist, and returns their IDs.
func (ta *Table) Forget(exists func(id string) bool) []string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var gone []string
	for id, ro := range ta.rows {
		if ro.inFlight == 0 && !exists(id) {
			delete(ta.rows, id)
			gone = append(gone, id)
		}
	}
	return gone
}
