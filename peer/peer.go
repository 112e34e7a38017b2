// Package peer carries calls between the system's own processes over
// net/rpc. A call has a deadline, a span and typed errors; a connection that
// has gone silent is found by pings and abandoned.
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

// pingMethod is answered by every Server itself.
const pingMethod = "peer.ping"

// Errors that Call returns, to be matched with errors.Is. After any of them
// but ErrNotSent the call may or may not have run.
var (
	// ErrBroken means that the connection broke before the answer came.
	ErrBroken = errors.New("connection broke before the answer")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("pool is closed")
	// ErrNotSent means that no byte of the call was written: it did not run.
	ErrNotSent = errors.New("call was not sent")
	// ErrSilent means that the connection brought neither the answer nor a
	// pong within its bound, and was abandoned.
	ErrSilent = errors.New("connection went silent")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = errors.New("message is too large")
	// ErrUnknownMethod means that the other side has no handler of that name.
	ErrUnknownMethod = errors.New("unknown method")
)

// tracer returns the tracer of the package's spans.
func tracer() trace.Tracer { return otel.Tracer("wisteriacroft/peer") }

// fail marks a span as that of a call that failed.
func fail(sp trace.Span, err error) {
	sp.RecordError(err)
	sp.SetStatus(codes.Error, err.Error())
}

// mark returns err as one that errors.Is matches with sentinel too.
func mark(err, sentinel error) error {
	if errors.Is(err, sentinel) {
		return err
	}
	return fmt.Errorf("%w: %w", sentinel, err)
}

// discard closes what is of no more use: its error would change nothing.
func discard(cl io.Closer) { _ = cl.Close() }

// abort closes a connection that failed, and drops what was written and not
// delivered. Closed in the usual way, the kernel goes on sending it: a call that
// its caller had given up arrived 5 s after the cut that had held it up.
func abort(co net.Conn) {
	if tc, ok := co.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // the connection has failed already
	}
	discard(co)
}
