package plainservice

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

// NewHTTP returns a Client of the service with HTTP at baseURL. If hc is nil, it creates an
// http.Client. A response that doesn't echo the request's ID fails with
// ErrMismatchedResponse. Reading a body without a length fails with ErrBroken, since
// truncation can't be detected.
func NewHTTP(baseURL string, hc *http.Client) *Client {
	cl := roundtrip.New(baseURL, hc, ErrBroken)
	cl.Crossed = ErrMismatchedResponse
	cl.NotSent = ErrNotSent
	return &Client{
		CallFunc: func(ctx context.Context, req Request) (Response, error) {
			an, err := cl.Do(ctx, roundtrip.Request{
				Body: req.Body, Header: req.Header, ID: req.ID, Method: req.Method, Path: req.Path,
			})
			return Response(an), errors.Wrapf(err, "call %s", req.Path)
		},
		EndedFunc: cl.Ended,
		ReportFunc: func(ctx context.Context) (Report, error) {
			re, status, err := roundtrip.Call[Report](ctx, cl, http.MethodGet, "/report", nil)
			if err == nil && status != http.StatusOK {
				err = errors.Wrapf(ErrBroken, "status %d", status)
			}
			return re, errors.Wrap(err, "report")
		},
	}
}
