package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/quarantine"
	"wisteriacroft/roundtrip"
)

// suspect notes whether an endpoint ended while it ran a request.
func (fo *Forwarder) suspect(ctx context.Context, rq *request, re *result) {
	if !errors.Is(re.err, errBroken) || !roundtrip.Ended(ctx, re.endpoint.Address) {
		return
	}
	start := fmt.Sprintf("%s/%d", re.endpoint.ID, re.endpoint.Incarnation)
	now := time.Now()
	fo.quarantine().RecordCrash(rq.digest, start, now)
	ve := fo.quarantine().Check(rq.digest, now)
	fo.Log.WithFields(logrus.Fields{
		customerField: rq.customer, digestField: rq.digest, "endpoint": re.endpoint.ID, "held-ms": ve.HeldFor.Milliseconds(), "ms": re.took.Milliseconds(),
		"path": rq.target, requestField: rq.id, "strikes": ve.Strikes,
	}).Warn("endpoint ended under a request")
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_requests_endpoint_ended_total`).Inc()
}

// quarantine returns the table of requests that are kept from endpoints.
func (fo *Forwarder) quarantine() *quarantine.Table {
	if fo.Quarantine == nil {
		return &fo.ownQuarantine
	}
	return fo.Quarantine
}

// verdict returns what may be done with a request now, and notes if that is
// nothing.
//
// A client's next try has another ID and may come to any entry. Sent on like a new
// request it takes the service's last endpoints with it, and others' requests are not
// served until they have started again.
func (fo *Forwarder) verdict(rq *request) quarantine.Verdict {
	ve := fo.quarantine().Check(rq.digest, time.Now())
	if ve.Held() {
		fo.Log.WithFields(logrus.Fields{
			customerField: rq.customer, digestField: rq.digest, "held-ms": ve.HeldFor.Milliseconds(), "path": rq.target, requestField: rq.id, "strikes": ve.Strikes,
		}).Warn("request held back")
		fo.Metrics.GetOrCreateCounter(`wisteriacroft_requests_held_back_total`).Inc()
	}
	return ve
}
