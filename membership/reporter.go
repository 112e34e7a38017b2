package membership

import (
	"cmp"
	"sync"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/tick"
)

// A Reporter tells entries of an attendant's endpoints: what changed at once,
// and all of it seldom. The zero Reporter is ready to use; set its fields and
// add the endpoints before the first tick. Its methods may be called from
// several goroutines.
type Reporter struct {
	// Address is the IP:port of this attendant.
	Address string
	// BeatInterval is how often it reports when nothing changes.
	BeatInterval time.Duration
	// DataFolder says that this attendant takes payloads.
	DataFolder bool
	// FailureDomain is where it runs.
	FailureDomain string
	// Incarnation is higher than that of any earlier start of the instance.
	Incarnation uint64
	// Instance is its id.
	Instance string
	// LeavingFunc is told once when an entry says that the platform takes the
	// instance away.
	LeavingFunc func()
	// SendFunc sends to an entry and returns at once; it calls done later,
	// exactly once.
	SendFunc func(address string, rq ReportRequest, done func(ReportResponse, error))

	busy     map[string]bool // entries that a report is on its way to
	carded   map[string]bool // entries that have the card
	changed  bool            // since the last report that was answered
	entries  []instancelist.Instance
	failed   map[string]time.Time // entries not to be asked before
	failures map[string]int       // in a row
	home     string
	mu       sync.Mutex
	news     StateUpdate
	card     Descriptor
	next     time.Time
	sends    []func()
	spread   []string // entries that have still to be told that it leaves
}

// Add adds an endpoint, which is Unhealthy until Set says better.
func (rp *Reporter) Add(id, service string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.card.Endpoints = append(rp.card.Endpoints, EndpointDescriptor{ID: id, Service: service})
	rp.news.Endpoints = append(rp.news.Endpoints, EndpointUpdate{State: Unhealthy})
}

// Set notes what an endpoint's state, observed version and load are now. A
// Leaving endpoint stays Leaving.
func (rp *Reporter) Set(id string, st State, ve engine.Version, running, waiting int) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	for i, ce := range rp.card.Endpoints {
		if ce.ID != id {
			continue
		}
		ne := &rp.news.Endpoints[i]
		if ne.State == Leaving {
			st = Leaving
		}
		if ne.State != st || ne.Version != ve {
			rp.news.Sequence++
			rp.changed = true
		}
		*ne = EndpointUpdate{State: st, Version: ve, Running: running, Waiting: waiting}
	}
}

// Leave makes the attendant tell that it takes no new work, for good.
func (rp *Reporter) Leave() {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.leave()
}

// leave is Leave for callers that hold mu.
func (rp *Reporter) leave() {
	if rp.news.Leaving {
		return
	}
	rp.news.Leaving = true
	rp.news.Sequence++
	rp.changed = true
	// The home may die right after it took the word, so a second entry spreads
	// it too.
	for i, in := range rp.candidates(time.Now()) {
		if i < leavingHomes {
			rp.spread = append(rp.spread, in.ID)
		}
	}
}

// EntryID returns the entry that the attendant reports to, or "".
func (rp *Reporter) EntryID() string {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.home
}

// ObserveList takes the platform's list of instances.
func (rp *Reporter) ObserveList(ins []instancelist.Instance) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	var entries []instancelist.Instance
	for _, in := range ins {
		if in.Role == entryRole && !leaves(in) {
			entries = append(entries, in)
		}
	}
	if len(entries) > 0 {
		rp.entries = choose(rp.Instance, rp.FailureDomain, entries)
	}
}

// Systems returns the systems that run for the reporter.
func (rp *Reporter) Systems() []tick.System {
	return []tick.System{{Name: "roster-report", Run: func(now time.Time) { rp.run(now, rp.report) }}}
}

// run makes a step under the lock, and sends after it what the step queued.
func (rp *Reporter) run(now time.Time, step func(now time.Time)) {
	rp.mu.Lock()
	step(now)
	sends := rp.sends
	rp.sends = nil
	rp.mu.Unlock()
	for _, send := range sends {
		send()
	}
}

// report sends a report if something changed or a beat is due.
func (rp *Reporter) report(now time.Time) {
	ins := rp.candidates(now)
	if len(ins) == 0 {
		return
	}
	rp.tellLeaving(ins)
	home := ins[0]
	moved := home.ID != rp.home
	if rp.busy[home.ID] || !rp.changed && !moved && now.Before(rp.next) {
		return
	}
	rp.home = home.ID
	rp.next = now.Add(cmp.Or(rp.BeatInterval, DefaultHeartbeatInterval))
	rp.send(home)
}

// tellLeaving tells a second entry that the attendant leaves.
func (rp *Reporter) tellLeaving(ins []instancelist.Instance) {
	spread := rp.spread
	rp.spread = nil
	for _, in := range ins {
		for _, id := range spread {
			if in.ID == id && id != ins[0].ID {
				rp.send(in)
			}
		}
	}
}

// candidates returns the entries that may be asked, the best first; all, if
// each has failed lately.
func (rp *Reporter) candidates(now time.Time) []instancelist.Instance {
	var ins []instancelist.Instance
	for _, in := range rp.entries {
		if !now.Before(rp.failed[in.ID]) {
			ins = append(ins, in)
		}
	}
	if len(ins) == 0 && !now.Before(rp.next) {
		return rp.entries
	}
	return ins
}

// send queues a report to an entry, with the card if the entry may lack it.
func (rp *Reporter) send(in instancelist.Instance) {
	if rp.busy == nil {
		rp.busy, rp.carded = map[string]bool{}, map[string]bool{}
		rp.failed, rp.failures = map[string]time.Time{}, map[string]int{}
	}
	rp.news.Beat++
	ne := rp.news
	ne.Instance, ne.Incarnation = rp.Instance, rp.Incarnation
	ne.Endpoints = append([]EndpointUpdate(nil), rp.news.Endpoints...)
	if !rp.carded[in.ID] {
		ne.Card = &Descriptor{
			Address:       rp.Address,
			DataFolder:    rp.DataFolder,
			Endpoints:     rp.card.Endpoints,
			FailureDomain: rp.FailureDomain,
		}
	}
	rq := ReportRequest{News: ne}
	rp.busy[in.ID] = true
	if in.ID == rp.home {
		rp.changed = false
	}
	rp.sends = append(rp.sends, func() {
		rp.SendFunc(in.Address, rq, func(an ReportResponse, err error) { rp.sent(in.ID, an, err) })
	})
}

// fail leaves out an entry that did not answer, longer each time: each try
// costs the time of a call in which nothing is reported.
func (rp *Reporter) fail(entry string) {
	wait := min(shortestFailure<<min(rp.failures[entry], 10), longestFailure)
	rp.failures[entry]++
	rp.failed[entry] = time.Now().Add(wait)
}

// sent takes the outcome of a report.
func (rp *Reporter) sent(entry string, an ReportResponse, err error) {
	rp.mu.Lock()
	rp.busy[entry] = false
	warn := false
	switch {
	case err != nil:
		rp.fail(entry)
		rp.carded[entry] = false
		rp.changed = true
	case an.EntryLeaving:
		rp.failed[entry] = time.Now().Add(longestFailure)
		rp.carded[entry] = true
	default:
		rp.failures[entry] = 0
		rp.carded[entry] = !an.WantCard
		rp.changed = rp.changed || an.WantCard
	}
	if err == nil && an.Leaving && !rp.news.Leaving {
		warn = true
		rp.leave()
	}
	rp.mu.Unlock()
	if warn && rp.LeavingFunc != nil {
		rp.LeavingFunc()
	}
}
