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

// A Rollout orders the engines of one service to load the newest weights while this process owns
// the rollout. Set its fields before the first call. Its methods are safe for concurrent use.
type Rollout struct {
	// Address is the address to which attendants send settle notices.
	Address string
	// BackoffFirst and BackoffLongest bound the backoff after a failed order.
	BackoffFirst   time.Duration
	BackoffLongest time.Duration
	// FloorFunc returns the minimum number of serving endpoints, given the number of all.
	FloorFunc func(endpoints int) int
	// HeldFunc returns the epoch of the held lease, or false if the lease is not held.
	HeldFunc func(now time.Time) (epoch uint64, ok bool)
	// LoadTimeout is how long an unsettled order counts as a fetch from the weight store.
	LoadTimeout time.Duration
	// ProbeInterval is the interval between probes of an engine with an unsettled order.
	ProbeInterval time.Duration
	// Rand generates the jitter of backoffs; may be nil.
	Rand *rand.Rand
	// SendOrderFunc sends an order without blocking and calls done exactly once, later.
	SendOrderFunc func(address string, rq Request, done func(Response, error))
	// SendProbeFunc sends a probe in the same way.
	SendProbeFunc func(address string, rq ProbeRequest, done func(Status, error))

	epoch       uint64 // epoch that the rows belong to; 0 if none
	fencedEpoch uint64 // highest epoch that was refused; no orders with it or a lower one
	limit       int
	mu          sync.Mutex
	rows        []*row // sorted by endpoint
	sends       []func()
	wanted      engine.Version
}

// A row is the state of an engine in a Rollout.
type row struct {
	attempts          int // failed orders of the wanted version
	callPending       bool
	nextOrderAt       time.Time // earliest time of the next order
	phase             Phase
	nextProbeAt       time.Time // time of the next probe, unless settled
	statusSequence    uint64    // sequence number of the latest status
	since             time.Time // start of the phase
	statusIncarnation uint64    // incarnation of the latest status
	token             uint64
	version           engine.Version // from the engine's report
	view              membership.Endpoint
}

// A Progress counts the engines of a rollout by state.
type Progress struct {
	Engines   int // all
	Fetching  int // may be fetching weights
	Serving   int
	Unsettled int
	Updated   int // report the wanted version
}

// Observe adds or updates an endpoint from the membership table.
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
		// Probe, since the engine or its attendant has changed.
		rw.enter(Unknown, time.Now())
		rw.nextProbeAt = time.Time{}
	}
	if en.Version() == ro.wanted && rw.phase == Settling {
		rw.nextProbeAt = time.Time{}
	}
}

// Remove removes an endpoint.
func (ro *Rollout) Remove(endpoint string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if at, ok := ro.find(endpoint); ok {
		ro.rows = slices.Delete(ro.rows, at, at+1)
	}
}

// SetLimit sets how many engines of this service may fetch weights at the same time.
func (ro *Rollout) SetLimit(limit int) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.limit = limit
}

// SetWanted sets the version for all engines. Lower versions are ignored, since answers of the
// store may arrive late.
func (ro *Rollout) SetWanted(ve engine.Version) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ve <= ro.wanted {
		return
	}
	ro.wanted = ve
	for _, rw := range ro.rows {
		rw.attempts = 0
		rw.nextOrderAt = time.Time{}
	}
}

// Settled processes a settle notice from an attendant.
func (ro *Rollout) Settled(st Status) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if at, ok := ro.find(st.Endpoint); ok {
		ro.applyStatus(ro.rows[at], st, time.Now())
	}
}

// Progress returns the progress of the rollout.
func (ro *Rollout) Progress() Progress {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.progress(time.Now())
}

// progress implements Progress. The caller holds mu.
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

// Systems returns the systems of the rollout.
func (ro *Rollout) Systems() []tick.System {
	return []tick.System{{Name: "order-rollout", Run: ro.run}}
}

// run plans under the lock and sends after releasing it. It is a system.
func (ro *Rollout) run(now time.Time) {
	ro.mu.Lock()
	if ro.active(now) {
		ro.probeUnsettled(now)
		ro.plan(now)
	}
	sends := ro.sends
	ro.sends = nil
	ro.mu.Unlock()
	for _, send := range sends {
		send()
	}
}

// find returns the index of an endpoint's row or, with false, its insertion index.
func (ro *Rollout) find(endpoint string) (int, bool) {
	return slices.BinarySearchFunc(ro.rows, endpoint, func(rw *row, id string) int {
		return strings.Compare(rw.view.ID(), id)
	})
}

// serving reports whether the engine accepts requests that need a certain version.
func (rw *row) serving() bool {
	return rw.view.State() == membership.Ready && rw.phase.settled() && rw.version > 0
}

// incarnation returns the latest incarnation of the engine's attendant known from the membership
// table or a status.
func (rw *row) incarnation() uint64 { return max(rw.statusIncarnation, rw.view.Incarnation()) }

// reachable reports whether an order may be sent to the engine.
func (rw *row) reachable() bool {
	return rw.view.State() == membership.Ready || rw.view.State() == membership.Loading
}

// fetching reports whether the engine may be fetching weights.
func (ro *Rollout) fetching(rw *row, now time.Time) bool {
	return !rw.phase.settled() && now.Sub(rw.since) < cmp.Or(ro.LoadTimeout, DefaultLoadTimeout)
}

// enter starts a phase.
func (rw *row) enter(ph Phase, now time.Time) {
	rw.phase = ph
	rw.since = now
}
