// Package peer implements calls between the system's processes over net/rpc. A call has
// a deadline, a span and typed errors. Pings detect connections that no longer carry data.
package peer

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Defaults of the zero Pool and the zero Server.
const (
	DefaultCallTimeout    = 5 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = time.Minute
	DefaultMaxMessageSize = 2 << 20 // bytes; a configuration of 1 MB fits
	DefaultPingInterval   = 500 * time.Millisecond
	DefaultSilenceTimeout = 2 * time.Second
)

// pingMethod is handled by every Server without registration.
const pingMethod = "peer.ping"

// Errors of Call, for errors.Is. Except with ErrNotSent, the call may or may not have
// run.
var (
	// ErrBroken means that the connection failed before the response arrived.
	ErrBroken = errors.New("connection broke before the answer")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("pool is closed")
	// ErrNotSent means that no byte of the call was written: it did not run.
	ErrNotSent = errors.New("call was not sent")
	// ErrSilent means that the connection was closed because neither a response nor a
	// pong arrived within SilenceTimeout.
	ErrSilent = errors.New("connection went silent")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = errors.New("message is too large")
	// ErrUnknownMethod means that the server has no handler of that name.
	ErrUnknownMethod = errors.New("unknown method")
)

// tracer returns the tracer of the package's spans.
func tracer() trace.Tracer { return otel.Tracer("wisteriacroft/peer") }

// recordError records a call's error in its span.
func recordError(sp trace.Span, err error) {
	sp.RecordError(err)
	sp.SetStatus(codes.Error, err.Error())
}

// mark wraps err so that errors.Is matches sentinel too.
func mark(err, sentinel error) error {
	if errors.Is(err, sentinel) {
		return err
	}
	return fmt.Errorf("%w: %w", sentinel, err)
}

// discard closes cl and ignores the error.
func discard(cl io.Closer) { _ = cl.Close() }

// abort closes a failed connection and discards its unsent data. Otherwise the kernel
// keeps sending it, and a call could arrive long after its caller's deadline.
func abort(co net.Conn) {
	if tc, ok := co.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // the connection has failed already
	}
	discard(co)
}
