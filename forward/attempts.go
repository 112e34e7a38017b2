package forward

import (
	"context"
	"time"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

// attempts are those of one request.
type attempts struct {
	failures  int // answers of endpoints that they failed
	forwarder *Forwarder
	heldFor   time.Duration // until its customer is likely to have a place again; 0 if it had one
	ran       bool          // an endpoint may have run the request
	refusal   *admission.Refusal
	request   *request
	results   chan *result
	running   int
	tried     map[string]bool // endpoints, by ID
	waited    time.Duration   // for room
}

// A want is what an attempt asks of its endpoint.
type want int

// The wants.
const (
	anyEndpoint want = iota // whether it has room or not: the system's own calls, and repeats after a failure
	itsTurn                 // room, for which the request may wait
	roomAtOnce              // room now, or there is no attempt
	roomInTime              // the same, and an answer in time
)

// launch makes one more attempt, if its customer may have one more place and there is an
// endpoint for it. Two things are taken for it, and each is given back once: the customer's
// place here, and the endpoint's by judge. A request that waits for room has its customer's
// place already, so that a customer with a bound can't fill the line.
func (at *attempts) launch(ctx context.Context, wa want) bool {
	fo, rq := at.forwarder, at.request
	if len(at.tried) >= max(rq.route.MaxAttempts, 1) {
		return false
	}
	if ok, free := fo.takeCustomerPlace(rq); !ok {
		at.heldFor = free
		return false
	}
	en, ok := at.endpoint(ctx, wa)
	if !ok {
		fo.freeCustomerPlace(rq)
		return false
	}
	at.tried[en.ID] = true
	at.running++
	go func() {
		fo.loads.begin(rq.service, time.Now())
		re := fo.send(ctx, rq, en)
		fo.loads.end(rq.service, re.notRun, time.Now())
		fo.freeCustomerPlace(rq)
		fo.judge(ctx, rq, re)
		at.results <- re
	}()
	return true
}

// endpoint picks the endpoint for an attempt and counts it as in flight there. Endpoints
// are read anew each time: one may have begun to leave since the request came, and must
// get nothing more.
func (at *attempts) endpoint(ctx context.Context, wa want) (directory.Endpoint, bool) {
	fo, rq, now := at.forwarder, at.request, time.Now()
	switch wa {
	case itsTurn:
		return at.awaitTurn(ctx, now)
	case roomAtOnce, roomInTime:
		if fo.tight(rq.service) {
			return directory.Endpoint{}, false
		}
		fits := anyTime
		if wa == roomInTime {
			fits = inTime(rq.needs().Goal)
		}
		return fo.table.PickAvailable(fo.Directory.Endpoints(rq.service), at.tried, fo.Domain, now, fits)
	default:
		return fo.table.Pick(fo.Directory.Endpoints(rq.service), at.tried, fo.Domain, now)
	}
}

// awaitTurn waits for room for the first attempt, since begun. Endpoints may end meanwhile
// while they run others with the same digest, so that the request is now in quarantine: then
// it gives the room back.
func (at *attempts) awaitTurn(ctx context.Context, begun time.Time) (directory.Endpoint, bool) {
	fo, rq := at.forwarder, at.request
	en, re := fo.awaitRoom(ctx, rq)
	at.refusal, at.waited = re, time.Since(begun)
	if re != nil || at.waited >= pumpEvery {
		fo.uses.noteShort(rq.service, time.Now())
	}
	if en.ID != "" && at.waited >= pumpEvery && fo.verdict(rq).Held() {
		fo.table.Done(en.ID)
		return directory.Endpoint{}, false
	}
	return en, en.ID != ""
}

// take takes in what became of one attempt.
func (at *attempts) take(re *result) *result {
	at.running--
	at.ran = at.ran || !re.notRun
	if re.failed() {
		at.failures++
	}
	return at.tell(re)
}

// tell notes in a result what is known of all attempts.
func (at *attempts) tell(re *result) *result {
	re.attempts, re.failures, re.tried, re.waited = len(at.tried), at.failures, at.tried, at.waited
	return re
}
