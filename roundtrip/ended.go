package roundtrip

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// endedTimeout bounds the connection attempt of Ended. A connection to another failure domain takes 2 ms to open or
// to be refused.
const endedTimeout = 100 * time.Millisecond

// Ended reports whether the server's process has ended.
func (cl Client) Ended(ctx context.Context) bool {
	ur, err := url.Parse(cl.BaseURL)
	return err == nil && Ended(ctx, ur.Host)
}

// Ended reports whether the process that listened at an address has ended, that is whether
// its host refuses connections. It ignores the cancellation of ctx.
//
// A broken exchange alone doesn't show that: a single connection may have been reset.
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
