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

// errCallerDisconnected means that the caller has disconnected.
var errCallerDisconnected = errors.New("caller disconnected")

// errTruncated means that an answer broke after part of it was sent to the caller, so that no further
// attempt can follow.
var errTruncated = errors.New("answer broke after part of it was sent to the caller")

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
	re = ru.runAttempts(ctx, func(ctx context.Context, at *attempt) error {
		return se.attemptCall(ctx, at, rw, &started)
	})
	if re == nil {
		answered(req.policy.Service).Inc()
		telemetry.End(sp, nil)
		return
	}
	telemetry.End(sp, re)
	if started {
		panic(http.ErrAbortHandler) // closes the connection before the end of the answer
	}
	se.refuse(rw, req.policy.Service, re)
}

// attemptCall makes one attempt at a call of a plain service. It buffers up to MaxAnswerHeld bytes, so
// that another attempt can follow one that breaks. A larger answer is forwarded from there on; if
// it breaks, the caller's connection is closed.
func (se *Server) attemptCall(ctx context.Context, at *attempt, rw http.ResponseWriter, started *bool) error {
	req := at.call
	path := at.path(message.CallPath, req.path)
	ex, err := se.send(ctx, at, req.method, path, req.body, message.ForwardHeaders(req.header, hopHeaders...))
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
	for name, values := range message.ForwardHeaders(ex.answer.Header, hopHeaders...) {
		he[name] = values
	}
	he.Set(message.RequestIDHeader, req.id)
	if length := ex.answer.Header.Get("Content-Length"); length != "" {
		he.Set("Content-Length", length)
	}
	*started = true
	rw.WriteHeader(ex.answer.StatusCode)
	if _, err := rw.Write(held); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	if len(held) < req.policy.MaxAnswerHeld {
		return nil
	}
	return forwardRest(rw, ex)
}

// forwardRest forwards the unbuffered rest of an answer.
func forwardRest(rw io.Writer, ex *exchange) error {
	if _, err := io.Copy(rw, ex); err != nil {
		return errors.CombineErrors(errTruncated, err)
	}
	return nil
}

// hopHeaders are set by each hop and not forwarded.
var hopHeaders = []string{
	message.DeadlineHeader, message.IdempotencyKeyHeader, message.KeyQueryHeader, message.KeyHeader,
	message.KeyGeneratedHeader, message.ProfileHeader, message.RepeatableHeader, message.RequestIDHeader,
}
