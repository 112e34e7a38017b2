// Package capacity measures the resource usage of the system at several sizes, to
// extrapolate it to the target size in docs/CAPACITY.md. Its golden tables are
// counts; times and memory are benchmarks: run them with go test -bench.
package capacity

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errNoListener means that an address has no listener.
var errNoListener = errors.New("no listener at address")

// A network connects processes by pipes. The zero value is ready to use.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// listen returns the listener of an address.
func (ne *network) listen(address string) *listener {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.listeners == nil {
		ne.listeners = map[string]*listener{}
	}
	li := &listener{address: address, closed: make(chan struct{}), conns: make(chan net.Conn)}
	ne.listeners[address] = li
	return li
}

// dial opens a connection to an address.
func (ne *network) dial(ctx context.Context, address string) (net.Conn, error) {
	ne.mu.Lock()
	li := ne.listeners[address]
	ne.mu.Unlock()
	if li == nil {
		return nil, errors.Wrap(errNoListener, address)
	}
	near, far := net.Pipe()
	select {
	case li.conns <- far:
		return near, nil
	case <-li.closed:
		return nil, errors.Wrap(errNoListener, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A listener accepts the connections to an address of a network.
type listener struct {
	address string
	closed  chan struct{}
	closing sync.Once
	conns   chan net.Conn
}

// Accept implements net.Listener.
func (li *listener) Accept() (net.Conn, error) {
	select {
	case co := <-li.conns:
		return co, nil
	case <-li.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (li *listener) Addr() net.Addr { return &net.UnixAddr{Name: li.address, Net: "pipe"} }

// Close implements net.Listener.
func (li *listener) Close() error {
	li.closing.Do(func() { close(li.closed) })
	return nil
}
