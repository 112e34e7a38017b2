package forward

import (
	"sync"
	"time"

	"wisteriacroft/scale"
)

// loads measure the load of services, as input for scaling. The zero loads is ready to use.
type loads struct {
	mu   sync.Mutex
	rows map[string]*loadRow // by service
}

// A loadRow is the load of a service since the last collect.
type loadRow struct {
	inFlight int // at endpoints
	seen     scale.Observation
	since    time.Time // last collect
	until    time.Time // end of the time included in seen.Busy
}

// row returns the row of a service with seen.Busy updated to now. The caller holds the lock.
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

// begin records that a request is sent to an endpoint.
func (ls *loads) begin(service string, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ro := ls.row(service, now)
	ro.inFlight++
	ro.seen.Begun++
}

// end records that an endpoint has finished a request, or did not run it. Then its begin is not
// counted, unless collected before.
func (ls *loads) end(service string, notRun bool, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ro := ls.row(service, now)
	ro.inFlight--
	if notRun && ro.seen.Begun > 0 {
		ro.seen.Begun--
	}
}

// refuse records that a request was rejected for lack of capacity.
func (ls *loads) refuse(service string, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.row(service, now).seen.Refused++
}

// collect returns and resets the load of a service, except for the requests in flight.
func (ls *loads) collect(service string, now time.Time) scale.Observation {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ro := ls.row(service, now)
	se := ro.seen
	se.Span = now.Sub(ro.since)
	ro.seen, ro.since = scale.Observation{}, now
	return se
}

// Loads returns the load of each scaled plain service since the previous call; nil if there are none.
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
		se.Waiting = fo.queues.waiting(sv.Name)
		out[sv.Name] = se
	}
	return out
}

// countRejected counts a request as rejected if it did not run for lack of capacity: it was rejected by
// the queue or by the endpoints that it was sent to. A request that was rejected because of its
// customer's limit or of quarantine needs no more endpoints.
func (fo *Forwarder) countRejected(rq *request, re *result) {
	if re.notRun && re.heldFor == 0 && (re.refusal != nil || len(re.tried) > 0) {
		fo.loads.refuse(rq.service, time.Now())
	}
}
