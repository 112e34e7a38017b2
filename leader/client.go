package leader

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

// A DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client for a duty's calls, which makes a connection by dialFunc
// for each call and resets it at its end.
//
// Closed as usual, a connection whose other end is cut off would deliver the call whenever
// the cut ends, after those of the next holder.
func NewHTTPClient(dialFunc DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        roundtrip.Dial(dialFunc.dialResetting),
		DisableCompression: true,
		DisableKeepAlives:  true,
	}}
}

// dialResetting makes a connection that is reset when it is closed.
func (df DialFunc) dialResetting(ctx context.Context, network, address string) (net.Conn, error) {
	co, err := df(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tc, ok := co.(*net.TCPConn)
	if !ok {
		return co, nil
	}
	if err := tc.SetLinger(0); err != nil {
		return nil, errors.CombineErrors(err, co.Close())
	}
	return co, nil
}
