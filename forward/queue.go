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

// pumpInterval is the interval at which a queue is processed without other events, since limits recover
// and queued requests expire with time.
const pumpInterval = 5 * time.Millisecond

// A ticket is a queued request.
type ticket struct {
	done     chan struct{} // closed when endpoint or refusal is set
	endpoint directory.Endpoint
	refusal  *admission.Refusal
	request  *request
}

// A serviceQueue is the queue of a service.
type serviceQueue struct {
	lastID   uint64 // last ID assigned
	timerSet bool   // a timer for pump is set
	queue    admission.Queue
	tickets  map[uint64]*ticket
}

// serviceQueues are the queues of a forwarder.
type serviceQueues struct {
	byService map[string]*serviceQueue
	mu        sync.Mutex
	retries   map[string]*admission.RetryHistogram // by route
}

// maxRoutes is the maximum number of routes with an entry in serviceQueues.retries.
const maxRoutes = 1000

// retryHistogram returns the histogram of a route. The caller holds the lock.
func (qs *serviceQueues) retryHistogram(route string) *admission.RetryHistogram {
	rh, ok := qs.retries[route]
	if !ok {
		if qs.retries == nil || len(qs.retries) >= maxRoutes {
			qs.retries = map[string]*admission.RetryHistogram{}
		}
		rh = &admission.RetryHistogram{}
		qs.retries[route] = rh
	}
	return rh
}

// queue returns the queue of a service. The caller holds the lock.
func (qs *serviceQueues) queue(service string) *serviceQueue {
	sq, ok := qs.byService[service]
	if !ok {
		if qs.byService == nil {
			qs.byService = map[string]*serviceQueue{}
		}
		sq = &serviceQueue{tickets: map[uint64]*ticket{}}
		qs.byService[service] = sq
	}
	return sq
}

// waiting returns the number of queued requests of a service.
func (qs *serviceQueues) waiting(service string) int {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	sq, ok := qs.byService[service]
	if !ok {
		return 0
	}
	return sq.queue.Len()
}

// awaitCapacity returns the endpoint for a request's first attempt, counted as in flight there, or the
// rejection of the request; neither if no endpoint is known or ctx ends. It waits only if no endpoint
// has capacity.
func (fo *Forwarder) awaitCapacity(ctx context.Context, rq *request) (directory.Endpoint, *admission.Refusal) {
	en, ti := fo.enqueue(rq)
	if ti == nil {
		return en, nil
	}
	select {
	case <-ti.done:
	case <-ctx.Done():
		fo.dequeue(rq, ti)
	}
	return ti.endpoint, ti.refusal
}

// candidates are the endpoints that requests of a queue may be sent to.
type candidates struct {
	domain string
	ens    []directory.Endpoint
	table  *Table
}

// An assignment is a queued request with the endpoint that it is sent to.
type assignment struct {
	admission.Waiter
	endpoint directory.Endpoint
}

// admit returns an endpoint for a request, or queues it and returns the requests that are rejected,
// itself or others. Fresh is the goal that the request would have as a first attempt.
func (sq *serviceQueue) admit(ca candidates, wa admission.Waiter, fresh, now time.Time) (directory.Endpoint, bool, []admission.Refusal) {
	sq.queue.Arrived(now)
	if sq.queue.Len() == 0 {
		if en, ok := ca.table.PickAvailable(ca.ens, nil, ca.domain, now, inTime(wa.Goal)); ok {
			return en, true, nil
		}
	}
	fc := ca.table.Forecast(ca.ens, now)
	if sq.queue.Len() == 0 && !sq.queue.MeetsGoal(wa, fc, now) {
		fits := anyTime
		if sq.queue.Refusing(now) {
			fits = spareOnly(fresh)
		}
		if en, ok := ca.table.PickAvailable(ca.ens, nil, ca.domain, now, fits); ok {
			return en, true, nil
		}
	}
	return directory.Endpoint{}, false, sq.queue.Enqueue(wa, fc, now)
}

// dispatch removes and returns the requests for which there is capacity, and those that are rejected
// because they reached their maximum time in the queue.
func (sq *serviceQueue) dispatch(ca candidates, now time.Time) ([]assignment, []admission.Refusal) {
	var out []assignment
	sq.queue.Next(now, func(wa admission.Waiter, late bool) bool {
		fits := anyTime
		if !late {
			fits = inTime(wa.Goal)
		}
		en, ok := ca.table.PickAvailable(ca.ens, nil, ca.domain, now, fits)
		if ok {
			out = append(out, assignment{Waiter: wa, endpoint: en})
		}
		return ok
	})
	return out, sq.queue.Expire(ca.table.Forecast(ca.ens, now), now)
}

