package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/events"
)

const (
	// defaultStreamSilence is the default of Forwarder.StreamSilence.
	defaultStreamSilence = 10 * time.Second
	// silenceGoals is the number of a route's goals that a stream may be silent for, if that is longer. Callers give
	// up about then.
	silenceGoals = 4
)

// errSilent means that an endpoint sent no event for too long.
var errSilent = errors.New("endpoint sends no event")

// A streamAnswer is the response to a streaming request. Its header is written with the first event, so that until then the
// request can still be answered otherwise.
type streamAnswer struct {
	begun bool
	last  int64 // ID of the last event that was written
	ran   bool  // an endpoint has begun a stream
	rw    http.ResponseWriter
}

// begin writes the header of the endpoint whose events come first.
func (sa *streamAnswer) begin(re *result) {
	if sa.begun {
		return
	}
	sa.begun = true
	copyHeader(sa.rw.Header(), re.header)
	sa.rw.WriteHeader(re.status)
}

// patience returns how long to wait for the next event: until the request's deadline for the first one.
func (fo *Forwarder) patience(sa *streamAnswer, rq *request) time.Duration {
	if sa.begun {
		return max(cmp.Or(fo.StreamSilence, defaultStreamSilence), silenceGoals*rq.route.Goal)
	}
	return time.Until(rq.deadline)
}

// serveStream forwards the events of a stream. If the route allows it, a stream that breaks or falls silent is resumed
// at another endpoint after the last event sent to the caller.
func (fo *Forwarder) serveStream(rw http.ResponseWriter, hr *http.Request, rq *request) {
	sa := &streamAnswer{rw: rw}
	tried := map[string]bool{}
	for fo.streamOnce(hr.Context(), sa, rq, tried) {
		if sa.last > 0 {
			rq.header.Set(fo.Headers.LastEvent, strconv.FormatInt(sa.last, 10))
		}
	}
}

// streamOnce forwards the events of one endpoint, and reports whether another one may resume.
func (fo *Forwarder) streamOnce(caller context.Context, sa *streamAnswer, rq *request, tried map[string]bool) bool {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	silence := time.AfterFunc(fo.patience(sa, rq), func() { cancel(errSilent) })
	defer silence.Stop()
	re := fo.openStream(ctx, rq, tried)
	if re.stream == nil {
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
			re.err = cause
		}
		fo.endStream(sa, rq, re)
		return false
	}
	sa.ran = true
	err := fo.passEvents(sa, re, func() { silence.Reset(fo.patience(sa, rq)) })
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = cause
	}
	_ = re.stream.Close()
	fo.loads.end(rq.service, false, time.Now())
	fo.releaseCustomerSlot(rq)
	fo.table.Done(re.endpoint.ID)
	lo := fo.Log.WithFields(logrus.Fields{
		customerField: rq.customer, digestField: rq.digest, "endpoint": re.endpoint.ID, "last-event": sa.last, requestField: rq.id, "route": rq.route.Name,
	})
	if err == nil {
		lo.Info("stream ended")
		fo.quarantine().RecordSuccess(rq.digest, time.Now())
		fo.count("answered")
		return false
	}
	lo.WithError(err).Warn("stream broke")
	re.err = err
	if caller.Err() == nil {
		fo.recordCrash(ctx, rq, re)
		fo.table.Failed(re.endpoint.ID, time.Now())
	}
	if rq.repeatable() && caller.Err() == nil && fo.patience(sa, rq) > 0 {
		return true
	}
	re.stream = nil
	fo.endStream(sa, rq, re)
	return false
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
func (fo *Forwarder) endStream(sa *streamAnswer, rq *request, re *result) {
	fo.count("failed")
	if !sa.begun {
		fo.countRejected(rq, re)
	}
	fo.Log.WithFields(logrus.Fields{
		"begun": sa.begun, customerField: rq.customer, digestField: rq.digest, "error": re.err, "not-run": re.notRun, requestField: rq.id, "status": re.status,
	}).Warn("stream not served")
	switch {
	case sa.begun:
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	case errors.Is(re.err, errSilent):
		Refuse(sa.rw, http.StatusGatewayTimeout, 0)
	case re.notRun && !sa.ran:
		fo.access().Refused(rq.customer)
		Refuse(sa.rw, http.StatusServiceUnavailable, max(re.heldFor, fullRetry))
	case re.notRun, re.err != nil:
		Refuse(sa.rw, http.StatusBadGateway, 0)
	default:
		writeAnswer(sa.rw, re)
	}
}

// passEvents writes complete events until the stream ends. An incomplete event is dropped, since another endpoint may
// send it again. It calls progress after each event that has an ID or data; others keep no stream alive.
func (fo *Forwarder) passEvents(sa *streamAnswer, re *result, progress func()) error {
	flush := http.NewResponseController(sa.rw)
	rd := events.NewReader(re.stream)
	for {
		ev, err := rd.Next()
		if errors.Is(err, io.EOF) {
			sa.begin(re)
			return nil
		}
		if err != nil {
			return err
		}
		sa.begin(re)
		if _, err := sa.rw.Write(ev.Raw); err != nil {
			return err
		}
		if err := flush.Flush(); err != nil {
			return err
		}
		sa.last = max(sa.last, ev.ID)
		if ev.ID > 0 || len(ev.Data) > 0 {
			progress()
		}
	}
}
