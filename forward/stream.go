package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/events"
)

// serveStream forwards the events of a stream. If the route allows it, a stream that breaks is resumed
// at another endpoint after the last event sent to the caller.
func (fo *Forwarder) serveStream(rw http.ResponseWriter, hr *http.Request, rq *request) {
	ctx, cancel := context.WithCancel(hr.Context())
	defer cancel()
	begun, last := false, int64(0)
	tried := map[string]bool{}
	for {
		re := fo.openStream(ctx, rq, tried)
		if re.stream == nil {
			fo.endStream(rw, rq, re, begun)
			return
		}
		if !begun {
			copyHeader(rw.Header(), re.header)
			rw.WriteHeader(re.status)
			begun = true
		}
		seen, err := fo.passEvents(rw, re.stream)
		_ = re.stream.Close()
		fo.loads.end(rq.service, false, time.Now())
		fo.releaseCustomerSlot(rq)
		fo.table.Done(re.endpoint.ID)
		last = max(last, seen)
		lo := fo.Log.WithFields(logrus.Fields{
			customerField: rq.customer, digestField: rq.digest, "endpoint": re.endpoint.ID, "last-event": last, requestField: rq.id, "route": rq.route.Name,
		})
		if err == nil {
			lo.Info("stream ended")
			fo.quarantine().RecordSuccess(rq.digest, time.Now())
			fo.count("answered")
			return
		}
		lo.WithError(err).Warn("stream broke")
		re.err = err
		fo.recordCrash(ctx, rq, re)
		if !rq.repeatable() || hr.Context().Err() != nil {
			fo.count("failed")
			panic(http.ErrAbortHandler) // a truncated response must not look complete
		}
		fo.table.Failed(re.endpoint.ID, time.Now())
		if last > 0 {
			rq.header.Set(fo.Headers.LastEvent, strconv.FormatInt(last, 10))
		}
	}
}

// openStream makes attempts at endpoints until one starts a stream or returns a final result. The
// caller then holds the customer's and the endpoint's slots if the result has a stream.
func (fo *Forwarder) openStream(ctx context.Context, rq *request, tried map[string]bool) *result {
	last, ran := &result{notRun: true, tried: tried}, false
	for len(tried) < max(rq.route.MaxAttempts, 1) {
		if ve := fo.checkQuarantine(rq); ve.Held() {
			last.heldFor = ve.HeldFor
			return last
		}
		if ok, free := fo.acquireCustomerSlot(rq); !ok {
			last.heldFor = free
			return last
		}
		en, ok := fo.table.Pick(fo.Directory.Endpoints(rq.service), tried, fo.Domain, time.Now())
		if !ok {
			fo.releaseCustomerSlot(rq)
			return last
		}
		tried[en.ID] = true
		fo.loads.begin(rq.service, time.Now())
		re := fo.send(ctx, rq, en)
		re.tried = tried
		if re.stream != nil {
			return re
		}
		fo.loads.end(rq.service, re.notRun, time.Now())
		fo.releaseCustomerSlot(rq)
		fo.recordResult(ctx, rq, re)
		if re.final(rq.repeatable()) || !re.notRun && !rq.repeatable() || ctx.Err() != nil {
			return re
		}
		ran = ran || !re.notRun
		// The last endpoint rejected the request, but an earlier one ran it.
		if last = re; re.notRun && ran {
			last = &result{endpoint: re.endpoint, err: errIncomplete}
		}
	}
	return last
}

// endStream answers a streaming request for which no endpoint is left.
func (fo *Forwarder) endStream(rw http.ResponseWriter, rq *request, re *result, begun bool) {
	fo.count("failed")
	if !begun {
		fo.countRejected(rq, re)
	}
	fo.Log.WithFields(logrus.Fields{
		"begun": begun, customerField: rq.customer, digestField: rq.digest, "error": re.err, "not-run": re.notRun, requestField: rq.id, "status": re.status,
	}).Warn("stream not served")
	switch {
	case begun:
		panic(http.ErrAbortHandler)
	case re.notRun:
		fo.access().Refused(rq.customer)
		Refuse(rw, http.StatusServiceUnavailable, max(re.heldFor, fullRetry))
	case re.err != nil:
		Refuse(rw, http.StatusBadGateway, 0)
	default:
		writeAnswer(rw, re)
	}
}

// passEvents writes complete events until the stream ends, and returns the highest ID. An incomplete
// event is dropped, since another endpoint may send it again.
func (fo *Forwarder) passEvents(rw http.ResponseWriter, stream io.Reader) (int64, error) {
	var last int64
	flush := http.NewResponseController(rw)
	rd := events.NewReader(stream)
	for {
		ev, err := rd.Next()
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return last, err
		}
		if _, err := rw.Write(ev.Raw); err != nil {
			return last, err
		}
		if err := flush.Flush(); err != nil {
			return last, err
		}
		last = max(last, ev.ID)
	}
}
