package membership

import (
	"cmp"
	"sync"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/tick"
)

// A Reporter reports an attendant's endpoints to an entry, on each change and periodically. The
// zero value is ready to use; set its fields and add the endpoints before the first tick. It is
// safe for concurrent use.
type Reporter struct {
	// Address is the IP:port of this attendant.
	Address string
	// BeatInterval is the interval of reports without changes; default
	// DefaultHeartbeatInterval.
	BeatInterval time.Duration
	// DataFolder means that this attendant accepts payloads.
	DataFolder bool
	// FailureDomain is where it runs.
	FailureDomain string
	// Incarnation is higher than those of earlier runs of the instance.
	Incarnation uint64
	// Instance is the ID of this attendant's instance.
	Instance string
	// LeavingFunc is called once if an entry responds that the instance is leaving.
	LeavingFunc func()
	// SendFunc sends to an entry without blocking; it calls done later, exactly once.
	SendFunc func(address string, rq ReportRequest, done func(ReportResponse, error))

	inFlight      map[string]bool // entries with an unfinished report
	hasDescriptor map[string]bool // entries that have the descriptor
	changed       bool            // since the last acknowledged report
	entries       []instancelist.Instance
	retryAt       map[string]time.Time // when failed entries may be used again
	failures      map[string]int       // consecutive failures by entry
	entryID       string
	mu            sync.Mutex
	state         StateUpdate
	descriptor    Descriptor
	nextReport    time.Time
	sends         []func()
	notifyLeaving []string // entries still to be notified that it is leaving
}

// Add adds an endpoint, which is Unhealthy until the first Set.
func (rp *Reporter) Add(id, service string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.descriptor.Endpoints = append(rp.descriptor.Endpoints, EndpointDescriptor{ID: id, Service: service})
	rp.state.Endpoints = append(rp.state.Endpoints, EndpointUpdate{State: Unhealthy})
}

// Set sets an endpoint's state, observed version and load. A Leaving endpoint stays Leaving.
func (rp *Reporter) Set(id string, st State, ve engine.Version, running, waiting int) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	for i, ed := range rp.descriptor.Endpoints {
		if ed.ID != id {
			continue
		}
		up := &rp.state.Endpoints[i]
		if up.State == Leaving {
			st = Leaving
		}
		if up.State != st || up.Version != ve {
			rp.state.Sequence++
			rp.changed = true
		}
		*up = EndpointUpdate{State: st, Version: ve, Running: running, Waiting: waiting}
	}
}

// Leave makes the attendant report that it is leaving, permanently.
func (rp *Reporter) Leave() {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.leave()
}

// leave is Leave for callers that hold mu.
func (rp *Reporter) leave() {
	if rp.state.Leaving {
		return
	}
	rp.state.Leaving = true
	rp.state.Sequence++
	rp.changed = true
	// The first entry may die before it propagates this, so it is reported to a second one too.
	for i, in := range rp.candidates(time.Now()) {
		if i < leavingReports {
			rp.notifyLeaving = append(rp.notifyLeaving, in.ID)
		}
	}
}

// EntryID returns the entry that the attendant reports to, or "".
func (rp *Reporter) EntryID() string {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.entryID
}

// ObserveList updates the entries from the platform's list of instances. A list without usable
// entries is ignored.
func (rp *Reporter) ObserveList(ins []instancelist.Instance) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	var entries []instancelist.Instance
	for _, in := range ins {
		if in.Role == entryRole && !isLeaving(in) {
			entries = append(entries, in)
		}
	}
	if len(entries) > 0 {
		rp.entries = rankEntries(rp.Instance, rp.FailureDomain, entries)
	}
}

// Systems returns the systems to run periodically for the reporter.
func (rp *Reporter) Systems() []tick.System {
	return []tick.System{{Name: "roster-report", Run: func(now time.Time) { rp.run(now, rp.report) }}}
}

// run calls step under the lock, and afterwards sends what it queued.
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

