// Package plainservice is the adapter to plain services: the one place that
// knows how they are reached.
package plainservice

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors that a Client returns, to be matched with errors.Is.
var (
	// ErrNotSent means that no byte of the request was written: it did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that the request was at least partly written and that
	// the answer is not whole: whether it ran is not known.
	ErrBroken = errors.New("connection to the service broke")
	// ErrMismatchedResponse means that an answer belongs to another request.
	ErrMismatchedResponse = errors.New("answer belongs to another request")
)

// RequestIDHeader carries the request's id to the service, which echoes it.
const RequestIDHeader = "X-Request-Id"

// A Request is one call of a service.
type Request struct {
	Body   []byte
	Header http.Header
	ID     string
	Method string
	Path   string
}

// A Response is a service's answer. The reader of Body closes it.
type Response struct {
	Body   io.ReadCloser
	Header http.Header
	Status int
}

// A Report is the load that a service reports, with a lag.
type Report struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// A Client reaches one plain service. Each field is a seam.
type Client struct {
	// CallFunc returns once the answer's head is there. A Body that ends
	// early gives ErrBroken from Read.
	CallFunc func(ctx context.Context, req Request) (Response, error)
	// EndedFunc reports whether the service's process has ended. Nil can't tell.
	EndedFunc  func(ctx context.Context) bool
	ReportFunc func(ctx context.Context) (Report, error)
}
