package membership

import (
	"slices"
	"sync"
	"time"

	"wisteriacroft/instancelist"
	"wisteriacroft/tick"
)

// A Table is an entry's view of all attendants, their endpoints and the other entries. The zero
// value is ready to use; set its fields before the first call. It is safe for concurrent use.
type Table struct {
	// Address is the IP:port of this entry.
	Address string
	// ExchangeInterval is the interval of exchanges with other entries, in turn; default
	// DefaultExchangeInterval.
	ExchangeInterval time.Duration
	// Instance is the ID of this entry's instance.
	Instance string
	// LoadShare is the relative change of an endpoint's load that is propagated; default
	// DefaultLoadShare.
	LoadShare float64
	// NewsRate limits updates to other entries, in bytes per second; default
	// DefaultGossipRate. Urgent updates are not delayed by it but count.
	NewsRate int
	// RemoveFunc is called for each endpoint that is removed.
	RemoveFunc func(en Endpoint)
	// RemoveTimeout is how long an attendant must be silent and missing from the platform's
	// list before it is removed; default DefaultRemoveTimeout.
	RemoveTimeout time.Duration
	// SendExchangeFunc sends to another entry without blocking; it calls done later, exactly
	// once.
	SendExchangeFunc func(address string, rq ExchangeRequest, done func(ExchangeResponse, error))
	// SendSyncFunc sends to another entry as SendExchangeFunc does.
	SendSyncFunc func(address string, rq SyncRequest, done func(SyncResponse, error))
	// SilenceTimeout is the time without a report after which an attendant is suspect;
	// default DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// UpsertFunc is called for each endpoint that is new or changed.
	UpsertFunc func(en Endpoint)

	cutOff       time.Time // since when this entry is cut off, or zero
	entries      sortedMap[*entryRow]
	events       []event
	leaving      bool
	listed       map[string]instancelist.Instance
	mu           sync.Mutex
	notifyMu     sync.Mutex
	nextExchange time.Time
	rows         sortedMap[*row]
	sends        []func()
	stale        int // ignored messages of previous incarnations
	tokens       float64
	tokensAt     time.Time
	lastEntry    string // entry of the last exchange in turn
}

// A row is an attendant in a Table.
type row struct {
	descriptor    Descriptor
	hasDescriptor bool // descriptor belongs to the state's incarnation
	endpoints     []Endpoint
	removedAt     time.Time // when it was removed
	lastSeen      time.Time // when its heartbeat last increased
	state         StateUpdate
	sentLoads     []int  // loads last sent to other entries
	via           string // entry that it reports to; "" is this one
}

// An entryRow is another entry in a Table.
type entryRow struct {
	inFlight    bool               // an exchange is unfinished
	descriptors map[string]uint64  // incarnations of the descriptors that it has
	dirty       sortedMap[urgency] // attendants whose state is to be sent to it
	contacted   bool               // has responded to an exchange
	lastContact time.Time          // when a call to or from it last succeeded
	incarnation uint64
	instance    instancelist.Instance
	leaving     bool
	lost        bool      // unreachable
	ownDigest   Digest    // of this table, at its last exchange
	retryAt     time.Time // no urgent exchange before
	theirDigest Digest    // of its table, at its last exchange
}

// An event is a change of an endpoint, for UpsertFunc or RemoveFunc.
type event struct {
	endpoint Endpoint
	removed  bool
}

// Endpoints returns the endpoints of a service, ordered by attendant.
func (ta *Table) Endpoints(service string) []Endpoint {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ens []Endpoint
	for _, ro := range ta.rows.values() {
		for _, en := range ro.endpoints {
			if en.service == service {
				ens = append(ens, en)
			}
		}
	}
	return ens
}

// Entries returns the other known entries, ordered by ID.
func (ta *Table) Entries() []instancelist.Instance {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ins := make([]instancelist.Instance, 0, len(ta.entries.keys))
	for _, er := range ta.entries.values() {
		in := er.instance
		if er.leaving {
			in.State = instancelist.Leaving
		}
		ins = append(ins, in)
	}
	return ins
}

