package roundtrip

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// endedTimeout bounds the look whether a server's process has ended: a connection
// to another failure domain takes 2 ms to open or to be refused.
const endedTimeout = 100 * time.Millisecond

// Ended reports whether the client's server has ended.
func (cl Client) Ended(ctx context.Context) bool {
	ur, err := url.Parse(cl.BaseURL)
	return err == nil && Ended(ctx, ur.Host)
}

// Ended reports whether the process that listened at an address has ended: its host
// refuses connections. It looks also when ctx has ended.
//
// An exchange also breaks because one connection is reset or an answer spoilt,
// which says nothing of the request. Only the end of the process does.
func Ended(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedTimeout)
	defer cancel()
	var di net.Dialer
	co, err := di.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = co.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
