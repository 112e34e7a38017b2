package forward

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

// pumpEvery is how often those that wait are looked at while nothing else happens:
// some endpoints have room again by time alone, and patience ends.
const pumpEvery = 5 * time.Millisecond

// A ticket is a request that waits for room.
type ticket struct {
	done     chan struct{} // closed once the rest is set
	endpoint directory.Endpoint
	refusal  *admission.Refusal
	request  *request
}

// A line is the requests of a service that wait for room.
type line struct {
	next    uint64 // ID
	pumping bool   // a pump is due
	queue   admission.Queue
	tickets map[uint64]*ticket
}

// lines are a forwarder's lines, by service.
type lines struct {
	byService map[string]*line
	mu        sync.Mutex
	tries     map[string]*admission.RetryHistogram // by route
}

// maxRoutes bounds the routes of which the tries are known.
const maxRoutes = 1000

// triesOf returns what is known of the tries of a route's callers. The lock is held.
func (ls *lines) triesOf(route string) *admission.RetryHistogram {
	tr, ok := ls.tries[route]
	if !ok {
		if ls.tries == nil || len(ls.tries) >= maxRoutes {
			ls.tries = map[string]*admission.RetryHistogram{}
		}
		tr = &admission.RetryHistogram{}
		ls.tries[route] = tr
	}
	return tr
}

// line returns a service's line. The lock is held.
func (ls *lines) line(service string) *line {
	li, ok := ls.byService[service]
	if !ok {
		if ls.byService == nil {
			ls.byService = map[string]*line{}
		}
		li = &line{tickets: map[uint64]*ticket{}}
		ls.byService[service] = li
	}
	return li
}

// waiting returns how many requests wait for a service.
func (ls *lines) waiting(service string) int {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	li, ok := ls.byService[service]
	if !ok {
		return 0
	}
	return li.queue.Len()
}

// awaitRoom returns the endpoint for a request's first attempt, counted as in flight
// there, or why the request is refused; neither if no endpoint is known. A request
// that finds room waits for nothing.
func (fo *Forwarder) awaitRoom(ctx context.Context, rq *request) (directory.Endpoint, *admission.Refusal) {
	en, ti := fo.enqueue(rq)
	if ti == nil {
		return en, nil
	}
	select {
	case <-ti.done:
	case <-ctx.Done():
		fo.abandon(rq, ti)
	}
	return ti.endpoint, ti.refusal
}

// destinations are where requests of a line may go.
type destinations struct {
	domain string
	ens    []directory.Endpoint
	table  *Table
}

// A placed is a waiter for which an endpoint has room.
type placed struct {
	admission.Waiter
	endpoint directory.Endpoint
}

// admit lets a request go on to an endpoint, makes it wait, or refuses it or another.
// Fresh is the goal of one that came now for the first time.
func (li *line) admit(de destinations, wa admission.Waiter, fresh, now time.Time) (directory.Endpoint, bool, []admission.Refusal) {
	li.queue.Arrived(now)
	if li.queue.Len() == 0 {
		if en, ok := de.table.PickAvailable(de.ens, nil, de.domain, now, inTime(wa.Goal)); ok {
			return en, true, nil
		}
	}
	ou := de.table.Forecast(de.ens, now)
	if li.queue.Len() == 0 && !li.queue.MeetsGoal(wa, ou, now) {
		fits := anyTime
		if li.queue.Refusing(now) {
			fits = leftOver(fresh)
		}
		if en, ok := de.table.PickAvailable(de.ens, nil, de.domain, now, fits); ok {
			return en, true, nil
		}
	}
	return directory.Endpoint{}, false, li.queue.Enqueue(wa, ou, now)
}

// advance lets those go on for whom there is room, and refuses those that have waited
// as long as they may.
func (li *line) advance(de destinations, now time.Time) ([]placed, []admission.Refusal) {
	var out []placed
	li.queue.Next(now, func(wa admission.Waiter, late bool) bool {
		fits := anyTime
		if !late {
			fits = inTime(wa.Goal)
		}
		en, ok := de.table.PickAvailable(de.ens, nil, de.domain, now, fits)
		if ok {
			out = append(out, placed{Waiter: wa, endpoint: en})
		}
		return ok
	})
	return out, li.queue.Expire(de.table.Forecast(de.ens, now), now)
}

