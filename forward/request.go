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

// A request is a caller's request that was checked and read completely.
type request struct {
	body      []byte
	customer  string // "" if callers need no key
	deadline  time.Time
	digest    quarantine.Digest // empty for an internal call
	header    http.Header       // end-to-end headers
	heldBytes int64             // of the body and the response, counted in the forwarder's memory
	host      string
	id        string
	remaining time.Duration // from the caller's deadline header, or 0
	method    string
	internal  bool // internal call, limited by its caller instead of the queue
	priority  int  // 0 is served first
	received  time.Time
	route     directory.Route
	service   string
	elapsed   time.Duration // estimated time used by earlier attempts of the caller
	target    string        // path and query as the caller sent them
}

func (rq *request) streaming() bool { return rq.route.Streaming }

// repeatable reports whether the request may run more than once.
func (rq *request) repeatable() bool {
	return rq.route.Kind == directory.Repeatable || rq.route.Streaming && rq.route.Resumable
}

// firstRequirement returns the requirement of the first attempt. Internal calls are limited by their
// caller and not queued.
func (rq *request) firstRequirement() requirement {
	if rq.internal {
		return anyEndpoint
	}
	return capacityQueued
}

// hedgeRequirement returns the requirement of a hedged attempt.
func (rq *request) hedgeRequirement() requirement {
	if rq.internal {
		return anyEndpoint
	}
	return capacityInTime
}

// nextRequirement returns the requirement of an attempt after one with this result. If an endpoint
// rejected the request for lack of capacity, the next must have some: trying full endpoints in turn
// only adds load.
func (rq *request) nextRequirement(re *result) requirement {
	if rq.internal || !re.full() {
		return anyEndpoint
	}
	return capacityNow
}

// A rejection is the answer to a request that is not forwarded.
type rejection struct {
	customer   string // set if it counts as the customer's
	detail     string // error message for the caller
	fields     logrus.Fields
	reason     string
	retryAfter time.Duration
	status     int
}

// rejectionOf returns the rejection of a request without a grant.
func rejectionOf(gr access.Grant) *rejection {
	if gr.Outcome == access.Undetermined {
		return &rejection{reason: string(gr.Reason), retryAfter: configurationRetry, status: http.StatusServiceUnavailable}
	}
	return &rejection{detail: string(gr.Reason), reason: string(gr.Reason), status: http.StatusUnauthorized}
}

// answer writes the rejection to the caller.
func (rj *rejection) answer(rw http.ResponseWriter) {
	if rj.status == http.StatusUnauthorized {
		deny(rw, rj.detail)
		return
	}
	Refuse(rw, rj.status, rj.retryAfter)
}

// RefuseGrant answers a request without a grant.
func RefuseGrant(rw http.ResponseWriter, gr access.Grant) { rejectionOf(gr).answer(rw) }

// read checks a request and reads its body.
func (fo *Forwarder) read(rw http.ResponseWriter, hr *http.Request) (*request, *rejection) {
	co := fo.Directory.Configuration()
	if co == nil {
		return nil, &rejection{reason: "no configuration yet", retryAfter: configurationRetry, status: http.StatusServiceUnavailable}
	}
	ro, ok := co.Route(hr.Host, hr.URL.Path)
	if !ok {
		return nil, ruledOut(fo.Directory, "no route", http.StatusNotFound)
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
		header: endToEnd(hr.Header), host: hr.Host, id: hr.Header.Get(fo.Headers.RequestID), method: hr.Method,
		received: time.Now(), route: ro, target: hr.URL.RequestURI(), service: pickShare(ro.Shares),
	}
	if rq.id == "" {
		return nil, &rejection{reason: "request has no id", status: http.StatusBadRequest}
	}
	fo.Headers.identify(rq.header, rq.customer, len(co.Customers) > 0)
	rq.remaining = parseDeadline(hr.Header.Get(fo.Headers.Deadline))
	rq.setDeadline(rq.remaining)
	if rj := fo.readBody(rw, hr, rq, co.Limits.BodySize); rj != nil {
		return nil, rj
	}
	rj := fo.stopping(rq)
	if rj == nil {
		rj = fo.useQuota(hr.Context(), gr.Customer)
	}
	if rj != nil {
		fo.releaseMemory(rq)
		return nil, rj
	}
	rq.digest = quarantine.DigestOf(rq.customer, rq.host, rq.method, rq.target, rq.body)
	return rq, nil
}

// readBody reads a request's body, and counts it in the forwarder's memory.
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
	if errors.Is(err, errMemoryLimit) {
		return fo.memory.rejection(rq.customer)
	}
	return bodyRejection(fo.Directory, err)
}

// bodyRejection returns the rejection for an error of ReadBody.
func bodyRejection(di *directory.Directory, err error) *rejection {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return ruledOut(di, err.Error(), http.StatusRequestEntityTooLarge)
	}
	return &rejection{reason: err.Error(), status: http.StatusBadRequest}
}

// RefuseBody answers a request after an error of ReadBody.
func RefuseBody(rw http.ResponseWriter, di *directory.Directory, err error) {
	bodyRejection(di, err).answer(rw)
}

// ruledOut returns the rejection of a request that the configuration does not allow. Callers treat the status as
// final, so while a newer configuration may exist they are told to come back instead.
func ruledOut(di *directory.Directory, reason string, status int) *rejection {
	if di.ConfigurationStale(time.Now()) {
		return &rejection{reason: reason + ", configuration may be old", retryAfter: configurationRetry, status: http.StatusServiceUnavailable}
	}
	return &rejection{reason: reason, status: status}
}

// ReadBody reads a request's body of at most limit bytes; 0 means no limit.
func ReadBody(rw http.ResponseWriter, hr *http.Request, limit int64) ([]byte, error) {
	body := hr.Body
	if limit > 0 {
		body = http.MaxBytesReader(rw, body, limit)
	}
	return io.ReadAll(body)
}

// setDeadline sets the deadline to the earlier of the caller's and the route's. Streams ignore it.
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

// pickShare picks a random service by weight.
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

// withDeadline returns a context that ends at the deadline, or with ctx until answered is called. After
// that, attempts still running may finish although ctx has ended.
func withDeadline(ctx context.Context, deadline time.Time) (bound context.Context, answered func()) {
	bound, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(ctx, cancel)
	return bound, func() { stop() }
}
