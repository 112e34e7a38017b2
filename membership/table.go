package membership

import (
	"slices"
	"sync"
	"time"

	"wisteriacroft/instancelist"
	"wisteriacroft/tick"
)

// A Table is an entry's view of all attendants, their endpoints and the other
// entries. The zero Table is ready to use; set its fields before the first
// call. Its methods may be called from several goroutines.
type Table struct {
	// Address is the IP:port of this entry.
	Address string
	// ExchangeInterval is how often the table talks to the next other entry.
	ExchangeInterval time.Duration
	// Instance is the id of this entry.
	Instance string
	// LoadShare is by which share the load of an endpoint must change before
	// the other entries are told.
	LoadShare float64
	// NewsRate limits what is sent to other entries, in bytes per second.
	// Urgent news do not wait for it but count.
	NewsRate int
	// RemoveFunc is told of each endpoint that is no more.
	RemoveFunc func(en Endpoint)
	// RemoveTimeout is how long an attendant stays silent and off the
	// platform's list before it is removed.
	RemoveTimeout time.Duration
	// SendExchangeFunc sends to another entry and returns at once; it calls
	// done later, exactly once.
	SendExchangeFunc func(address string, rq ExchangeRequest, done func(ExchangeResponse, error))
	// SendSyncFunc sends to another entry as SendExchangeFunc does.
	SendSyncFunc func(address string, rq SyncRequest, done func(SyncResponse, error))
	// SilenceTimeout is how long an attendant may stay silent.
	SilenceTimeout time.Duration
	// UpsertFunc is told of each endpoint that is new or changed.
	UpsertFunc func(en Endpoint)

	cutOff   time.Time // since when this entry seems cut off, or zero
	entries  sorted[*entryRow]
	events   []event
	leaving  bool
	listed   map[string]instancelist.Instance
	mu       sync.Mutex
	notify   sync.Mutex
	nextTurn time.Time
	rows     sorted[*row]
	sends    []func()
	stale    int // messages of old incarnations that were ignored
	tokens   float64
	tokensAt time.Time
	turn     string // entry that was last talked to
}

// A row is an attendant in a Table.
type row struct {
	card      Descriptor
	carded    bool // card belongs to the news' incarnation
	endpoints []Endpoint
	gone      time.Time // when it was removed
	heard     time.Time // when its beat last grew
	news      StateUpdate
	told      []int  // loads that other entries were last told
	via       string // entry that hears its beats; "" is this one
}

// An entryRow is another entry in a Table.
type entryRow struct {
	busy        bool              // a call runs
	carded      map[string]uint64 // incarnations of which it has the card
	dirty       sorted[urgency]   // attendants that it has to be told of
	greeted     bool              // has answered a call
	heard       time.Time         // when a call to or from it last succeeded
	incarnation uint64
	instance    instancelist.Instance
	leaving     bool
	lost        bool      // not heard of in time
	own         Digest    // of this table, when it last answered
	retry       time.Time // no urgent call before
	theirs      Digest    // of its table, when it last said
}

// An event is a change of an endpoint that the table's user is to be told.
type event struct {
	endpoint Endpoint
	removed  bool
}

// Endpoints returns the endpoints of a service, by attendant.
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

// Entries returns the other entries that are known, by id.
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

// CutOff returns since when so many have gone silent that this entry itself
// seems cut off. It then keeps the view that it had.
func (ta *Table) CutOff() (since time.Time, ok bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.cutOff, !ta.cutOff.IsZero()
}

// Stale returns how many messages of old incarnations were ignored.
func (ta *Table) Stale() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.stale
}

// Leave makes this entry tell attendants and entries that it leaves.
func (ta *Table) Leave() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.leaving = true
}

// Systems returns the systems that run over the table, in order.
func (ta *Table) Systems() []tick.System {
	return []tick.System{
		{Name: "roster-silence", Run: func(now time.Time) { ta.run(now, ta.judge) }},
		{Name: "roster-removal", Run: func(now time.Time) { ta.run(now, ta.expire) }},
		{Name: "roster-exchange", Run: func(now time.Time) { ta.run(now, ta.exchange) }},
	}
}

// run runs a step with the table locked, then takes out what it decided.
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

// flush tells of endpoints that changed, each change once and in order.
func (ta *Table) flush() {
	ta.notify.Lock()
	defer ta.notify.Unlock()
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

// refresh derives an attendant's endpoints anew and notes what changed.
func (ta *Table) refresh(ro *row) {
	before := ro.endpoints
	ro.endpoints = ta.derive(ro)
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

// derive returns the endpoints of an attendant, or none if it is gone or its
// card is missing.
func (ta *Table) derive(ro *row) []Endpoint {
	if ro.news.Doubt == Gone || !ro.carded {
		return nil
	}
	ens := make([]Endpoint, 0, len(ro.card.Endpoints))
	for i, ce := range ro.card.Endpoints {
		if i >= len(ro.news.Endpoints) {
			break
		}
		ne := ro.news.Endpoints[i]
		ens = append(ens, Endpoint{
			address:       ro.card.Address,
			attendant:     ro.news.Instance,
			dataFolder:    ro.card.DataFolder,
			failureDomain: ro.card.FailureDomain,
			heard:         ro.heard,
			id:            ce.ID,
			incarnation:   ro.news.Incarnation,
			running:       ne.Running,
			service:       ce.Service,
			state:         ta.stateOf(ro, ne.State),
			version:       ne.Version,
			waiting:       ne.Waiting,
		})
	}
	return ens
}

// stateOf returns what an endpoint may be given, from the attendant's word and
// this entry's judgement.
func (ta *Table) stateOf(ro *row, reported State) State {
	switch {
	case ro.news.Leaving || reported == Leaving:
		return Leaving
	case reported == Unhealthy:
		return Unhealthy
	case ro.news.Doubt == Silent || ta.unreachable(ro.via):
		return Suspect
	default:
		return reported
	}
}
