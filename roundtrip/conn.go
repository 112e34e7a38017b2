package roundtrip

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Limits of the connections of NewHTTPClient.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxResponseHeader = 64 << 10 // bytes
	maxIdleConns      = 64       // idle connections per server
)

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial wraps dial so that its connections count their writes, for the Transport of a
// Client's http.Client. A nil dial means a net.Dialer. Without Dial, a Client returns
// Broken also for requests of which nothing was written on an open connection.
func Dial(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		co, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: co}, nil
	}
}

// NewHTTPClient returns an http.Client with its own connection pool, whose connections
// count their writes.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            Dial(nil),
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxResponseHeader,
	}}
}

// A countingConn counts its writes.
type countingConn struct {
	net.Conn
	started atomic.Int64 // writes, counted before they start
	empty   atomic.Int64 // failed writes of no byte
	sealed  atomic.Bool  // further writes fail
}

// Write implements net.Conn. It counts a write before it starts, so that written includes
// one in progress.
func (co *countingConn) Write(data []byte) (int, error) {
	co.started.Add(1)
	if co.sealed.Load() {
		co.empty.Add(1)
		return 0, net.ErrClosed
	}
	n, err := co.Conn.Write(data)
	if n == 0 && err != nil {
		co.empty.Add(1)
	}
	return n, err
}

// written returns the number of writes that may have written a byte. It loads empty first,
// so that concurrent writes can only make the result too high.
func (co *countingConn) written() int64 {
	empty := co.empty.Load()
	return co.started.Load() - empty
}

// seal closes the connection and makes further writes fail, including one that the
// transport is about to start.
func (co *countingConn) seal() {
	co.sealed.Store(true)
	_ = co.Close()
}

// A use is a connection that was assigned to a request, and the number of its writes before.
type use struct {
	conn    *countingConn // nil if the connection doesn't count its writes
	written int64
}

// A connTracker records the connections of one request. The transport calls its hooks from the
// request's goroutine.
type connTracker struct {
	requested bool // the transport has requested a connection
	uses      []use
}

// trace returns the hooks for the transport.
func (ct *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { ct.requested = true },
		GotConn: func(in httptrace.GotConnInfo) {
			us := use{}
			if co, ok := in.Conn.(*countingConn); ok {
				us = use{conn: co, written: co.written()}
			}
			ct.uses = append(ct.uses, us)
		},
	}
}

// notSent reports whether no byte of a failed request was written, and prevents later
// writes.
//
// The transport's error doesn't show whether the endpoint received the request. The number
// of writes on the sealed connection does. Otherwise a request could be reported as not
// run, and retried, although it ran.
func (ct *connTracker) notSent() bool {
	if !ct.requested {
		return false // the transport doesn't support httptrace
	}
	for _, us := range ct.uses {
		if us.conn == nil {
			return false
		}
		us.conn.seal()
		if us.conn.written() != us.written {
			return false
		}
	}
	return true
}

// drop closes the connections that the request used.
func (ct *connTracker) drop() {
	for _, us := range ct.uses {
		if us.conn != nil {
			us.conn.seal()
		}
	}
}
