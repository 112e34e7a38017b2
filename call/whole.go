package call

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/telemetry"
)

// errCallerGone means that the caller takes no more of its answer.
var errCallerGone = errors.New("caller is gone")

// errTooLate means that part of the answer is out to the caller, so that no
// other attempt can follow.
var errTooLate = errors.New("answer broke off after its beginning had been passed on")

// serveCall serves a call of a plain service.
func (se *Server) serveCall(rw http.ResponseWriter, rq *http.Request) {
	ctx := telemetry.Extract(rq.Context(), rq.Header)
	req, re := se.read(rw, rq, Plain)
	if re != nil {
		se.refuse(rw, req.policy.Service, re)
		return
	}
	req.path = servicePath(rq)
	ctx, sp := telemetry.Start(ctx, "call",
		attribute.String("request-id", req.id), attribute.String("service", req.policy.Service))
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	ru := &run{request: req, server: se}
	var started bool
	re = ru.each(ctx, func(ctx context.Context, at *attempt) error {
		return se.whole(ctx, at, rw, &started)
	})
	if re == nil {
		answered(req.policy.Service).Inc()
		telemetry.End(sp, nil)
		return
	}
	telemetry.End(sp, re)
	if started {
		panic(http.ErrAbortHandler) // ends the connection without the answer's end
	}
	se.refuse(rw, req.policy.Service, re)
}

// whole makes one attempt at a call of a plain service and passes its answer
// on. It holds the answer back until it is whole, so that another attempt can
// follow one that breaks off; an answer that is larger than may be held is
// passed on from there, and a break ends the caller's connection.
func (se *Server) whole(ctx context.Context, at *attempt, rw http.ResponseWriter, started *bool) error {
	req := at.call
	path := at.path(message.CallPath, req.path)
	ex, err := se.send(ctx, at, req.method, path, req.body, message.ForwardHeaders(req.header, ownHeaders...))
	if err != nil {
		return err
	}
	defer ex.close()
	if ex.answer.Header.Get(message.FateHeader) != outcome.Ran.String() {
		return ex.readRefusal()
	}
	held, err := io.ReadAll(io.LimitReader(ex, int64(req.policy.MaxAnswerHeld)))
	if err != nil {
		return err
	}
	he := rw.Header()
	for name, values := range message.ForwardHeaders(ex.answer.Header, ownHeaders...) {
		he[name] = values
	}
	he.Set(message.RequestIDHeader, req.id)
	if length := ex.answer.Header.Get("Content-Length"); length != "" {
		he.Set("Content-Length", length)
	}
	*started = true
	rw.WriteHeader(ex.answer.StatusCode)
	if _, err := rw.Write(held); err != nil {
		return errors.CombineErrors(errCallerGone, err)
	}
	if len(held) < req.policy.MaxAnswerHeld {
		return nil
	}
	return passRest(rw, ex)
}

// passRest passes on what is left of an answer that is too large to be held.
func passRest(rw io.Writer, ex *exchange) error {
	if _, err := io.Copy(rw, ex); err != nil {
		return errors.CombineErrors(errTooLate, err)
	}
	return nil
}

// ownHeaders are written by each hop itself.
var ownHeaders = []string{
	message.DeadlineHeader, message.IdempotencyKeyHeader, message.KeyQueryHeader, message.KeyHeader,
	message.KeyGeneratedHeader, message.ProfileHeader, message.RepeatableHeader, message.RequestIDHeader,
}
