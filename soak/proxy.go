package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// A mode is how a proxy treats connections and bytes.
type mode int32

// The modes of a proxy.
const (
	pass    mode = iota
	delay        // bytes are delayed
	silence      // bytes are held back in both directions, connections stay open
	oneWay       // responses are held back
	refuse       // new connections are reset
	modes        // their number
)

var modeNames = [...]string{pass: "pass", delay: "delay", silence: "silence", oneWay: "one-way", refuse: "refuse"}

// proxyDelay is the delay of the mode delay: much longer than between failure
// domains.
const proxyDelay = 60 * time.Millisecond

// A proxy forwards connections to a target, disturbed according to its mode.
type proxy struct {
	conns    map[net.Conn]bool
	listener net.Listener
	mode     atomic.Int32
	mu       sync.Mutex
	target   string
}

// startProxy listens at an address, whose port may be 0.
func startProxy(address, target string) (*proxy, error) {
	var lc net.ListenConfig
	li, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	pr := &proxy{conns: map[net.Conn]bool{}, listener: li, target: target}
	go pr.accept(li)
	return pr, nil
}

func (pr *proxy) address() string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.listener.Addr().String()
}

func (pr *proxy) set(mo mode) { pr.mode.Store(int32(mo)) }

// reset resets all open connections.
func (pr *proxy) reset() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for co := range pr.conns {
		resetConn(co)
	}
}

// crash closes the listener and all connections. New ones are refused until revive.
func (pr *proxy) crash() {
	pr.mu.Lock()
	li := pr.listener
	pr.mu.Unlock()
	_ = li.Close()
	pr.reset()
}

// revive listens at the address again.
func (pr *proxy) revive() error {
	var lc net.ListenConfig
	li, err := lc.Listen(context.Background(), "tcp", pr.address())
	if err != nil {
		return err
	}
	pr.mu.Lock()
	pr.listener = li
	pr.mu.Unlock()
	go pr.accept(li)
	return nil
}

func (pr *proxy) close() {
	pr.crash()
}

func resetConn(co net.Conn) {
	if tc, ok := co.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // close sends a reset
	}
	_ = co.Close()
}

func (pr *proxy) accept(li net.Listener) {
	for {
		co, err := li.Accept()
		if err != nil {
			return
		}
		if mode(pr.mode.Load()) == refuse {
			resetConn(co)
			continue
		}
		go pr.serve(co)
	}
}

func (pr *proxy) serve(near net.Conn) {
	far, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", pr.target)
	if err != nil {
		resetConn(near)
		return
	}
	pr.track(near, far, true)
	defer pr.track(near, far, false)
	done := make(chan struct{}, 2)
	go func() {
		pr.copy(far, near, false)
		done <- struct{}{}
	}()
	go func() {
		pr.copy(near, far, true)
		done <- struct{}{}
	}()
	<-done
	resetConn(near)
	_ = far.Close()
	<-done
}

func (pr *proxy) track(near, far net.Conn, open bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, co := range []net.Conn{near, far} {
		if open {
			pr.conns[co] = true
		} else {
			delete(pr.conns, co)
		}
	}
}

// copy forwards bytes in one direction; answers is true for that of responses.
func (pr *proxy) copy(to io.Writer, from io.Reader, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for held(mode(pr.mode.Load()), answers) {
			time.Sleep(10 * time.Millisecond)
		}
		if mode(pr.mode.Load()) == delay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func held(mo mode, answers bool) bool { return mo == silence || mo == oneWay && answers }