// enqueue returns an endpoint for a request, or the ticket of the queued request; neither if no
// endpoint is known.
func (fo *Forwarder) enqueue(rq *request) (directory.Endpoint, *ticket) {
	qs := &fo.queues
	qs.mu.Lock()
	defer qs.mu.Unlock()
	now := time.Now()
	rh := qs.retryHistogram(rq.route.Name)
	rh.Observe(rq.remaining)
	rq.elapsed = rh.Elapsed(rq.remaining)
	ca := candidates{domain: fo.Domain, ens: fo.Directory.Endpoints(rq.service), table: &fo.table}
	if !anyAvailable(ca.ens) {
		return directory.Endpoint{}, nil
	}
	sq := qs.queue(rq.service)
	sq.lastID++
	wa := admission.Waiter{Arrived: rq.received, Customer: rq.customer, ID: sq.lastID, Deadlines: rq.deadlines(), Priority: rq.priority}
	en, ok, refused := sq.admit(ca, wa, wa.Goal.Add(rq.elapsed), now)
	if ok {
		return en, nil
	}
	ti := &ticket{done: make(chan struct{}), request: rq}
	sq.tickets[wa.ID] = ti
	sq.rejectAll(refused)
	fo.pumpLocked(rq.service, sq, now)
	return directory.Endpoint{}, ti
}

// anyAvailable reports whether any endpoint accepts new requests.
func anyAvailable(ens []directory.Endpoint) bool {
	for _, en := range ens {
		if !en.Leaving {
			return true
		}
	}
	return false
}

// deadlines returns the time limits of the request.
func (rq *request) deadlines() admission.Deadlines {
	de := admission.Deadlines{Deadline: rq.deadline, Goal: rq.deadline}
	if goal := rq.received.Add(rq.route.Goal - rq.elapsed); rq.route.Goal > 0 && goal.Before(de.Goal) {
		de.Goal = goal
	}
	return de
}

// dequeue removes a queued request whose caller has disconnected or whose deadline has passed.
func (fo *Forwarder) dequeue(rq *request, ti *ticket) {
	fo.queues.mu.Lock()
	defer fo.queues.mu.Unlock()
	sq := fo.queues.queue(rq.service)
	for id, other := range sq.tickets {
		if other == ti {
			sq.queue.Remove(id)
			delete(sq.tickets, id)
		}
	}
	fo.updateQueueMetric(rq.service, sq)
}

// contended reports whether a request of a service was recently queued or rejected.
func (fo *Forwarder) contended(service string) bool {
	fo.queues.mu.Lock()
	defer fo.queues.mu.Unlock()
	sq, ok := fo.queues.byService[service]
	return ok && sq.queue.Contended(time.Now())
}

// pump processes the queue of a service.
func (fo *Forwarder) pump(service string) {
	fo.queues.mu.Lock()
	defer fo.queues.mu.Unlock()
	if sq, ok := fo.queues.byService[service]; ok && sq.queue.Len() > 0 {
		fo.pumpLocked(service, sq, time.Now())
	}
}

// pumpLocked is pump for a caller that holds the lock.
func (fo *Forwarder) pumpLocked(service string, sq *serviceQueue, now time.Time) {
	assigned, refused := sq.dispatch(candidates{domain: fo.Domain, ens: fo.Directory.Endpoints(service), table: &fo.table}, now)
	for _, as := range assigned {
		fo.Metrics.GetOrCreateHistogram(`wisteriacroft_live_wait_seconds`).Update(now.Sub(as.Arrived).Seconds())
		if ti, ok := sq.tickets[as.ID]; ok {
			ti.endpoint = as.endpoint
		}
		sq.complete(as.ID, nil)
	}
	sq.rejectAll(refused)
	fo.updateQueueMetric(service, sq)
	if sq.queue.Len() > 0 && !sq.timerSet {
		sq.timerSet = true
		time.AfterFunc(pumpInterval, func() {
			fo.queues.mu.Lock()
			sq.timerSet = false
			fo.queues.mu.Unlock()
			fo.pump(service)
		})
	}
}

// rejectAll completes rejected requests.
func (sq *serviceQueue) rejectAll(res []admission.Refusal) {
	for _, re := range res {
		sq.complete(re.ID, &re)
	}
}

// complete completes a queued request, with a rejection unless re is nil.
func (sq *serviceQueue) complete(id uint64, re *admission.Refusal) {
	ti, ok := sq.tickets[id]
	if !ok {
		return
	}
	delete(sq.tickets, id)
	ti.refusal = re
	close(ti.done)
}

// updateQueueMetric updates the metric of the queue length.
func (fo *Forwarder) updateQueueMetric(service string, sq *serviceQueue) {
	fo.Metrics.GetOrCreateGauge(`wisteriacroft_live_waiting{service="`+service+`"}`, nil).Set(float64(sq.queue.Len()))
}

// refusalFields returns log fields for a rejection.
func refusalFields(rq *request, re *admission.Refusal) logrus.Fields {
	return logrus.Fields{
		"arrivals": math.Round(re.Arrivals), "deadline-ms": re.Deadline.Sub(re.Arrived).Milliseconds(),
		"expected-ms": re.Outlook.Expected.Milliseconds(), "goal-ms": re.Goal.Sub(re.Arrived).Milliseconds(), "late": re.Late,
		"rate": math.Round(re.Outlook.Rate), "reason": string(re.Reason), "retry-after-ms": re.RetryAfter.Milliseconds(),
		"standing": re.Standing, "used-ms": rq.elapsed.Milliseconds(), "waited-ms": re.Waited.Milliseconds(), "waiting": re.Length,
	}
}
