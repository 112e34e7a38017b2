package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/directory"
	"wisteriacroft/quarantine"
)

// callTimeout bounds a call whose route names no timeout: several times what a plain
// endpoint takes, also one that has become far slower than usual.
const callTimeout = 2 * time.Second

// errNoRoute means that no route leads a call anywhere.
var errNoRoute = errors.New("no route")

// A Call is a POST request that the system makes itself. It may run more than
// once.
type Call struct {
	Body     []byte
	Customer string `cbor:",omitempty"` // for whom it is made, or ""
	Host     string
	ID       string
	Path     string
}

// Equal reports whether two calls ask for the same.
func (ca *Call) Equal(other *Call) bool {
	return ca.ID == other.ID && ca.Host == other.Host && ca.Path == other.Path && string(ca.Body) == string(other.Body)
}

// A Response is what became of a call.
type Response struct {
	Attempts    int           // endpoints that it went to
	Endpoint    string        // that answered last, or ""
	Err         error         // there is no whole answer
	Failures    int           // answers of endpoints that they failed
	HeldFor     time.Duration // it must not be made again for that long
	MaxAttempts int           // of the route
	NotRun      bool          // no endpoint took it
	Signature   string        // the endpoint's mark on its answer, if that is a success
	Status      int
	Version     int64 // of the configuration that it was sent by
}

// Outcome returns what became of the call, for logs and metrics.
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

// Call makes a call by the route that is in force now. Endpoints are picked,
// tried again and judged as for live requests. Once ctx ends, nothing more is
// sent.
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
		body: ca.Body, customer: ca.Customer, header: http.Header{}, host: ca.Host, id: ca.ID, method: http.MethodPost, own: true, received: time.Now(),
		route: ro, service: pickShare(ro.Shares), target: ca.Path,
	}
	fo.Headers.identify(rq.header, rq.customer, true)
	rq.digest = quarantine.DigestOf(rq.customer, rq.host, rq.method, rq.target, rq.body)
	rq.setDeadline(callTimeout)
	ctx, answered := boundBy(ctx, rq.deadline)
	fo.Budget.Deposit()
	re := fo.run(ctx, rq)
	fo.noteRefused(rq, re)
	if ctx.Err() == nil {
		answered()
	}
	return re.reply(ro.MaxAttempts, co.Version)
}

// reply returns what a caller of the system's own is told.
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