// enqueue lets a request go on to an endpoint, or makes it wait.
func (fo *Forwarder) enqueue(rq *request) (directory.Endpoint, *ticket) {
	ls := &fo.lines
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := time.Now()
	tr := ls.triesOf(rq.route.Name)
	tr.Observe(rq.left)
	rq.used = tr.Elapsed(rq.left)
	de := destinations{domain: fo.Domain, ens: fo.Directory.Endpoints(rq.service), table: &fo.table}
	if !reachable(de.ens) {
		return directory.Endpoint{}, nil
	}
	li := ls.line(rq.service)
	li.next++
	wa := admission.Waiter{Arrived: rq.received, Customer: rq.customer, ID: li.next, Deadlines: rq.needs(), Priority: rq.priority}
	en, ok, refused := li.admit(de, wa, wa.Goal.Add(rq.used), now)
	if ok {
		return en, nil
	}
	ti := &ticket{done: make(chan struct{}), request: rq}
	li.tickets[wa.ID] = ti
	li.turnAway(refused)
	fo.pumpLine(rq.service, li, now)
	return directory.Endpoint{}, ti
}

// reachable reports whether any endpoint takes new requests.
func reachable(ens []directory.Endpoint) bool {
	for _, en := range ens {
		if !en.Leaving {
			return true
		}
	}
	return false
}

// needs returns what the request needs to be of use.
func (rq *request) needs() admission.Deadlines {
	ne := admission.Deadlines{Deadline: rq.deadline, Goal: rq.deadline}
	if goal := rq.received.Add(rq.route.Goal - rq.used); rq.route.Goal > 0 && goal.Before(ne.Goal) {
		ne.Goal = goal
	}
	return ne
}

// abandon takes a request out of its line whose caller has left or whose time is up.
func (fo *Forwarder) abandon(rq *request, ti *ticket) {
	fo.lines.mu.Lock()
	defer fo.lines.mu.Unlock()
	li := fo.lines.line(rq.service)
	for id, other := range li.tickets {
		if other == ti {
			li.queue.Remove(id)
			delete(li.tickets, id)
		}
	}
	fo.measureLine(rq.service, li)
}

// tight reports whether someone had to wait for a service of late.
func (fo *Forwarder) tight(service string) bool {
	fo.lines.mu.Lock()
	defer fo.lines.mu.Unlock()
	li, ok := fo.lines.byService[service]
	return ok && li.queue.Contended(time.Now())
}

// pump lets those go on that wait for a service, as far as there is room.
func (fo *Forwarder) pump(service string) {
	fo.lines.mu.Lock()
	defer fo.lines.mu.Unlock()
	if li, ok := fo.lines.byService[service]; ok && li.queue.Len() > 0 {
		fo.pumpLine(service, li, time.Now())
	}
}

// pumpLine is pump for who holds the lock.
func (fo *Forwarder) pumpLine(service string, li *line, now time.Time) {
	gone, refused := li.advance(destinations{domain: fo.Domain, ens: fo.Directory.Endpoints(service), table: &fo.table}, now)
	for _, pl := range gone {
		fo.Metrics.GetOrCreateHistogram(`wisteriacroft_live_wait_seconds`).Update(now.Sub(pl.Arrived).Seconds())
		if ti, ok := li.tickets[pl.ID]; ok {
			ti.endpoint = pl.endpoint
		}
		li.settle(pl.ID, nil)
	}
	li.turnAway(refused)
	fo.measureLine(service, li)
	if li.queue.Len() > 0 && !li.pumping {
		li.pumping = true
		time.AfterFunc(pumpEvery, func() {
			fo.lines.mu.Lock()
			li.pumping = false
			fo.lines.mu.Unlock()
			fo.pump(service)
		})
	}
}

// turnAway tells those that are refused.
func (li *line) turnAway(res []admission.Refusal) {
	for _, re := range res {
		li.settle(re.ID, &re)
	}
}

// settle ends a request's wait.
func (li *line) settle(id uint64, re *admission.Refusal) {
	ti, ok := li.tickets[id]
	if !ok {
		return
	}
	delete(li.tickets, id)
	ti.refusal = re
	close(ti.done)
}

// measureLine tells how many requests wait for a service.
func (fo *Forwarder) measureLine(service string, li *line) {
	fo.Metrics.GetOrCreateGauge(`wisteriacroft_live_waiting{service="`+service+`"}`, nil).Set(float64(li.queue.Len()))
}

// refusalFields are what decided on a request that is refused.
func refusalFields(rq *request, re *admission.Refusal) logrus.Fields {
	return logrus.Fields{
		"arrivals": math.Round(re.Arrivals), "deadline-ms": re.Deadline.Sub(re.Arrived).Milliseconds(),
		"expected-ms": re.Outlook.Expected.Milliseconds(), "goal-ms": re.Goal.Sub(re.Arrived).Milliseconds(), "late": re.Late,
		"rate": math.Round(re.Outlook.Rate), "reason": string(re.Reason), "retry-after-ms": re.RetryAfter.Milliseconds(),
		"standing": re.Standing, "used-ms": rq.used.Milliseconds(), "waited-ms": re.Waited.Milliseconds(), "waiting": re.Length,
	}
}
