package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
	"wisteriacroft/incarnation"
	"wisteriacroft/roundtrip"
)

// Errors of an attempt.
var (
	errIncomplete = errors.New("incomplete response")
	errNotSent    = errors.New("request was not sent")
)

// A result is the result of one attempt.
type result struct {
	attempts  int // endpoints that the request was sent to so far
	body      []byte
	endpoint  directory.Endpoint
	err       error
	failures  int // attempts so far that endpoints answered with an internal error
	header    http.Header
	heldFor   time.Duration // time for which the request must not be sent again
	notRun    bool          // the endpoint did not and will not run the request
	partial   bool          // the body did not end well
	refusal   *admission.Refusal
	signature string // signature header of the response
	status    int
	stream    io.ReadCloser // instead of body, on streaming routes
	took      time.Duration
	tried     map[string]bool // endpoints that the request was sent to, by ID
	waited    time.Duration   // in the queue
}

// failed reports whether the endpoint ran the request and failed it.
func (re *result) failed() bool {
	return re.err == nil && !re.notRun && re.status == http.StatusInternalServerError
}

// final reports whether the result is returned to the caller without another attempt.
func (re *result) final(repeatable bool) bool {
	if re.err != nil || re.notRun {
		return false
	}
	return !repeatable || re.status < http.StatusInternalServerError
}

// endless reports whether the endpoint was still sending the response when the deadline passed.
func (re *result) endless(ctx context.Context) bool {
	return re.partial && errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// full reports whether the endpoint rejected the request for lack of capacity.
func (re *result) full() bool {
	return re.err == nil && re.notRun && re.status != http.StatusMisdirectedRequest
}

// began reports whether the endpoint may have run the request.
func (re *result) began() bool { return !re.notRun }

// send makes one attempt at an endpoint. It returns after the complete response or, for a stream,
// after its header.
func (fo *Forwarder) send(ctx context.Context, rq *request, en directory.Endpoint) *result {
	run := fo.Usage.Begin(rq.customer)
	re := fo.exchange(ctx, rq, en)
	run.End(re.began())
	return re
}

// exchange sends a request to an endpoint and reads the response.
func (fo *Forwarder) exchange(ctx context.Context, rq *request, en directory.Endpoint) *result {
	begun := time.Now()
	re := &result{endpoint: en}
	he := rq.header.Clone()
	he.Set(fo.Headers.Expect, en.ID)
	if !rq.streaming() {
		left := max(time.Until(rq.deadline), time.Millisecond)
		he.Set(fo.Headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	an, err := fo.client(en).Do(ctx, roundtrip.Request{
		Body: rq.body, Header: he, Host: rq.host, ID: rq.id, MaxAnswerSize: maxAnswerSize, Method: rq.method, Path: rq.target,
	})
	re.took = time.Since(begun)
	if err != nil {
		re.err, re.notRun = err, errors.Is(err, errNotSent)
		return re
	}
	re.header, re.status, re.signature = an.Header, an.Status, an.Header.Get(fo.Headers.Signature)
	re.notRun = an.Header.Get(fo.Headers.NotRun) != "" || an.Status == http.StatusMisdirectedRequest
	if rq.streaming() && an.Status == http.StatusOK {
		re.stream = an.Body
		return re
	}
	defer func() { _ = an.Body.Close() }()
	re.body, re.err = readAnswer(an.Body, rq, &fo.memory)
	re.partial = re.err != nil
	re.took = time.Since(begun)
	if re.err == nil && !re.notRun && re.signature == "" && an.Status < http.StatusMultipleChoices {
		re.err = errors.Wrap(errIncomplete, "response has no endpoint signature")
	}
	return re
}

// client returns the client of an endpoint, and replaces it if the endpoint moved or restarted.
func (fo *Forwarder) client(en directory.Endpoint) roundtrip.Client {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.clients == nil {
		fo.clients = map[string]endpointClient{}
	}
	ec, ok := fo.clients[en.ID]
	if ok && ec.reaches(en) {
		return ec.client
	}
	if ok {
		ec.client.HTTP.CloseIdleConnections()
	}
	cl := roundtrip.New("http://"+en.Address, NewHTTPClient(), errIncomplete)
	cl.NotSent = errNotSent
	cl.IDHeader = fo.Headers.RequestID
	fo.clients[en.ID] = endpointClient{address: en.Address, incarnation: en.Incarnation, client: cl}
	return cl
}

// An endpointClient is a client for one incarnation of an endpoint.
type endpointClient struct {
	address     string
	incarnation incarnation.Number
	client      roundtrip.Client
}

// reaches reports whether the client's connections lead to the current incarnation of the endpoint.
// After a restart each old connection would fail one attempt.
func (ec endpointClient) reaches(en directory.Endpoint) bool {
	return ec.address == en.Address && !en.Incarnation.Supersedes(ec.incarnation)
}

// Expire removes the state, metrics and connections of endpoints that no longer exist.
func (fo *Forwarder) Expire() {
	exists := func(id string) bool {
		_, ok := fo.Directory.Endpoint(id)
		return ok
	}
	for _, id := range fo.table.Forget(exists) {
		fo.Metrics.UnregisterMetric(limitMetric(id))
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for id, ec := range fo.clients {
		if !exists(id) {
			ec.client.HTTP.CloseIdleConnections()
			delete(fo.clients, id)
		}
	}
}
