package forward

import (
	"sync"
	"time"

	"wisteriacroft/scale"
)

// loads count what requests ask of services, for whoever orders endpoints by it. The zero
// loads is ready to use.
type loads struct {
	mu   sync.Mutex
	rows map[string]*loadRow // by service
}

// A loadRow is what was seen of a service since it was collected last.
type loadRow struct {
	inFlight int // at endpoints
	seen     scale.Observation
	since    time.Time // it was collected last
	until    time.Time // up to which seen.Busy is counted
}

// row returns a service's row, counted up to now. The lock is held.
func (ls *loads) row(service string, now time.Time) *loadRow {
	if ls.rows == nil {
		ls.rows = map[string]*loadRow{}
	}
	ro := ls.rows[service]
	if ro == nil {
		ro = &loadRow{since: now, until: now}
		ls.rows[service] = ro
	}
	if span := now.Sub(ro.until); span > 0 {
		ro.seen.Busy += time.Duration(ro.inFlight) * span
		ro.until = now
	}
	return ro
}

// begin notes that a request is sent to an endpoint.
func (ls *loads) begin(service string, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ro := ls.row(service, now)
	ro.inFlight++
	ro.seen.Begun++
}

// end notes that an endpoint is done with a request, or did not run it. What did not run
// doesn't count as begun, unless its beginning was collected before.
func (ls *loads) end(service string, notRun bool, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ro := ls.row(service, now)
	ro.inFlight--
	if notRun && ro.seen.Begun > 0 {
		ro.seen.Begun--
	}
}

// refuse notes that no place was found for a request.
func (ls *loads) refuse(service string, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.row(service, now).seen.Refused++
}

// collect returns what was seen of a service, and counts from zero again but for what is
// in flight.
func (ls *loads) collect(service string, now time.Time) scale.Observation {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ro := ls.row(service, now)
	se := ro.seen
	se.Span = now.Sub(ro.since)
	ro.seen, ro.since = scale.Observation{}, now
	return se
}

// Loads returns what was seen of the plain services whose endpoints may be ordered, since
// it was called before; nil if there are none.
func (fo *Forwarder) Loads(now time.Time) map[string]scale.Observation {
	co := fo.Directory.Configuration()
	if co == nil {
		return nil
	}
	var out map[string]scale.Observation
	for _, sv := range co.Services {
		if !sv.ScalesPlain() {
			continue
		}
		if out == nil {
			out = map[string]scale.Observation{}
		}
		se := fo.loads.collect(sv.Name, now)
		se.Waiting = fo.lines.waiting(sv.Name)
		out[sv.Name] = se
	}
	return out
}

// noteRefused notes a request that ended without a run if that was for want of places: it
// was refused in its line, or no endpoint that it was sent to ran it. One whose customer has
// all the places that it may have, or that is in quarantine, says nothing of how many
// endpoints are needed.
func (fo *Forwarder) noteRefused(rq *request, re *result) {
	if re.notRun && re.heldFor == 0 && (re.refusal != nil || len(re.tried) > 0) {
		fo.loads.refuse(rq.service, time.Now())
	}
}
