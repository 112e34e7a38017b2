package peer

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"wisteriacroft/message"
)

// A Pool keeps one connection to each address that it calls. The zero Pool is ready to
// use. Its methods are safe for concurrent use.
type Pool struct {
	// CallTimeout bounds a call whose context has no earlier deadline.
	CallTimeout time.Duration
	// Codes are sentinel errors in addition to the common ones.
	Codes []Code
	// DialFunc opens a connection; nil means TCP.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds dialing.
	DialTimeout time.Duration
	// HeaderFunc returns the header of this process.
	HeaderFunc func() message.Header
	// IdleTimeout is the time without a call after which a connection is closed.
	IdleTimeout time.Duration
	// MaxMessageSize limits a message, in bytes.
	MaxMessageSize int
	// ObserveFunc, if not nil, is called with the header of each response and the address
	// called.
	ObserveFunc func(he message.Header, address string)
	// PingInterval is how often a connection is pinged while calls run on it.
	PingInterval time.Duration
	// SilenceTimeout is the time without a byte read, while calls run, after which a
	// connection is closed.
	SilenceTimeout time.Duration

	bytes  Bytes
	closed bool
	conns  map[string]*connection
	mu     sync.Mutex
}

// Bytes returns the byte counters of the pool's connections.
func (po *Pool) Bytes() *Bytes { return &po.bytes }

// Call calls a method of the process at address and waits for its response. The error is
// an *outcome.Refusal or a *RemoteError returned by the server, the context's error, or
// one of this package's.
func Call[Req, Resp any](ctx context.Context, po *Pool, address, method string, req Req) (Resp, error) {
	var resp Resp
	payload, err := encodePayload(req)
	if err != nil {
		return resp, err
	}
	response, err := po.call(ctx, address, method, payload)
	if err != nil {
		return resp, err
	}
	return resp, decodePayload(response, &resp)
}

// Sender returns a function that calls a method asynchronously. It calls done exactly
// once, from another goroutine. Calls end with ctx.
func Sender[Req, Resp any](
	ctx context.Context, po *Pool, method string, timeout time.Duration,
) func(address string, req Req, done func(Resp, error)) {
	return func(address string, req Req, done func(Resp, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			done(Call[Req, Resp](ctx, po, address, method, req))
		}()
	}
}

// Close closes all connections; running calls fail with ErrClosed.
func (po *Pool) Close() {
	po.mu.Lock()
	po.closed = true
	cns := slices.Collect(maps.Values(po.conns))
	po.mu.Unlock()
	for _, cn := range cns {
		cn.fail(ErrClosed)
	}
}

func (po *Pool) header() message.Header {
	if po.HeaderFunc == nil {
		return message.Header{}
	}
	return po.HeaderFunc()
}
