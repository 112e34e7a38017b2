package leader

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client for the calls of a leader. It opens a connection for each call, and
// resets it at the end.
//
// On a regular close during a network partition, the kernel could deliver the call once the
// partition ends, after those of the next holder.
func NewHTTPClient(dialFunc DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        roundtrip.Dial(dialFunc.dialResetting),
		DisableCompression: true,
		DisableKeepAlives:  true,
	}}
}

// dialResetting opens a connection that is reset when it is closed.
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
