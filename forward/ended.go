package forward

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/directory"
	"wisteriacroft/quarantine"
)

// endedTimeout bounds the look whether an endpoint's process has ended: a
// connection to one in another failure domain takes 2 ms to open or to be
// refused.
const endedTimeout = 100 * time.Millisecond

// ended reports whether an endpoint's process has ended: its host refuses
// connections.
//
// An exchange also breaks because one connection is reset or an answer spoilt,
// which says nothing of the request. Only the end of the process does.
func (fo *Forwarder) ended(ctx context.Context, en directory.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedTimeout)
	defer cancel()
	co, err := Dialer().DialContext(ctx, "tcp", en.Address)
	if err == nil {
		_ = co.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// suspect notes whether an endpoint ended while it ran a request.
func (fo *Forwarder) suspect(ctx context.Context, rq *request, re *result) {
	if !errors.Is(re.err, errBroken) || !fo.ended(ctx, re.endpoint) {
		return
	}
	start := fmt.Sprintf("%s/%d", re.endpoint.ID, re.endpoint.Incarnation)
	ve := fo.quarantine().Strike(rq.digest, start, time.Now())
	fo.Log.WithFields(logrus.Fields{
		digestField: rq.digest, "endpoint": re.endpoint.ID, "held-ms": ve.HeldFor.Milliseconds(), "ms": re.took.Milliseconds(),
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
// request it takes the service's last endpoints with it, and no one is served: 17
// and 11 s of a minute, by the plays of a fleet of three endpoints.
func (fo *Forwarder) verdict(rq *request) quarantine.Verdict {
	ve := fo.quarantine().Judge(rq.digest, time.Now())
	if ve.Held() {
		fo.Log.WithFields(logrus.Fields{
			digestField: rq.digest, "held-ms": ve.HeldFor.Milliseconds(), "path": rq.target, requestField: rq.id, "strikes": ve.Strikes,
		}).Warn("request held back")
		fo.Metrics.GetOrCreateCounter(`wisteriacroft_requests_held_back_total`).Inc()
	}
	return ve
}
