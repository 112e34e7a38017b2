package call

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/gate"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/route"
)

const (
	maxRefusalSize = 64 << 10 // bytes
	// answerMargin is the fraction of the remaining time that is withheld from the attendant's
	// deadline, so that its answer arrives before the entry's own deadline, which leaves the
	// outcome unknown.
	answerMargin    = 0.05
	maxAnswerMargin = 50 * time.Millisecond
)

// An attempt is one try of a call at an endpoint.
type attempt struct {
	query       bool // only query the outcome of the key
	call        *request
	endpoint    route.Endpoint
	id          string // unique; echoed by the attendant
	key         string // idempotency key, or ""
	echoPerLine bool   // the id is echoed in each line of the answer
	minted      bool   // this entry minted the key
}

// newAttempt returns an attempt with a unique id. Callers may use the same request id, so it can't
// identify answers.
func newAttempt(req *request, en route.Endpoint) *attempt {
	return &attempt{call: req, endpoint: en, id: req.id + "/" + uuid.NewString()}
}

// send sends the attempt and returns after it has checked the id in the answer's header. The caller
// closes the exchange unless there is an error.
func (se *Server) send(ctx context.Context, at *attempt, method, path string, body []byte, header http.Header) (*exchange, error) {
	target := "http://" + at.endpoint.Address + path
	rq, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(errNotSent, "%v", err)
	}
	rq.Header = header
	at.setHeaders(rq.Header)
	attempts(at.call.policy.Service).Inc()
	ex, err := se.attendants.do(ctx, rq)
	if err != nil {
		return nil, err
	}
	echo := ex.answer.Header.Get(message.RequestIDHeader)
	if echo != at.id && (echo != "" || !at.echoPerLine) {
		ex.close()
		mismatched(at.call.policy.Service).Inc()
		return nil, errors.Wrapf(errMismatchedResponse, "answer of %q", echo)
	}
	se.observe(at, ex.answer.Header)
	return ex, nil
}

// setHeaders sets the headers of the protocol between entry and attendant.
func (at *attempt) setHeaders(he http.Header) {
	left := time.Until(at.call.deadline)
	left -= min(time.Duration(answerMargin*float64(left)), maxAnswerMargin)
	he.Set(message.DeadlineHeader, left.String())
	he.Set(message.ProfileHeader, at.call.policy.Profile)
	he.Set(message.RepeatableHeader, yesNo(at.call.repeatable))
	he.Set(message.RequestIDHeader, at.id)
	he.Set(message.RevisionHeader, fmt.Sprint(at.call.policy.Revision))
	if at.key == "" {
		return
	}
	he.Set(message.KeyHeader, at.key)
	he.Set(message.KeyGeneratedHeader, yesNo(at.minted))
	he.Set(message.KeyQueryHeader, yesNo(at.query))
}

// yesNo returns the header value of a flag.
func yesNo(is bool) string {
	if is {
		return yes
	}
	return no
}

// observe records the load reported in an answer's header.
func (se *Server) observe(at *attempt, he http.Header) {
	lo, err := gate.ParseLoad(he.Get(message.LoadHeader))
	if err != nil {
		return // the load is optional
	}
	se.Routes.Observe(at.endpoint.ID, route.Load(lo))
}

// path returns the attempt's URL path at the attendant.
func (at *attempt) path(pattern, rest string) string {
	path := strings.TrimSuffix(pattern, "{path:.*}")
	return strings.Replace(path, "{endpoint}", url.PathEscape(at.endpoint.ID), 1) + rest
}

// readRefusal returns the refusal in an answer that is not the endpoint's.
func (ex *exchange) readRefusal() error {
	var re outcome.Refusal
	err := json.NewDecoder(io.LimitReader(ex, maxRefusalSize)).Decode(&re)
	if err != nil || re.Code == "" {
		return errors.Wrapf(errBroken, "status %d without a refusal", ex.answer.StatusCode)
	}
	return &re
}

// settle reports the outcome of an attempt to the routes.
func (se *Server) settle(ctx context.Context, at *attempt, err error) {
	now := time.Now()
	id := at.endpoint.ID
	var re *outcome.Refusal
	switch {
	case err == nil, errors.Is(err, errCallerDisconnected), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		se.Routes.Succeeded(now, id)
	case errors.As(err, &re) && re.Outcome() == outcome.NotRun && re.Code != outcome.BadRequest:
		se.Routes.Refused(now, id, re.RetryDelay())
	case errors.As(err, &re):
		se.Routes.Succeeded(now, id)
	case errors.Is(err, errStalled):
		stalled(at.call.policy.Service).Inc()
		go se.diagnose(context.WithoutCancel(ctx), at)
	default:
		se.Routes.Failed(now, id)
	}
}

// diagnose pings the attendant after a stalled connection. The endpoint is marked as failed only if
// the ping fails.
func (se *Server) diagnose(ctx context.Context, at *attempt) {
	pong := se.attendants.ping(ctx, at.endpoint.Address)
	se.Log.WithField("endpoint", at.endpoint.ID).WithField("pong", pong).Warn("connection fell silent")
	if pong {
		se.Routes.Succeeded(time.Now(), at.endpoint.ID)
		return
	}
	se.Routes.Failed(time.Now(), at.endpoint.ID)
}

// outcomeOf returns the outcome of a request after a failed attempt.
func outcomeOf(err error) outcome.Outcome {
	if errors.Is(err, errNotSent) {
		return outcome.NotRun
	}
	return outcome.FromError(err)
}
