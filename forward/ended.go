package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/directory"
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
	fo.Log.WithFields(logrus.Fields{
		digestField: rq.digest, "endpoint": re.endpoint.ID, "ms": re.took.Milliseconds(), "path": rq.target, requestField: rq.id,
	}).Warn("endpoint ended under a request")
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_requests_endpoint_ended_total`).Inc()
}
