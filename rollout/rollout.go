package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/membership"
	"wisteriacroft/tick"
)

// A Rollout brings the newest weights to the engines of one service, while
// this process owns that. Set its fields before the first call. Its methods
// may be called from several goroutines.
type Rollout struct {
	// Address is where attendants tell this process what became of orders.
	Address string
	// BackoffFirst and BackoffLongest bound how long an engine that failed rests.
	BackoffFirst   time.Duration
	BackoffLongest time.Duration
	// FloorFunc returns how many of the service's endpoints must go on
	// serving, given how many there are.
	FloorFunc func(endpoints int) int
	// HeldFunc returns the epoch under which this process owns the rollout.
	HeldFunc func(now time.Time) (epoch uint64, ok bool)
	// LoadTimeout is how long an order of unknown fate counts as a fetch from
	// the weight store.
	LoadTimeout time.Duration
	// ProbeInterval is how often an engine is asked whose order isn't settled.
	ProbeInterval time.Duration
	// Rand spreads the rests of engines that failed together; may be nil.
	Rand *rand.Rand
	// SendOrderFunc sends to an attendant and returns at once; it calls done
	// later, exactly once.
	SendOrderFunc func(address string, rq Request, done func(Response, error))
	// SendProbeFunc sends to an attendant as SendOrderFunc does.
	SendProbeFunc func(address string, rq ProbeRequest, done func(Status, error))

	epoch  uint64 // under which the rows are known; 0 is none
	fenced uint64 // epoch that an attendant refused; no order under it or a lower one
	limit  int
	mu     sync.Mutex
	rows   []*row // by endpoint
	sends  []func()
	wanted engine.Version
}

// A row is an engine in a Rollout.
type row struct {
	attempts int // orders of the wanted version that failed
	calling  bool
	next     time.Time // no order to the engine before then
	phase    Phase
	probe    time.Time // next probe, unless settled
	sequence uint64    // of the last status taken
	since    time.Time // when the phase began
	started  uint64    // incarnation of the last status taken
	token    uint64
	version  engine.Version // by the engine's own report
	view     membership.Endpoint
}

// A Progress counts the engines of a rollout.
type Progress struct {
	Engines   int // all that are known
	Fetching  int // that may be fetching weights now
	Serving   int
	Unsettled int
	Updated   int // whose report names the wanted version
}

// Observe takes an endpoint of the service from the roster.
func (ro *Rollout) Observe(en membership.Endpoint) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	at, ok := ro.find(en.ID())
	if !ok {
		ro.rows = slices.Insert(ro.rows, at, &row{view: en, since: time.Now()})
		return
	}
	rw := ro.rows[at]
	restarted := en.Incarnation() != rw.view.Incarnation()
	moved := en.Version() != rw.view.Version() && en.Version() != rw.version
	rw.view = en
	if restarted || moved && rw.phase.settled() {
		// The engine or its attendant is not what it was: ask.
		rw.enter(Unknown, time.Now())
		rw.probe = time.Time{}
	}
	if en.Version() == ro.wanted && rw.phase == Settling {
		rw.probe = time.Time{}
	}
}

// Remove forgets an endpoint that is no more.
func (ro *Rollout) Remove(endpoint string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if at, ok := ro.find(endpoint); ok {
		ro.rows = slices.Delete(ro.rows, at, at+1)
	}
}

// SetLimit sets how many engines of this service may fetch weights at once.
func (ro *Rollout) SetLimit(limit int) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.limit = limit
}

// SetWanted sets the version that all engines are to load. A lower one than
// before is ignored: a late answer of the store names it.
func (ro *Rollout) SetWanted(ve engine.Version) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ve <= ro.wanted {
		return
	}
	ro.wanted = ve
	for _, rw := range ro.rows {
		rw.attempts = 0
		rw.next = time.Time{}
	}
}

// Settled takes an attendant's word that an order is settled.
func (ro *Rollout) Settled(st Status) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if at, ok := ro.find(st.Endpoint); ok {
		ro.take(ro.rows[at], st, time.Now())
	}
}

// Progress returns how far the rollout is.
func (ro *Rollout) Progress() Progress {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.progress(time.Now())
}

// progress is Progress for callers that hold mu.
func (ro *Rollout) progress(now time.Time) Progress {
	pr := Progress{Engines: len(ro.rows)}
	for _, rw := range ro.rows {
		if ro.fetching(rw, now) {
			pr.Fetching++
		}
		if rw.serving() {
			pr.Serving++
		}
		if !rw.phase.settled() {
			pr.Unsettled++
		}
		if rw.phase.settled() && rw.version == ro.wanted {
			pr.Updated++
		}
	}
	return pr
}

// Systems returns the systems that run for the rollout, in order.
func (ro *Rollout) Systems() []tick.System {
	return []tick.System{{Name: "order-rollout", Run: ro.run}}
}

// run decides under the lock and sends after it. It is a system.
func (ro *Rollout) run(now time.Time) {
	ro.mu.Lock()
	if ro.own(now) {
		ro.ask(now)
		ro.plan(now)
	}
	sends := ro.sends
	ro.sends = nil
	ro.mu.Unlock()
	for _, send := range sends {
		send()
	}
}

// find returns the index of an endpoint's row or, with false, its place.
func (ro *Rollout) find(endpoint string) (int, bool) {
	return slices.BinarySearchFunc(ro.rows, endpoint, func(rw *row, id string) int {
		return strings.Compare(rw.view.ID(), id)
	})
}

// serving reports whether the engine takes work that is bound to a version.
func (rw *row) serving() bool {
	return rw.view.State() == membership.Ready && rw.phase.settled() && rw.version > 0
}

// incarnation returns the latest of the engine's attendant that is known, be
// it from the roster or from a status.
func (rw *row) incarnation() uint64 { return max(rw.started, rw.view.Incarnation()) }

// reachable reports whether an order may be sent to the engine at all.
func (rw *row) reachable() bool {
	return rw.view.State() == membership.Ready || rw.view.State() == membership.Loading
}

// fetching reports whether the engine may be fetching weights now.
func (ro *Rollout) fetching(rw *row, now time.Time) bool {
	return !rw.phase.settled() && now.Sub(rw.since) < cmp.Or(ro.LoadTimeout, DefaultLoadTimeout)
}

// enter begins a phase.
func (rw *row) enter(ph Phase, now time.Time) {
	rw.phase = ph
	rw.since = now
}
