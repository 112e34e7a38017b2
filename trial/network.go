package trial

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

const (
	dialTimeout   = time.Second
	listenTimeout = 5 * time.Second // for a killed process's port to become free
	listenWait    = 50 * time.Millisecond
)

// errKilled is the error of dialing from a killed process.
var errKilled = errors.New("process was killed")

// A network tracks all connections of one process, so that a trial can close
// them, as the end of a process does, or silence them.
type network struct {
	mu       sync.Mutex
	conns    map[*conn]struct{}
	cut      bool
	listener net.Listener
}

// dial opens a tracked connection.
func (ne *network) dial(ctx context.Context, address string) (net.Conn, error) {
	co, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return ne.track(co)
}

// httpClient returns a client with tracked connections.
func (ne *network) httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: roundtrip.Dial(func(ctx context.Context, _, address string) (net.Conn, error) {
			return ne.dial(ctx, address)
		}),
		DisableCompression:  true,
		IdleConnTimeout:     30 * time.Second,
		MaxIdleConnsPerHost: 64,
	}}
}

// listen listens on an address, and retries until listenTimeout while it is in use.
func (ne *network) listen(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			ne.listener = ln
			return nil
		}
		if !sleep(ctx, listenWait) {
			return errors.Wrapf(err, "listen on %s", address)
		}
	}
}

// Accept implements net.Listener.
func (ne *network) Accept() (net.Conn, error) {
	co, err := ne.listener.Accept()
	if err != nil {
		return nil, err
	}
	return ne.track(co)
}

// Addr implements net.Listener.
func (ne *network) Addr() net.Addr { return ne.listener.Addr() }

// Close implements net.Listener.
func (ne *network) Close() error { return ne.listener.Close() }

// track adds a connection, or closes it if the network is cut off.
func (ne *network) track(co net.Conn) (net.Conn, error) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.cut {
		_ = co.Close()
		return nil, errKilled
	}
	tracked := &conn{Conn: co, closed: make(chan struct{}), network: ne, deadlineChanged: make(chan struct{})}
	if ne.conns == nil {
		ne.conns = map[*conn]struct{}{}
	}
	ne.conns[tracked] = struct{}{}
	return tracked, nil
}

// cutOff closes the listener and all connections, and rejects new ones.
func (ne *network) cutOff() {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.cut = true
	_ = ne.listener.Close()
	for co := range ne.conns {
		_ = co.Conn.Close()
	}
}

// silence permanently silences the open connections; new ones work. It returns
// their number.
func (ne *network) silence() int {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for co := range ne.conns {
		co.silence()
	}
	return len(ne.conns)
}

// A conn is a connection that can be silenced: writes are then discarded, and
// reads return neither data nor EOF.
type conn struct {
	net.Conn
	closed  chan struct{} // by Close
	closing sync.Once
	network *network

	mu              sync.Mutex
	deadline        time.Time     // of reads
	deadlineChanged chan struct{} // closed when the deadline changes
	silent          bool
}

// silence permanently silences the connection.
func (co *conn) silence() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.silent = true
}

func (co *conn) isSilent() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.silent
}

// Read implements net.Conn.
func (co *conn) Read(data []byte) (int, error) {
	for {
		n, err := co.Conn.Read(data)
		switch {
		case !co.isSilent():
			return n, err
		case errors.Is(err, io.EOF):
			return 0, co.blockRead()
		case err != nil:
			return 0, err
		}
	}
}

// blockRead blocks like a read that receives no data: until the deadline, or until
// this end is closed.
func (co *conn) blockRead() error {
	for {
		co.mu.Lock()
		deadline, changed := co.deadline, co.deadlineChanged
		co.mu.Unlock()
		var over <-chan time.Time
		if !deadline.IsZero() {
			over = time.After(time.Until(deadline))
		}
		select {
		case <-co.closed:
			return net.ErrClosed
		case <-over:
			return os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

// SetDeadline implements net.Conn.
func (co *conn) SetDeadline(at time.Time) error {
	co.updateDeadline(at)
	return co.Conn.SetDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (co *conn) SetReadDeadline(at time.Time) error {
	co.updateDeadline(at)
	return co.Conn.SetReadDeadline(at)
}

// updateDeadline passes a new deadline to blocked reads.
func (co *conn) updateDeadline(deadline time.Time) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.deadline = deadline
	close(co.deadlineChanged)
	co.deadlineChanged = make(chan struct{})
}

// Write implements net.Conn.
func (co *conn) Write(data []byte) (int, error) {
	if co.isSilent() {
		return len(data), nil
	}
	return co.Conn.Write(data)
}

// Close implements net.Conn.
func (co *conn) Close() error {
	co.closing.Do(func() { close(co.closed) })
	co.network.mu.Lock()
	delete(co.network.conns, co)
	co.network.mu.Unlock()
	return co.Conn.Close()
}

// sleep waits for a duration and reports false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
