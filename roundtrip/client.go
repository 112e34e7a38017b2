// Package roundtrip makes single HTTP exchanges and reports whether any byte of a request
// was written. The clients of external systems use it.
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

// IDHeader is the default header for a request's ID, which the server echoes.
const IDHeader = "X-Request-Id"

// MaxAnswerSize is the default maximum size of a response body, in bytes.
const MaxAnswerSize = 64 << 20

// A Client makes exchanges with one server. The error of a failed exchange wraps Broken,
// Crossed or NotSent.
type Client struct {
	BaseURL string
	// Broken means that a byte of the request may have been written and that there is no
	// complete response.
	Broken error
	// Crossed means that the response doesn't echo the request's ID.
	Crossed error
	HTTP    *http.Client
	// IDHeader replaces the package's IDHeader unless empty.
	IDHeader string
	// NotSent means that no byte of the request was or will be written.
	NotSent error
}

// New returns a Client of the server at baseURL whose errors all wrap err. It doesn't
// follow redirects. A nil hc means NewHTTPClient.
func New(baseURL string, hc *http.Client, err error) Client {
	if hc == nil {
		hc = NewHTTPClient()
	}
	noRedirect := *hc
	noRedirect.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return Client{
		BaseURL: strings.TrimSuffix(baseURL, "/"),
		Broken:  err,
		Crossed: err,
		HTTP:    &noRedirect,
		NotSent: err,
	}
}

// A Request is the request of an exchange.
type Request struct {
	Body          []byte
	Header        http.Header
	Host          string // empty for the host of the base URL
	ID            string // empty to send no ID and to check no echo
	MaxAnswerSize int64  // replaces the package's MaxAnswerSize unless 0
	Method        string
	Path          string // with the query
}

// A Response is the response of an exchange. The caller must close Body.
type Response struct {
	Body   io.ReadCloser // read errors wrap Broken
	Header http.Header
	Status int
}

// Do sends a request at most once and returns when the response's header has been read.
//
// A header is bounded in size by the transport, and in time from its first byte on, so that a server which sends bytes
// without end holds neither memory nor the caller.
func (cl Client) Do(ctx context.Context, req Request) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, errors.Wrapf(cl.NotSent, "%v", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var ct connTracker
	hg := headGuard{cancel: cancel}
	defer hg.stop()
	hr, err := cl.newRequest(httptrace.WithClientTrace(httptrace.WithClientTrace(ctx, ct.trace()), hg.trace()), req)
	if err != nil {
		cancel(nil)
		return Response{}, errors.Wrapf(cl.NotSent, "%v", err)
	}
	resp, err := cl.HTTP.Do(hr)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errEndlessHead) {
			err = cause
		}
		cancel(nil)
		// The cause of a stalled connection usually affects all open connections. Close
		// the idle ones, or the next calls would time out on them.
		cl.HTTP.CloseIdleConnections()
		if ct.notSent() {
			return Response{}, errors.Wrapf(cl.NotSent, "%v", err)
		}
		return Response{}, errors.Wrapf(cl.Broken, "%v", err)
	}
	if !isAnswer(resp.StatusCode) {
		_ = resp.Body.Close()
		cancel(nil)
		ct.drop()
		return Response{}, errors.Wrapf(cl.Broken, "status %03d is no answer", resp.StatusCode)
	}
	if echo := resp.Header.Get(cl.idHeader()); req.ID != "" && echo != req.ID {
		_ = resp.Body.Close()
		cancel(nil)
		ct.drop()
		return Response{}, errors.Wrapf(cl.Crossed, "answer to %q came for %q", echo, req.ID)
	}
	body := newResponseBody(resp, cl.Broken, cmp.Or(req.MaxAnswerSize, MaxAnswerSize), func() { cancel(nil) })
	return Response{Body: body, Header: resp.Header, Status: resp.StatusCode}, nil
}

// newRequest returns a request that net/http's transport never sends twice.
//
// When a reused connection breaks, the transport retries requests that it considers
// idempotent: those with a method like GET or with an idempotency key, if they have no
// body or one that can be rewound. The endpoint would then run a call twice. To prevent
// that, the body can't be rewound, and the key's header has a lower-case name, which the
// transport doesn't recognize and which is equivalent for servers.
func (cl Client) newRequest(ctx context.Context, req Request) (*http.Request, error) {
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
	if hr.Body == http.NoBody && usuallyWithoutBody(hr.Method) {
		hr.Body = io.NopCloser(strings.NewReader("")) // NoBody counts as rewindable
	}
	return hr, nil
}

// isAnswer reports whether a status is that of a final response. The transport lets others pass, down to 000; interim
// responses (1xx) it skips, but for the switch to another protocol, which no request asks for.
func isAnswer(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxStatus is the highest status of HTTP.
const maxStatus = 599

func (cl Client) idHeader() string { return cmp.Or(cl.IDHeader, IDHeader) }

// usuallyWithoutBody reports whether requests of a method usually have no body, so that the
// transport probes the body before it sends a Content-Length or Transfer-Encoding.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// Call sends in as JSON (no body if it is nil) with a new request ID and decodes the JSON
// response. For a status other than 200 it returns the status, a zero Out and no error.
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
