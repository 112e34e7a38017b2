package plainservice

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

// NewHTTP returns a Client that speaks HTTP with the service at baseURL. A nil
// hc means a client of its own. An answer without the echo of its request's id
// counts as crossed; one without a length, which a cut can't be told from, as
// broken.
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
