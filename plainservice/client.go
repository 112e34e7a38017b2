// Package plainservice is the client of plain services, which have no model weights.
package plainservice

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors of a Client, for errors.Is.
var (
	// ErrNotSent means that no byte of the request was written, so that it did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that the request was at least partly written and that the response
	// is incomplete, so that it is unknown whether the request ran.
	ErrBroken = errors.New("connection to the service broke")
	// ErrMismatchedResponse means that a response belongs to another request.
	ErrMismatchedResponse = errors.New("answer belongs to another request")
)

// RequestIDHeader is the header for the request's ID, which the service echoes.
const RequestIDHeader = "X-Request-Id"

// A Request is a call to a service.
type Request struct {
	Body   []byte
	Header http.Header
	ID     string
	Method string
	Path   string
}

// A Response is a service's response. The caller must close Body.
type Response struct {
	Body   io.ReadCloser
	Header http.Header
	Status int
}

// A Report is the load that a service reports, which may be slightly outdated.
type Report struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// A Client calls one plain service. Tests can replace its functions.
type Client struct {
	// CallFunc returns when the response's header has been read. Reading a truncated Body
	// fails with ErrBroken.
	CallFunc func(ctx context.Context, req Request) (Response, error)
	// EndedFunc reports whether the service's process has ended. Nil means unknown.
	EndedFunc  func(ctx context.Context) bool
	ReportFunc func(ctx context.Context) (Report, error)
}
