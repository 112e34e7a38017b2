package instancelist

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

// ErrUnavailable means that there was no complete response.
var ErrUnavailable = errors.New("instance list is unavailable")

// NewHTTP returns a Client of the HTTP server at baseURL. If hc is nil, it creates an
// http.Client.
func NewHTTP(baseURL string, hc *http.Client) *Client {
	cl := roundtrip.New(baseURL, hc, ErrUnavailable)
	return &Client{ListFunc: func(ctx context.Context) ([]Instance, error) {
		ins, status, err := roundtrip.Call[[]Instance](ctx, cl, http.MethodGet, "/instances", nil)
		if err == nil && status != http.StatusOK {
			err = errors.Wrapf(ErrUnavailable, "status %d", status)
		}
		return ins, errors.Wrap(err, "list instances")
	}}
}
