package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/access"
	"wisteriacroft/directory"
	"wisteriacroft/quarantine"
)

// A request is one caller's request, checked and read whole.
type request struct {
	body      []byte
	customer  string // whose request it is, or "" where callers need no key
	deadline  time.Time
	digest    quarantine.Digest
	header    http.Header // those that cross a hop
	heldBytes int64       // of the body and the answer, counted in the forwarder's memory
	host      string
	id        string
	left      time.Duration // that the caller says to wait, or 0
	method    string
	own       bool // a call of the system's own, which waits at its maker
	priority  int  // 0 goes first
	received  time.Time
	route     directory.Route
	service   string
	used      time.Duration // that the caller has waited before, by earlier tries
	target    string        // path and query as the caller sent them
}

func (rq *request) streaming() bool { return rq.route.Streaming }

// repeatable reports whether running the request twice does no harm.
func (rq *request) repeatable() bool {
	return rq.route.Kind == directory.Repeatable || rq.route.Streaming && rq.route.Resumable
}

// firstWant returns what the first attempt asks. Calls of the system's own are made
// no faster than their maker lets them, and hold back for nothing here.
func (rq *request) firstWant() want {
	if rq.own {
		return anyEndpoint
	}
	return itsTurn
}

// hedgeWant returns what an attempt beside one that is slow asks.
func (rq *request) hedgeWant() want {
	if rq.own {
		return anyEndpoint
	}
	return roomInTime
}

// nextWant returns what an attempt after one with this result asks. After a refusal
// for want of a place another must have room: endpoints that stand fill no sooner by
// being asked in turn.
func (rq *request) nextWant(re *result) want {
	if rq.own || !re.full() {
		return anyEndpoint
	}
	return roomAtOnce
}

// A rejection is an answer that a request gets before any endpoint does.
type rejection struct {
	customer   string // whose request it is, if that decided
	detail     string // for the caller
	inputs     logrus.Fields
	reason     string
	retryAfter time.Duration
	status     int
}

// rejectionOf returns what a request gets that got no grant.
func rejectionOf(gr access.Grant) *rejection {
	if gr.Outcome == access.Undetermined {
		return &rejection{reason: string(gr.Reason), retryAfter: configurationRetry, status: http.StatusServiceUnavailable}
	}
	return &rejection{detail: string(gr.Reason), reason: string(gr.Reason), status: http.StatusUnauthorized}
}

// answer tells the caller.
func (rj *rejection) answer(rw http.ResponseWriter) {
	if rj.status == http.StatusUnauthorized {
		deny(rw, rj.detail)
		return
	}
	Refuse(rw, rj.status, rj.retryAfter)
}

// RefuseGrant answers a call that got no grant.
func RefuseGrant(rw http.ResponseWriter, gr access.Grant) { rejectionOf(gr).answer(rw) }

// read checks a request and reads its body.
func (fo *Forwarder) read(rw http.ResponseWriter, hr *http.Request) (*request, *rejection) {
	co := fo.Directory.Configuration()
	if co == nil {
		return nil, &rejection{reason: "no configuration yet", retryAfter: configurationRetry, status: http.StatusServiceUnavailable}
	}
	ro, ok := co.Route(hr.Host, hr.URL.Path)
	if !ok {
		return nil, &rejection{reason: "no route", status: http.StatusNotFound}
	}
	gr := fo.access().Check(co, ro.Public, hr.Header)
	if gr.Outcome != access.Allowed {
		return nil, rejectionOf(gr)
	}
	if rj := fo.operatorHold(gr.Customer.Name); rj != nil {
		return nil, rj
	}
	rq := &request{
		customer: gr.Customer.Name, priority: gr.Priority(ro),
		header: crossing(hr.Header), host: hr.Host, id: hr.Header.Get(fo.Headers.RequestID), method: hr.Method,
		received: time.Now(), route: ro, target: hr.URL.RequestURI(), service: pickShare(ro.Shares),
	}
	if rq.id == "" {
		return nil, &rejection{reason: "request has no id", status: http.StatusBadRequest}
	}
	fo.Headers.identify(rq.header, rq.customer, len(co.Customers) > 0)
	rq.left = parseDeadline(hr.Header.Get(fo.Headers.Deadline))
	rq.setDeadline(rq.left)
	if rj := fo.readBody(rw, hr, rq, co.Limits.BodySize); rj != nil {
		return nil, rj
	}
	if rj := fo.spend(hr.Context(), gr.Customer); rj != nil {
		fo.releaseMemory(rq)
		return nil, rj
	}
	rq.digest = quarantine.DigestOf(rq.customer, rq.host, rq.method, rq.target, rq.body)
	return rq, nil
}

// readBody reads a request's body, as far as memory is left for it.
func (fo *Forwarder) readBody(rw http.ResponseWriter, hr *http.Request, rq *request, limit int64) *rejection {
	cb := &countedBody{ReadCloser: hr.Body, customer: rq.customer, memory: &fo.memory}
	err := cb.reserve(max(hr.ContentLength, 1))
	if err == nil {
		hr.Body = cb
		rq.body, err = ReadBody(rw, hr, limit)
	}
	if err == nil {
		rq.heldBytes = cb.taken
		return nil
	}
	fo.memory.add(rq.customer, -cb.taken)
	if errors.Is(err, errNoMemory) {
		return fo.memory.rejection(rq.customer)
	}
	return &rejection{reason: err.Error(), status: BodyStatus(err)}
}

// BodyStatus returns the status for a body that could not be read whole.
func BodyStatus(err error) int {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// ReadBody reads a request's body of at most limit bytes; 0 means no limit.
func ReadBody(rw http.ResponseWriter, hr *http.Request, limit int64) ([]byte, error) {
	body := hr.Body
	if limit > 0 {
		body = http.MaxBytesReader(rw, body, limit)
	}
	return io.ReadAll(body)
}

// setDeadline bounds the request by what the caller and the operator allow. A
// stream is bounded by its caller alone once it has begun.
func (rq *request) setDeadline(caller time.Duration) {
	limit := caller
	if rq.route.Timeout > 0 && (limit == 0 || rq.route.Timeout < limit) {
		limit = rq.route.Timeout
	}
	if limit == 0 {
		limit = defaultDeadline
	}
	rq.deadline = rq.received.Add(limit)
}

// pickShare draws a service by its weight.
func pickShare(shares []directory.WeightedService) string {
	total := 0
	for _, sh := range shares {
		total += sh.Weight
	}
	if total == 0 {
		if len(shares) == 0 {
			return ""
		}
		return shares[0].Service
	}
	at := rand.IntN(total)
	for _, sh := range shares {
		if at < sh.Weight {
			return sh.Service
		}
		at -= sh.Weight
	}
	return ""
}

// boundBy returns a context that ends with ctx before the request is answered,
// and at its deadline. Answered lets attempts that still run come to their own
// end.
func boundBy(ctx context.Context, deadline time.Time) (bound context.Context, answered func()) {
	bound, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(ctx, cancel)
	return bound, func() { stop() }
}
