package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/quarantine"
	"wisteriacroft/roundtrip"
)

// recordCrash reports a request to the quarantine if its endpoint crashed while running it.
func (fo *Forwarder) recordCrash(ctx context.Context, rq *request, re *result) {
	if !errors.Is(re.err, errIncomplete) || !roundtrip.Ended(ctx, re.endpoint.Address) {
		return
	}
	now := time.Now()
	if !rq.internal {
		fo.quarantine().RecordCrash(rq.digest, fmt.Sprintf("%s/%d", re.endpoint.ID, re.endpoint.Incarnation), now)
	}
	ve := fo.quarantine().Check(rq.digest, now)
	fo.Log.WithFields(logrus.Fields{
		customerField: rq.customer, digestField: rq.digest, "endpoint": re.endpoint.ID, "held-ms": ve.HeldFor.Milliseconds(), "ms": re.took.Milliseconds(),
		"path": rq.target, requestField: rq.id, "strikes": ve.Strikes,
	}).Warn("endpoint ended under a request")
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_requests_endpoint_ended_total`).Inc()
}

// quarantine returns the table of quarantined requests.
func (fo *Forwarder) quarantine() *quarantine.Table {
	if fo.Quarantine == nil {
		return &fo.ownQuarantine
	}
	return fo.Quarantine
}

// checkQuarantine returns whether a request is quarantined, and logs and counts it if so.
//
// A client that retries a request which crashes endpoints uses a new ID and any entry. If each retry
// were forwarded, it would crash all endpoints of the service. Internal calls belong to accepted work, which
// is owed and doesn't crash endpoints.
func (fo *Forwarder) checkQuarantine(rq *request) quarantine.Verdict {
	if rq.internal {
		return quarantine.Verdict{}
	}
	ve := fo.quarantine().Check(rq.digest, time.Now())
	if ve.Held() {
		fo.Log.WithFields(logrus.Fields{
			customerField: rq.customer, digestField: rq.digest, "held-ms": ve.HeldFor.Milliseconds(), "path": rq.target, requestField: rq.id, "strikes": ve.Strikes,
		}).Warn("request held back")
		fo.Metrics.GetOrCreateCounter(`wisteriacroft_requests_held_back_total`).Inc()
	}
	return ve
}

// trialRetry is the Retry-After of a request that another one tries out: about the time of an answer.
const trialRetry = 200 * time.Millisecond

// A trials holds the requests that are being tried out. The zero value is ready to use.
type trials struct {
	mu      sync.Mutex
	running map[quarantine.Digest]bool
}

// startTrial returns a function to call after a request, or the rejection of one that must be tried alone while another of its
// kind is under way: together they would crash several endpoints.
func (fo *Forwarder) startTrial(rq *request) (func(), *rejection) {
	if !fo.quarantine().Check(rq.digest, time.Now()).MustTry() {
		return func() {}, nil
	}
	tr := &fo.trials
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.running[rq.digest] {
		return nil, &rejection{
			customer: rq.customer, reason: "a request of its kind is being tried out", retryAfter: trialRetry, status: http.StatusServiceUnavailable,
		}
	}
	if tr.running == nil {
		tr.running = map[quarantine.Digest]bool{}
	}
	tr.running[rq.digest] = true
	return func() {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		delete(tr.running, rq.digest)
	}, nil
}