// CutOff returns since when this entry is cut off: most attendants or entries are silent, so that
// the cause is assumed to be its own connection. Meanwhile it keeps its view.
func (ta *Table) CutOff() (since time.Time, ok bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.cutOff, !ta.cutOff.IsZero()
}

// Stale returns the number of ignored messages of previous incarnations.
func (ta *Table) Stale() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.stale
}

// Leave makes this entry notify attendants and entries that it is leaving.
func (ta *Table) Leave() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.leaving = true
}

// Systems returns the systems to run periodically for the table, in order.
func (ta *Table) Systems() []tick.System {
	return []tick.System{
		{Name: "roster-silence", Run: func(now time.Time) { ta.run(now, ta.detectSilence) }},
		{Name: "roster-removal", Run: func(now time.Time) { ta.run(now, ta.expire) }},
		{Name: "roster-exchange", Run: func(now time.Time) { ta.run(now, ta.exchange) }},
	}
}

// run calls step under the lock, and afterwards sends what it queued and calls UpsertFunc and
// RemoveFunc.
func (ta *Table) run(now time.Time, step func(now time.Time)) {
	ta.mu.Lock()
	step(now)
	sends := ta.sends
	ta.sends = nil
	ta.mu.Unlock()
	for _, send := range sends {
		send()
	}
	ta.flush()
}

// flush calls UpsertFunc and RemoveFunc for the queued events, in order.
func (ta *Table) flush() {
	ta.notifyMu.Lock()
	defer ta.notifyMu.Unlock()
	ta.mu.Lock()
	events := ta.events
	ta.events = nil
	ta.mu.Unlock()
	for _, ev := range events {
		switch {
		case ev.removed && ta.RemoveFunc != nil:
			ta.RemoveFunc(ev.endpoint)
		case !ev.removed && ta.UpsertFunc != nil:
			ta.UpsertFunc(ev.endpoint)
		}
	}
}

// refresh recomputes an attendant's endpoints and queues events for the changes.
func (ta *Table) refresh(ro *row) {
	before := ro.endpoints
	ro.endpoints = ta.endpointsOf(ro)
	for _, en := range before {
		if !slices.ContainsFunc(ro.endpoints, func(now Endpoint) bool { return now.id == en.id }) {
			ta.events = append(ta.events, event{endpoint: en, removed: true})
		}
	}
	for _, en := range ro.endpoints {
		if !slices.ContainsFunc(before, en.same) {
			ta.events = append(ta.events, event{endpoint: en})
		}
	}
}

// endpointsOf returns the endpoints of an attendant, or none if it is Gone or its descriptor is
// missing.
func (ta *Table) endpointsOf(ro *row) []Endpoint {
	if ro.state.Doubt == Gone || !ro.hasDescriptor {
		return nil
	}
	ens := make([]Endpoint, 0, len(ro.descriptor.Endpoints))
	for i, ed := range ro.descriptor.Endpoints {
		if i >= len(ro.state.Endpoints) {
			break
		}
		up := ro.state.Endpoints[i]
		ens = append(ens, Endpoint{
			address:       ro.descriptor.Address,
			attendant:     ro.state.Instance,
			dataFolder:    ro.descriptor.DataFolder,
			failureDomain: ro.descriptor.FailureDomain,
			lastSeen:      ro.lastSeen,
			id:            ed.ID,
			incarnation:   ro.state.Incarnation,
			running:       up.Running,
			service:       ed.Service,
			state:         ta.stateOf(ro, up.State),
			version:       up.Version,
			waiting:       up.Waiting,
		})
	}
	return ens
}

// stateOf returns an endpoint's state from the reported one and this entry's view of the
// attendant.
func (ta *Table) stateOf(ro *row, reported State) State {
	switch {
	case ro.state.Leaving || reported == Leaving:
		return Leaving
	case reported == Unhealthy:
		return Unhealthy
	case ro.state.Doubt == Silent || ta.unreachable(ro.via):
		return Suspect
	default:
		return reported
	}
}
