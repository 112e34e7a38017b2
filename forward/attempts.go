package forward

import (
	"context"
	"time"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

// attempts are the attempts of one request.
type attempts struct {
	failures  int // attempts that endpoints answered with an internal error
	forwarder *Forwarder
	heldFor   time.Duration // expected time until its customer has a free slot; 0 if it had one
	ran       bool          // an endpoint may have run the request
	refusal   *admission.Refusal
	request   *request
	results   chan *result
	running   int
	tried     map[string]bool // endpoints, by ID
	waited    time.Duration   // in the queue
}

// A requirement says whether an attempt requires capacity at its endpoint.
type requirement int

// The requirements.
const (
	anyEndpoint    requirement = iota // with or without capacity: internal calls and retries after a failure
	capacityQueued                    // with capacity; the request may be queued
	capacityNow                       // with capacity now, or no attempt
	capacityInTime                    // with capacity now and a response before the goal, or no attempt
)

// launch starts one more attempt and reports whether it did. It needs a slot of the customer, which
// launch releases, and one at an endpoint, which recordResult releases. A queued request already holds
// its customer's slot, so that a customer with a limit cannot fill the queue.
func (at *attempts) launch(ctx context.Context, req requirement) bool {
	fo, rq := at.forwarder, at.request
	if len(at.tried) >= max(rq.route.MaxAttempts, 1) {
		return false
	}
	if ok, free := fo.acquireCustomerSlot(rq); !ok {
		at.heldFor = free
		return false
	}
	en, ok := at.endpoint(ctx, req)
	if !ok {
		fo.releaseCustomerSlot(rq)
		return false
	}
	at.tried[en.ID] = true
	at.running++
	go func() {
		fo.loads.begin(rq.service, time.Now())
		re := fo.send(ctx, rq, en)
		fo.loads.end(rq.service, re.notRun, time.Now())
		fo.releaseCustomerSlot(rq)
		fo.recordResult(ctx, rq, re)
		at.results <- re
	}()
	return true
}

// endpoint picks the endpoint for an attempt and counts it as in flight there. It reads the endpoints
// for each attempt, since those that are leaving must get no new requests.
func (at *attempts) endpoint(ctx context.Context, req requirement) (directory.Endpoint, bool) {
	fo, rq, now := at.forwarder, at.request, time.Now()
	switch req {
	case capacityQueued:
		return at.awaitQueue(ctx, now)
	case capacityNow, capacityInTime:
		if fo.contended(rq.service) {
			return directory.Endpoint{}, false
		}
		fits := anyTime
		if req == capacityInTime {
			fits = inTime(rq.deadlines().Goal)
		}
		return fo.table.PickAvailable(fo.Directory.Endpoints(rq.service), at.tried, fo.Domain, now, fits)
	default:
		return fo.table.Pick(fo.Directory.Endpoints(rq.service), at.tried, fo.Domain, now)
	}
}

// awaitQueue waits for capacity for the first attempt. If the request was quarantined meanwhile,
// because requests with the same digest crashed endpoints, it releases the capacity.
func (at *attempts) awaitQueue(ctx context.Context, begun time.Time) (directory.Endpoint, bool) {
	fo, rq := at.forwarder, at.request
	en, re := fo.awaitCapacity(ctx, rq)
	at.refusal, at.waited = re, time.Since(begun)
	if re != nil || at.waited >= pumpInterval {
		fo.slotUsage.markShort(rq.service, time.Now())
	}
	if en.ID != "" && at.waited >= pumpInterval && fo.checkQuarantine(rq).Held() {
		fo.table.Done(en.ID)
		return directory.Endpoint{}, false
	}
	return en, en.ID != ""
}

// record records the result of one attempt.
func (at *attempts) record(re *result) *result {
	at.running--
	at.ran = at.ran || !re.notRun
	if re.failed() {
		at.failures++
	}
	return at.annotate(re)
}

// annotate sets the fields of a result that concern all attempts.
func (at *attempts) annotate(re *result) *result {
	re.attempts, re.failures, re.tried, re.waited = len(at.tried), at.failures, at.tried, at.waited
	return re
}
