package process

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound what clients of a server may send, and how long they may take.
// A zero field means the server's usual bound.
type Limits struct {
	HeaderSize    int           // of a request's head, in bytes
	HeaderTimeout time.Duration // until a head is whole
	IdleTimeout   time.Duration // of a connection between two requests
}

// maxGuardedHeader is the largest head that a guarded server reads, in bytes,
// whatever its limits say: the heads of a few hundred connections fit into the
// least memory of an instance.
const maxGuardedHeader = 256 << 10

// A Guard holds the connections of a server to limits that change while it
// serves. Fill the exported fields, then call Protect before the server serves.
//
// The bounds of net/http are fixed once a server serves. Operators change theirs
// at any time, and a client that keeps to a longer one would lose the request
// that it sends over a connection that the server has just closed.
type Guard struct {
	// LimitsFunc returns the limits in force.
	LimitsFunc func() Limits
	// RejectedFunc is told of each request whose head is too large.
	RejectedFunc func(rq *http.Request, size int)

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer // of connections that wait for a head
}

// Protect puts the guard in the place of a server's own bounds.
func (gu *Guard) Protect(sv *http.Server) {
	sv.ConnState = gu.follow
	sv.Handler = gu.checkHead(sv.Handler)
	sv.IdleTimeout = -1 // none
	sv.MaxHeaderBytes = maxGuardedHeader
	sv.ReadHeaderTimeout = 0 // none
}

// limits returns the limits in force, with usual bounds for those that are not
// set.
func (gu *Guard) limits() Limits {
	li := gu.LimitsFunc()
	return Limits{
		HeaderSize:    cmp.Or(li.HeaderSize, maxHeaderSize),
		HeaderTimeout: cmp.Or(li.HeaderTimeout, readHeaderTimeout),
		IdleTimeout:   cmp.Or(li.IdleTimeout, idleTimeout),
	}
}

// follow closes a connection that brings no whole head for as long as it may be
// idle and a head may take. The server tells when a head is whole, not when it
// begins.
func (gu *Guard) follow(co net.Conn, st http.ConnState) {
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

// checkHead refuses requests whose head is too large.
func (gu *Guard) checkHead(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		size := headSize(rq)
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

// headSize returns the size of a request's head, in bytes, without its Host
// line: never more than the client sent.
func headSize(rq *http.Request) int {
	size := len(rq.Method) + len(rq.RequestURI) + len("  HTTP/1.1\r\n")
	for name, values := range rq.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
