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
	// answerMargin is the part of the time left that an attendant is not
	// given, so that its answer, which knows the request's fate, comes before
	// the entry gives the request up without knowing it.
	answerMargin    = 0.05
	maxAnswerMargin = 50 * time.Millisecond
)

// An attempt is one try of a call at an endpoint.
type attempt struct {
	ask      bool // don't run it: only ask what became of its key
	call     *request
	endpoint route.Endpoint
	id       string // unique; the attendant echoes it
	key      string // idempotency key, or ""
	lines    bool   // each line of the answer carries the echo
	minted   bool   // this entry made the key
}

// newAttempt returns an attempt with an id of its own. Two callers may choose
// one request id, so that only an id of the entry's can tell answers apart.
func newAttempt(req *request, en route.Endpoint) *attempt {
	return &attempt{call: req, endpoint: en, id: req.id + "/" + uuid.NewString()}
}

// send sends the attempt and returns once the answer's head is there and its
// echo is checked. The caller closes the exchange unless there is an error.
func (se *Server) send(ctx context.Context, at *attempt, method, path string, body []byte, header http.Header) (*exchange, error) {
	target := "http://" + at.endpoint.Address + path
	rq, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(errNotSent, "%v", err)
	}
	rq.Header = header
	at.mark(rq.Header)
	attempts(at.call.policy.Service).Inc()
	ex, err := se.work.do(ctx, rq)
	if err != nil {
		return nil, err
	}
	echo := ex.answer.Header.Get(message.RequestIDHeader)
	if echo != at.id && (echo != "" || !at.lines) {
		ex.close()
		crossed(at.call.policy.Service).Inc()
		return nil, errors.Wrapf(errCrossed, "answer of %q", echo)
	}
	se.observe(at, ex.answer.Header)
	return ex, nil
}

// mark writes the project's own headers.
func (at *attempt) mark(he http.Header) {
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
	he.Set(message.KeyQueryHeader, yesNo(at.ask))
}

// yesNo returns a flag's value in a header.
func yesNo(is bool) string {
	if is {
		return yes
	}
	return no
}

// observe takes in the load that an answer carries.
func (se *Server) observe(at *attempt, he http.Header) {
	lo, err := gate.ParseLoad(he.Get(message.LoadHeader))
	if err != nil {
		return // the load is advice: an answer without it is as good
	}
	se.Routes.Observe(at.endpoint.ID, route.Load(lo))
}

// path returns the attempt's path at the attendant.
func (at *attempt) path(pattern, rest string) string {
	path := strings.TrimSuffix(pattern, "{path:.*}")
	return strings.Replace(path, "{endpoint}", url.PathEscape(at.endpoint.ID), 1) + rest
}

// readRefusal reads the refusal in an answer that is none of the endpoint's.
func (ex *exchange) readRefusal() error {
	var re outcome.Refusal
	err := json.NewDecoder(io.LimitReader(ex, maxRefusalSize)).Decode(&re)
	if err != nil || re.Code == "" {
		return errors.Wrapf(errBroken, "status %d without a refusal", ex.answer.StatusCode)
	}
	return &re
}

// settle tells the routes how an attempt ended.
func (se *Server) settle(ctx context.Context, at *attempt, err error) {
	now := time.Now()
	id := at.endpoint.ID
	var re *outcome.Refusal
	switch {
	case err == nil, errors.Is(err, errCallerGone), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		se.Routes.Succeeded(now, id)
	case errors.As(err, &re) && re.Outcome() == outcome.NotRun && re.Code != outcome.BadRequest:
		se.Routes.Refused(now, id, re.RetryDelay())
	case errors.As(err, &re):
		se.Routes.Succeeded(now, id)
	case errors.Is(err, errSilent):
		silent(at.call.policy.Service).Inc()
		go se.diagnose(context.WithoutCancel(ctx), at)
	default:
		se.Routes.Failed(now, id)
	}
}

// diagnose tells a connection that was lost from an attendant that is: only
// the latter counts against the endpoint.
func (se *Server) diagnose(ctx context.Context, at *attempt) {
	pong := se.work.ping(ctx, at.endpoint.Address)
	se.Log.WithField("endpoint", at.endpoint.ID).WithField("pong", pong).Warn("connection fell silent")
	if pong {
		se.Routes.Succeeded(time.Now(), at.endpoint.ID)
		return
	}
	se.Routes.Failed(time.Now(), at.endpoint.ID)
}

// fateOf returns what is known of a request after an attempt that failed.
func fateOf(err error) outcome.Outcome {
	if errors.Is(err, errNotSent) {
		return outcome.NotRun
	}
	return outcome.FromError(err)
}
