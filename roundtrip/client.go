// Package roundtrip makes single HTTP exchanges and tells whether any byte of
// a request was written. The adapters to the outside systems build on it.
package roundtrip

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// IDHeader carries a request's id to the server, which echoes it.
const IDHeader = "X-Request-Id"

// MaxAnswerSize is the largest answer that is read, in bytes.
const MaxAnswerSize = 64 << 20

// A Client makes exchanges with one server. Its errors are what a failed
// exchange wraps.
type Client struct {
	BaseURL string
	// Broken: a byte of the request may have been written, and there is no
	// whole answer.
	Broken error
	// Crossed: the answer doesn't echo the request's id.
	Crossed error
	HTTP    *http.Client
	// IDHeader carries the request's id instead of the package's IDHeader.
	IDHeader string
	// NotSent: no byte of the request was or will be written.
	NotSent error
}

// New returns a Client of the server at baseURL whose failures all wrap err. A
// nil hc means NewHTTPClient.
func New(baseURL string, hc *http.Client, err error) Client {
	if hc == nil {
		hc = NewHTTPClient()
	}
	once := *hc
	once.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return Client{
		BaseURL: strings.TrimSuffix(baseURL, "/"),
		Broken:  err,
		Crossed: err,
		HTTP:    &once,
		NotSent: err,
	}
}

// A Request is one exchange's request.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string // empty for the server's own
	ID     string // empty: nothing is sent, and no echo is checked
	Method string
	Path   string // with its query
}

// A Response is one exchange's answer. The reader of Body closes it.
type Response struct {
	Body   io.ReadCloser // fails with Broken if it ends early
	Header http.Header
	Status int
}

// Do sends a request at most once and returns once the answer's head is there.
func (cl Client) Do(ctx context.Context, req Request) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, errors.Wrapf(cl.NotSent, "%v", err)
	}
	var wa watch
	hr, err := cl.build(httptrace.WithClientTrace(ctx, wa.trace()), req)
	if err != nil {
		return Response{}, errors.Wrapf(cl.NotSent, "%v", err)
	}
	resp, err := cl.HTTP.Do(hr)
	if err != nil {
		// What makes one connection go silent for good mostly takes the others
		// that were open then. One notices it by calls that each wait for their
		// deadline on the next idle one. New connections work.
		cl.HTTP.CloseIdleConnections()
		if wa.notSent() {
			return Response{}, errors.Wrapf(cl.NotSent, "%v", err)
		}
		return Response{}, errors.Wrapf(cl.Broken, "%v", err)
	}
	if echo := resp.Header.Get(cl.idHeader()); req.ID != "" && echo != req.ID {
		_ = resp.Body.Close()
		wa.drop()
		return Response{}, errors.Wrapf(cl.Crossed, "answer to %q came for %q", echo, req.ID)
	}
	return Response{Body: newAnswerBody(resp, cl.Broken), Header: resp.Header, Status: resp.StatusCode}, nil
}

// build makes a request that net/http's transport never sends twice.
//
// What goes wrong: on a reused connection that breaks, the transport repeats
// what it takes for idempotent: requests without a body, or with one it can
// rewind, that use GET or the like or that carry an idempotency key. One
// notices it by two runs for one call. A body that can't be rewound stops the
// first kind, a key's name in lower case (which the transport doesn't look for
// and servers can't tell apart) the second.
func (cl Client) build(ctx context.Context, req Request) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, req.Method, cl.BaseURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if req.Header != nil {
		hr.Header = req.Header.Clone()
	}
	if req.Host != "" {
		hr.Host = req.Host
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := hr.Header[name]; ok {
			delete(hr.Header, name)
			hr.Header[strings.ToLower(name)] = values
		}
	}
	if req.ID != "" {
		hr.Header.Set(cl.idHeader(), req.ID)
	}
	hr.GetBody = nil
	if hr.Body == http.NoBody && bodiless(hr.Method) {
		hr.Body = io.NopCloser(strings.NewReader("")) // NoBody counts as rewindable
	}
	return hr, nil
}

func (cl Client) idHeader() string { return cmp.Or(cl.IDHeader, IDHeader) }

// bodiless tells whether requests of a method have no body as a rule, so that
// the transport looks into the body before it announces one.
func bodiless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// Call sends in as JSON (nothing if it is nil), with an id of its own, and
// decodes the answer. An answer that is no 200 gives its status and a zero Out,
// and no error.
func Call[Out any](ctx context.Context, cl Client, method, path string, in any) (Out, int, error) {
	var out Out
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return out, 0, errors.Wrapf(cl.NotSent, "encode: %v", err)
		}
	}
	an, err := cl.Do(ctx, Request{Body: body, ID: uuid.NewString(), Method: method, Path: path})
	if err != nil {
		return out, 0, err
	}
	defer func() { _ = an.Body.Close() }()
	data, err := io.ReadAll(an.Body)
	if err != nil || an.Status != http.StatusOK || len(data) == 0 {
		return out, an.Status, err
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, an.Status, errors.Wrapf(cl.Broken, "decode the answer: %v", err)
	}
	return out, an.Status, nil
}
