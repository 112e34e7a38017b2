package weightstore

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/roundtrip"
)

// ErrUnavailable means that there was no complete response.
var ErrUnavailable = errors.New("weight store is unavailable")

// A Weights is the HTTP response with the newest version of a model.
type Weights struct {
	Model   string         `json:"model"`
	Version engine.Version `json:"version"`
}

// A Rate is the HTTP response with the store's limit.
type Rate struct {
	Fetches int `json:"fetches"` // maximum number of concurrent fetches
}

// NewHTTP returns a Client of the HTTP server at baseURL. If hc is nil, it creates an
// http.Client.
func NewHTTP(baseURL string, hc *http.Client) *Client {
	cl := roundtrip.New(baseURL, hc, ErrUnavailable)
	return &Client{
		LatestFunc: func(ctx context.Context, model string) (engine.Version, error) {
			we, err := get[Weights](ctx, cl, "/weights/"+url.PathEscape(model))
			return we.Version, errors.Wrapf(err, "latest version of %s", model)
		},
		RateFunc: func(ctx context.Context) (int, error) {
			ra, err := get[Rate](ctx, cl, "/weights-rate")
			return ra.Fetches, errors.Wrap(err, "rate of the weight store")
		},
	}
}

func get[Answer any](ctx context.Context, cl roundtrip.Client, path string) (Answer, error) {
	an, status, err := roundtrip.Call[Answer](ctx, cl, http.MethodGet, path, nil)
	if err == nil && status != http.StatusOK {
		err = errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	return an, err
}
