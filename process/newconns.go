package process

import (
	"net"
	"net/http"
	"sync"
)

// A newConns tracks a server's connections that have not carried a request yet, and closes
// them when the server is shut down.
//
// Clients may open a connection and not use it. A shutdown by net/http waits several
// seconds for the first request of such a connection, which would exceed the grace period.
type newConns struct {
	closed bool // new connections are closed at once
	conns  map[net.Conn]struct{}
	mu     sync.Mutex
}

// register registers the hooks with a server that has not been started.
func (nc *newConns) register(sv *http.Server) {
	sv.ConnState = nc.onConnState
	sv.RegisterOnShutdown(nc.close)
}

// onConnState tracks a connection's state.
func (nc *newConns) onConnState(co net.Conn, st http.ConnState) {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	switch {
	case st != http.StateNew:
		delete(nc.conns, co)
	case nc.closed:
		_ = co.Close() // accepted during the shutdown
	default:
		if nc.conns == nil {
			nc.conns = map[net.Conn]struct{}{}
		}
		nc.conns[co] = struct{}{}
	}
}

// close closes all tracked connections and those accepted later.
func (nc *newConns) close() {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	nc.closed = true
	for co := range nc.conns {
		_ = co.Close()
	}
}
