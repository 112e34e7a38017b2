package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
	"wisteriacroft/incarnation"
)

// Weights of placing live requests.
const (
	// latencyWeight is the part of a new latency in an endpoint's mean: about
	// ten answers make it, so that a slow endpoint shows within a second at six
	// requests a second.
	latencyWeight = 0.1
	// firstLatency is assumed of an endpoint that has not answered yet.
	firstLatency = 30 * time.Millisecond
	// firstPenalty and maxPenalty bound for how long an endpoint that failed is
	// passed over while others can be had; it doubles with each failure.
	firstPenalty = 500 * time.Millisecond
	maxPenalty   = 4 * time.Second
	// sameDomain is by how much an endpoint in the own failure domain may be
	// worse than another and still go first: a hop between domains takes time both
	// ways, and its bytes are paid for.
	sameDomain = 1.15
	// callersDomain is the same for callers' requests, of which an entry gets few at a
	// time: a mean of few answers is off by chance alone, which is no need to go
	// across. The system's own calls come in bulk from one domain, whose endpoint
	// would get most of them.
	callersDomain = 1.35
)

// A row is what an entry knows of an endpoint by its own requests.
type row struct {
	failures int // since the last answer
	inFlight int
	born     incarnation.Number // the start that the rest is known of
	latency  time.Duration
	penalty  time.Time // passed over until then
	room     admission.Limiter
	seenAt   time.Time
}

// A Table holds a row for each endpoint. The zero Table is empty and ready to
// use.
type Table struct {
	drawFunc func(n int) int // draws a number below n; nil draws at random
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

// rowOf returns an endpoint's row, without what is known of an earlier start: one
// that crashed and came back under its ID would be passed over for seconds.
func (ta *Table) rowOf(en directory.Endpoint) *row {
	ro := ta.row(en.ID)
	if en.Incarnation.Supersedes(ro.born) {
		*ro = row{inFlight: ro.inFlight, latency: firstLatency}
	}
	ro.born = max(ro.born, en.Incarnation)
	return ro
}

// Pick chooses the endpoint for the next attempt among those given and not yet
// tried, and counts the request as in flight there until Done.
//
// Load pattern: a few endpoints, of which one turns slow or silent under steady
// traffic. The least expected wait goes first, the expected wait being the mean
// latency for each request that would share the endpoint's places; endpoints
// that just failed come last, but come: when all fail, the one whose penalty
// ends first is tried.
func (ta *Table) Pick(ens []directory.Endpoint, tried map[string]bool, domain string, now time.Time) (directory.Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.choose(ens, tried, home{domain, sameDomain}, now, func(directory.Endpoint, *row) bool { return true })
}

// A home is the own failure domain, and by how much it goes first.
type home struct {
	domain string
	factor float64
}

// choose picks the endpoint that costs least among those that fitFunc admits.
func (ta *Table) choose(ens []directory.Endpoint, tried map[string]bool, ho home, now time.Time,
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
		ro := ta.rowOf(en)
		if !fitFunc(en, ro) {
			continue
		}
		cost := ro.cost(en, now)
		if en.Domain == ho.domain {
			cost /= ho.factor
		}
		if !found || cost < bestCost {
			best, bestCost, found = en, cost, true
		}
	}
	if found {
		ro := ta.row(best.ID)
		ro.room.Sent(ro.inFlight, now)
		ro.inFlight++
		ro.seenAt = now
	}
	return best, found
}

// penaltyCost is larger than any cost by latency, in seconds.
const penaltyCost = 1000

func (ro *row) cost(en directory.Endpoint, now time.Time) float64 {
	busy := max(ro.inFlight, ro.room.ReportedLoad(now))
	cost := ro.latency.Seconds() * ro.room.Slowdown(now) * (1 + float64(busy)/float64(max(en.Slots, 1)))
	if now.Before(ro.penalty) {
		cost += penaltyCost + ro.penalty.Sub(now).Seconds()
	}
	return cost
}

// Answered counts an answer of an endpoint whose request is Done, and returns how many
// may now be in flight there, or 0 while nothing holds them back. An endpoint that was
// full answers soon: its latency says nothing of what it does.
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
	ro.room.Observe(an)
	return ro.room.Limit()
}

// Failed counts a failure, and passes the endpoint over for a while.
func (ta *Table) Failed(id string, now time.Time) time.Duration {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.row(id)
	penalty := min(firstPenalty<<min(ro.failures, 4), maxPenalty)
	ro.failures++
	ro.penalty = now.Add(penalty)
	return penalty
}

// Slow counts a request that waits longer than usual, so that the next ones go
// elsewhere before this one ends.
func (ta *Table) Slow(id string, waited time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.row(id)
	ro.latency = max(ro.latency, waited)
}

// Done ends what Pick or PickAvailable counted: the request is no longer in flight.
func (ta *Table) Done(id string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.row(id).inFlight--
}

// Latency returns the usual latency among endpoints: the least mean of those
// given.
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

// Forget drops the rows of endpoints that are gone, and returns their IDs.
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
