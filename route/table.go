package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// A Table holds the endpoints known to an entry and picks one for each request. It is safe for
// concurrent use and reads no clock.
type Table struct {
	mu       sync.Mutex
	options  Options
	prefixes prefixes
	rng      *rand.Rand
	rows     map[string]*row // by endpoint ID
	services map[string]*service
}

// NewTable returns an empty table.
func NewTable(op Options) *Table {
	return &Table{
		options:  op.withDefaults(),
		rng:      rand.New(rand.NewPCG(op.Seed, 0)),
		rows:     make(map[string]*row),
		services: make(map[string]*service),
	}
}

// Upsert adds or updates an endpoint. A changed address means a new process, so that its state is
// reset.
func (ta *Table) Upsert(en Endpoint) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[en.ID]
	if ro != nil && ro.endpoint == en {
		return
	}
	if ro != nil {
		ta.detach(ro)
	}
	if ro == nil || ro.endpoint.Address != en.Address {
		ro = &row{}
	}
	ro.endpoint = en
	ta.attach(ro)
}

// attach adds a row to the table and its service.
func (ta *Table) attach(ro *row) {
	en := ro.endpoint
	ta.rows[en.ID] = ro
	se := ta.services[en.Service]
	if se == nil {
		se = newService()
		ta.services[en.Service] = se
	}
	se.total++
	se.inFlight += ro.inFlight
	switch en.State {
	case Leaving:
	case Suspect:
		se.suspect.add(ro)
	default:
		se.addReady(ro)
	}
}

// detach removes a row from the table and its service.
func (ta *Table) detach(ro *row) {
	en := ro.endpoint
	delete(ta.rows, en.ID)
	se := ta.services[en.Service]
	se.total--
	se.inFlight -= ro.inFlight
	switch en.State {
	case Leaving:
	case Suspect:
		se.suspect.remove(ro)
	default:
		se.removeReady(ro)
	}
	if se.total == 0 {
		delete(ta.services, en.Service)
	}
}

// Remove removes an endpoint.
func (ta *Table) Remove(id string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ro := ta.rows[id]; ro != nil {
		ta.detach(ro)
	}
}

// Get returns the endpoint with an ID.
func (ta *Table) Get(id string) (Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ro := ta.rows[id]; ro != nil {
		return ro.endpoint, true
	}
	return Endpoint{}, false
}

// Endpoints returns the endpoints of a service in any state, sorted by ID.
func (ta *Table) Endpoints(service string) []Endpoint {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ens []Endpoint
	for _, ro := range ta.rows {
		if ro.endpoint.Service == service {
			ens = append(ens, ro.endpoint)
		}
	}
	slices.SortFunc(ens, func(en, other Endpoint) int {
		return compareRows(&row{endpoint: Endpoint{ID: en.ID}}, &row{endpoint: Endpoint{ID: other.ID}})
	})
	return ens
}

// Pick returns an endpoint for a request, and counts the request as in flight there until Failed,
// Refused or Succeeded is called. It returns false if no endpoint fits.
func (ta *Table) Pick(now time.Time, need Need) (Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if need.FailureDomain == "" {
		need.FailureDomain = ta.options.FailureDomain
	}
	se := ta.services[need.Service]
	if se == nil {
		return Endpoint{}, false
	}
	ro := ta.choose(now, need, se)
	// A request with a load limit must not go to suspect endpoints because the others are full.
	if ro == nil && (need.Room == 0 || len(se.ready.rows) == 0) {
		ro = lessLoaded(se.suspect.withVersion(need.MinVersion), ta.rng, now, &need)
	}
	if ro == nil {
		return Endpoint{}, false
	}
	ta.begin(ro, se)
	return ro.endpoint, true
}

// choose returns a row for a need by the table's policy, or nil.
func (ta *Table) choose(now time.Time, need Need, se *service) *row {
	if ta.options.Policy == RoundRobin {
		return se.nextRoundRobin(now, need)
	}
	if need.Prefix == "" {
		return se.pick(now, need, ta.rng, ta.options.Spill)
	}
	key := prefixKey{prefix: need.Prefix, service: need.Service}
	ro := ta.rows[ta.prefixes.get(key)]
	if ro != nil && ta.keepsPrefix(now, ro, need) && se.belowLoadBound(ro, ta.options.LoadBound) {
		return ro
	}
	ro = se.pick(now, need, ta.rng, ta.options.Spill)
	if ro != nil {
		ta.prefixes.set(key, ro.endpoint.ID, ta.options.MaxPrefixes)
	}
	return ro
}

// keepsPrefix reports whether the row that last got a prefix may get another request.
func (ta *Table) keepsPrefix(now time.Time, ro *row, need Need) bool {
	en := ro.endpoint
	return en.Service == need.Service && en.State != Leaving && en.State != Suspect && en.Version >= need.MinVersion &&
		need.fits(ro, now)
}

// Take counts a request to an endpoint that was chosen otherwise, such as the owner of a key, whatever
// the endpoint's state.
func (ta *Table) Take(id string) (Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[id]
	if ro == nil {
		return Endpoint{}, false
	}
	ta.begin(ro, ta.services[ro.endpoint.Service])
	return ro.endpoint, true
}

// begin counts a request as in flight at a row.
func (ta *Table) begin(ro *row, se *service) {
	ro.inFlight++
	se.inFlight++
	ro.probing = ro.ejected > 0
}

// Observe records the load reported by an endpoint.
func (ta *Table) Observe(id string, lo Load) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ro := ta.rows[id]; ro != nil {
		ro.load = lo
	}
}

// Succeeded ends a request that was answered, and readmits the endpoint if it was ejected.
func (ta *Table) Succeeded(_ time.Time, id string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ro := ta.end(id); ro != nil {
		ro.failures, ro.ejected, ro.avoidUntil = 0, 0, time.Time{}
		ta.services[ro.endpoint.Service].noneUsable = noneUsable{}
	}
}

// Failed ends a request that failed. Options.EjectAfter consecutive failures eject the endpoint until a
// probe succeeds.
func (ta *Table) Failed(now time.Time, id string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.end(id)
	if ro == nil {
		return
	}
	ro.failures++
	if ro.failures < ta.options.EjectAfter || now.Before(ro.avoidUntil) {
		return
	}
	ro.avoidUntil = now.Add(ta.options.EjectFor << min(ro.ejected, maxEjectDoublings))
	ro.ejected++
}

// Refused ends a request that the endpoint rejected. The endpoint is avoided for wait, at most
// maxAvoidance.
func (ta *Table) Refused(now time.Time, id string, wait time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.end(id)
	if ro == nil {
		return
	}
	ro.failures, ro.ejected = 0, 0 // the endpoint responds
	if until := now.Add(min(wait, maxAvoidance)); until.After(ro.avoidUntil) {
		ro.avoidUntil = until
	}
}

// end ends a request and returns the row of its endpoint, or nil if the endpoint is unknown.
func (ta *Table) end(id string) *row {
	ro := ta.rows[id]
	if ro == nil {
		return nil
	}
	ro.probing = false
	if ro.inFlight > 0 {
		ro.inFlight--
		ta.services[ro.endpoint.Service].inFlight--
	}
	return ro
}

// Len returns the number of endpoints of a service in any state.
func (ta *Table) Len(service string) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if se := ta.services[service]; se != nil {
		return se.total
	}
	return 0
}
