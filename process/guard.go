package process

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound the headers and timeouts of a server's connections. A zero field means the
// server's default.
type Limits struct {
	HeaderSize    int           // maximum size of a request's header, in bytes
	HeaderTimeout time.Duration // until a header is received completely
	IdleTimeout   time.Duration // of a connection between two requests
}

// maxGuardedHeader is the maximum header size of a guarded server regardless of its
// limits, in bytes. It bounds the memory of a connection.
const maxGuardedHeader = 256 << 10

// A Guard enforces limits on a server's connections that can change while it serves. Set
// the exported fields, then call Protect before the server starts.
//
// The limits of net/http are fixed once a server has started. If operators raise the idle
// timeout, clients that rely on it would send requests on connections that the server has
// just closed.
type Guard struct {
	// LimitsFunc returns the current limits.
	LimitsFunc func() Limits
	// RejectedFunc, if not nil, is called for each request whose header is too large, with
	// the header's size in bytes.
	RejectedFunc func(rq *http.Request, size int)

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer // of connections that wait for a header
}

// Protect replaces the limits of a server by the guard.
func (gu *Guard) Protect(sv *http.Server) {
	sv.ConnState = gu.onConnState
	sv.Handler = gu.limitHeader(sv.Handler)
	sv.IdleTimeout = -1 // no timeout
	sv.MaxHeaderBytes = maxGuardedHeader
	sv.ReadHeaderTimeout = 0 // no timeout
}

// limits returns the current limits, with defaults for those that are zero.
func (gu *Guard) limits() Limits {
	li := gu.LimitsFunc()
	return Limits{
		HeaderSize:    cmp.Or(li.HeaderSize, maxHeaderSize),
		HeaderTimeout: cmp.Or(li.HeaderTimeout, readHeaderTimeout),
		IdleTimeout:   cmp.Or(li.IdleTimeout, idleTimeout),
	}
}

// onConnState tracks a connection's state and closes the connection if no complete header
// arrives within the idle and header timeouts together. net/http reports when a header is
// complete, not when it starts.
func (gu *Guard) onConnState(co net.Conn, st http.ConnState) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if ti := gu.timers[co]; ti != nil {
		ti.Stop()
		delete(gu.timers, co)
	}
	if st != http.StateNew && st != http.StateIdle {
		return
	}
	if gu.timers == nil {
		gu.timers = map[net.Conn]*time.Timer{}
	}
	li := gu.limits()
	gu.timers[co] = time.AfterFunc(li.IdleTimeout+li.HeaderTimeout, func() { _ = co.Close() })
}

// limitHeader rejects requests whose header is too large.
func (gu *Guard) limitHeader(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		size := headerSize(rq)
		if size <= gu.limits().HeaderSize {
			ha.ServeHTTP(rw, rq)
			return
		}
		if gu.RejectedFunc != nil {
			gu.RejectedFunc(rq, size)
		}
		rw.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	})
}

// headerSize returns the size of a request line and header without the Host line, in bytes.
// It never exceeds what the client sent.
func headerSize(rq *http.Request) int {
	size := len(rq.Method) + len(rq.RequestURI) + len("  HTTP/1.1\r\n")
	for name, values := range rq.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
