package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/directory"
)

// callTimeout is the timeout of a call whose route has none. It is several times the latency of even
// a slow plain endpoint.
const callTimeout = 2 * time.Second

// errNoRoute means that no route matches a call.
var errNoRoute = errors.New("no route")

// A Call is an internal POST request. It may run more than once.
type Call struct {
	Body     []byte
	Customer string `cbor:",omitempty"` // on whose behalf it is made, or ""
	Host     string
	ID       string
	Path     string
}

// Equal reports whether two calls have the same ID and request; the customer is not compared.
func (ca *Call) Equal(other *Call) bool {
	return ca.ID == other.ID && ca.Host == other.Host && ca.Path == other.Path && string(ca.Body) == string(other.Body)
}

// A Response is the result of a call.
type Response struct {
	Attempts    int           // endpoints that it was sent to
	Endpoint    string        // ID of the last endpoint that it was sent to, or ""
	Err         error         // set if there is no complete response
	Failures    int           // attempts that endpoints answered with an internal error
	HeldFor     time.Duration // time for which the call must not be repeated
	MaxAttempts int           // of the route
	NotRun      bool          // no endpoint ran it
	Signature   string        // signature header of a successful response
	Status      int
	Version     int64 // of the configuration that the route is from
}

// Outcome returns a label of the result for logs and metrics.
func (re *Response) Outcome() string {
	switch {
	case re.Signature != "":
		return "answered"
	case errors.Is(re.Err, errNoRoute):
		return "no-route"
	case re.NotRun:
		return "not-run"
	case re.Err != nil:
		return "broken"
	default:
		return "failed"
	}
}

// Call makes a call by the current route. Attempts are made and recorded as for live requests, but
// without admission control. No attempt starts after ctx ends.
func (fo *Forwarder) Call(ctx context.Context, ca Call) Response {
	co := fo.Directory.Configuration()
	if co == nil {
		return Response{Err: errNoRoute}
	}
	ro, ok := co.Route(ca.Host, ca.Path)
	if !ok {
		return Response{Err: errNoRoute, Version: co.Version}
	}
	ro.Kind, ro.Streaming = directory.Repeatable, false
	rq := &request{
		body: ca.Body, customer: ca.Customer, header: http.Header{}, host: ca.Host, id: ca.ID, method: http.MethodPost, internal: true, received: time.Now(),
		route: ro, service: pickShare(ro.Shares), target: ca.Path,
	}
	fo.Headers.identify(rq.header, rq.customer, true)
	rq.setDeadline(callTimeout)
	ctx, answered := withDeadline(ctx, rq.deadline)
	fo.Budget.Deposit()
	re := fo.run(ctx, rq)
	fo.countRejected(rq, re)
	if ctx.Err() == nil {
		answered()
	}
	return re.reply(ro.MaxAttempts, co.Version)
}

// reply converts a result for an internal caller.
func (re *result) reply(maxAttempts int, version int64) Response {
	rp := Response{
		Attempts: re.attempts, Endpoint: re.endpoint.ID, Err: re.err, Failures: re.failures, MaxAttempts: maxAttempts,
		HeldFor: re.heldFor, NotRun: re.notRun, Status: re.status, Version: version,
	}
	if re.err == nil && !re.notRun && re.status >= http.StatusOK && re.status < http.StatusMultipleChoices {
		rp.Signature = re.signature
	}
	return rp
}
