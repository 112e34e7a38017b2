package attendant

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/plainservice"
	"wisteriacroft/telemetry"
)

// exchange sends a request to a plain service and reads the whole answer, so that a truncated one
// is never forwarded as complete.
func (at *Attendant) exchange(
	ctx context.Context, en *endpoint, req plainservice.Request,
) (an idempotency.Response, err error) {
	ctx, sp := telemetry.Start(ctx, endpointSpan)
	defer func() { telemetry.End(sp, err) }()
	return at.callService(ctx, en, req)
}

// callService implements exchange without its span.
func (at *Attendant) callService(ctx context.Context, en *endpoint, req plainservice.Request) (idempotency.Response, error) {
	an, err := en.plain.CallFunc(ctx, req)
	if err != nil {
		if errors.Is(err, plainservice.ErrMismatchedResponse) {
			en.metrics.crossed.Inc()
		}
		return idempotency.Response{}, err
	}
	defer func() { _ = an.Body.Close() }() // an error after the whole body is irrelevant
	body, err := io.ReadAll(io.LimitReader(an.Body, int64(at.options.MaxAnswerSize)+1))
	if err != nil {
		return idempotency.Response{}, errors.Wrapf(err, "read the answer of %s", en.name)
	}
	if len(body) > at.options.MaxAnswerSize {
		return idempotency.Response{}, errors.Newf("answer of %s exceeds %d bytes", en.name, at.options.MaxAnswerSize)
	}
	return idempotency.Response{Body: body, Header: message.ForwardHeaders(an.Header), Status: an.Status}, nil
}

// writeAnswer forwards an answer.
func (at *Attendant) writeAnswer(rw http.ResponseWriter, en *endpoint, ca call, an answer) {
	he := rw.Header()
	for name, values := range an.Header {
		he[name] = values
	}
	if len(an.Body) > 0 {
		he.Set("Content-Length", strconv.Itoa(len(an.Body)))
	}
	at.setHeader(he, en)
	he.Set(message.FateHeader, outcome.Ran.String())
	he.Set(message.RequestIDHeader, ca.id)
	rw.WriteHeader(an.Status)
	// An error means that the caller has disconnected.
	_, _ = rw.Write(an.Body)
}