// report queues a report if something changed or a heartbeat is due.
func (rp *Reporter) report(now time.Time) {
	ins := rp.candidates(now)
	if len(ins) == 0 {
		return
	}
	rp.sendLeaving(ins)
	preferred := ins[0]
	moved := preferred.ID != rp.entryID
	if rp.inFlight[preferred.ID] || !rp.changed && !moved && now.Before(rp.nextReport) {
		return
	}
	rp.entryID = preferred.ID
	rp.nextReport = now.Add(cmp.Or(rp.BeatInterval, DefaultHeartbeatInterval))
	rp.send(preferred)
}

// sendLeaving queues reports to the entries in notifyLeaving other than the preferred one, which
// gets a regular report.
func (rp *Reporter) sendLeaving(ins []instancelist.Instance) {
	ids := rp.notifyLeaving
	rp.notifyLeaving = nil
	for _, in := range ins {
		for _, id := range ids {
			if in.ID == id && id != ins[0].ID {
				rp.send(in)
			}
		}
	}
}

// candidates returns the entries that may be used, by preference. If all are in backoff and a
// heartbeat is due, it returns all.
func (rp *Reporter) candidates(now time.Time) []instancelist.Instance {
	var ins []instancelist.Instance
	for _, in := range rp.entries {
		if !now.Before(rp.retryAt[in.ID]) {
			ins = append(ins, in)
		}
	}
	if len(ins) == 0 && !now.Before(rp.nextReport) {
		return rp.entries
	}
	return ins
}

// send queues a report to an entry, with the descriptor if the entry may lack it.
func (rp *Reporter) send(in instancelist.Instance) {
	if rp.inFlight == nil {
		rp.inFlight, rp.hasDescriptor = map[string]bool{}, map[string]bool{}
		rp.retryAt, rp.failures = map[string]time.Time{}, map[string]int{}
	}
	rp.state.Beat++
	up := rp.state
	up.Instance, up.Incarnation = rp.Instance, rp.Incarnation
	up.Endpoints = append([]EndpointUpdate(nil), rp.state.Endpoints...)
	if !rp.hasDescriptor[in.ID] {
		up.Card = &Descriptor{
			Address:       rp.Address,
			DataFolder:    rp.DataFolder,
			Endpoints:     rp.descriptor.Endpoints,
			FailureDomain: rp.FailureDomain,
		}
	}
	rq := ReportRequest{News: up}
	rp.inFlight[in.ID] = true
	if in.ID == rp.entryID {
		rp.changed = false
	}
	rp.sends = append(rp.sends, func() {
		rp.SendFunc(in.Address, rq, func(re ReportResponse, err error) { rp.handleResponse(in.ID, re, err) })
	})
}

// backOff excludes an entry that did not respond, with exponential backoff: during each failing
// call nothing is reported.
func (rp *Reporter) backOff(entry string) {
	wait := min(minBackoff<<min(rp.failures[entry], 10), maxBackoff)
	rp.failures[entry]++
	rp.retryAt[entry] = time.Now().Add(wait)
}

// handleResponse handles the result of a report.
func (rp *Reporter) handleResponse(entry string, re ReportResponse, err error) {
	rp.mu.Lock()
	rp.inFlight[entry] = false
	leaving := false
	switch {
	case err != nil:
		rp.backOff(entry)
		rp.hasDescriptor[entry] = false
		rp.changed = true
	case re.EntryLeaving:
		rp.retryAt[entry] = time.Now().Add(maxBackoff)
		rp.hasDescriptor[entry] = true
	default:
		rp.failures[entry] = 0
		rp.hasDescriptor[entry] = !re.WantCard
		rp.changed = rp.changed || re.WantCard
	}
	if err == nil && re.Leaving && !rp.state.Leaving {
		leaving = true
		rp.leave()
	}
	rp.mu.Unlock()
	if leaving && rp.LeavingFunc != nil {
		rp.LeavingFunc()
	}
}
