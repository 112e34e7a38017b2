package peer

import (
	"cmp"
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// A connection multiplexes the calls to one address.
type connection struct {
	address   string
	client    *rpc.Client   // set once ready is closed
	dead      chan struct{} // closed when the connection has failed
	pool      *Pool
	ready     chan struct{} // closed when the connection can be used
	writeLock chan struct{} // mutex for writing, of capacity 1
	wire      *wire         // set once ready is closed

	mu      sync.Mutex
	cause   error     // why the connection failed; set before dead is closed
	running int       // calls that wait for a response
	since   time.Time // when running last changed from or to zero
}

// call runs one call within a span and a timeout.
func (po *Pool) call(ctx context.Context, address, method string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(po.CallTimeout, DefaultCallTimeout))
	defer cancel()
	ctx, sp := tracer().Start(ctx, method, trace.WithSpanKind(trace.SpanKindClient))
	defer sp.End()
	response, err := po.exchange(ctx, address, method, payload)
	if err != nil {
		recordError(sp, err)
		return nil, errors.Wrapf(err, "call %s at %s", method, address)
	}
	return response, nil
}

// exchange sends a request over the pool's connection to address and returns the payload
// of the response.
func (po *Pool) exchange(ctx context.Context, address, method string, payload []byte) ([]byte, error) {
	cn, err := po.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := cn.waitReady(ctx); err != nil {
		return nil, err
	}
	resp, err := cn.exchange(ctx, method, payload)
	if err != nil {
		return nil, err
	}
	if po.ObserveFunc != nil {
		po.ObserveFunc(resp.Header(), address)
	}
	if resp.Failure != nil {
		return nil, resp.Failure.err(po.Codes)
	}
	return resp.Payload, nil
}

// connection returns the connection to address, dialing if there is none.
func (po *Pool) connection(ctx context.Context, address string) (*connection, error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed {
		return nil, mark(ErrClosed, ErrNotSent)
	}
	if cn, ok := po.conns[address]; ok {
		return cn, nil
	}
	cn := &connection{
		address:   address,
		dead:      make(chan struct{}),
		pool:      po,
		ready:     make(chan struct{}),
		since:     time.Now(),
		writeLock: make(chan struct{}, 1),
	}
	if po.conns == nil {
		po.conns = map[string]*connection{}
	}
	po.conns[address] = cn
	go cn.dial(context.WithoutCancel(ctx))
	return cn, nil
}

// drop removes a failed connection, so that the next call opens a new one.
func (po *Pool) drop(cn *connection) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.conns[cn.address] == cn {
		delete(po.conns, cn.address)
	}
}

// waitReady waits until the connection can be used.
func (cn *connection) waitReady(ctx context.Context) error {
	select {
	case <-cn.ready:
		return nil
	case <-cn.dead:
		return mark(cn.cause, ErrNotSent)
	case <-ctx.Done():
		return mark(ctx.Err(), ErrNotSent)
	}
}

// exchange sends a request and waits for its response. Each call has its own Response,
// so that a response that arrives after ctx ended can't reach another call.
func (cn *connection) exchange(ctx context.Context, method string, payload []byte) (*Response, error) {
	if !cn.startCall() {
		return nil, mark(cn.cause, ErrNotSent)
	}
	defer cn.endCall()
	select {
	case cn.writeLock <- struct{}{}:
	case <-cn.dead:
		return nil, mark(cn.cause, ErrNotSent)
	case <-ctx.Done():
		return nil, mark(ctx.Err(), ErrNotSent)
	}
	resp := &Response{}
	done := cn.send(cn.request(ctx, method, payload), resp)
	select {
	case ca := <-done:
		return resp, cn.outcome(ca.Error)
	case <-cn.dead:
		return nil, cn.cause
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// send writes a request in its own goroutine, so that a blocked write doesn't delay the
// caller beyond its deadline. The channel receives the call when it is done. The caller
// must hold cn.writeLock, which the goroutine releases.
func (cn *connection) send(req *Request, resp *Response) <-chan *rpc.Call {
	done := make(chan *rpc.Call, 1)
	go func() {
		cn.client.Go(serviceMethod, req, resp, done)
		<-cn.writeLock
	}()
	return done
}

// request returns the wire form of a call, with this process's header and ctx's trace
// context and remaining time.
func (cn *connection) request(ctx context.Context, method string, payload []byte) *Request {
	he := cn.pool.header()
	deadline, _ := ctx.Deadline()
	ca := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, ca)
	return &Request{
		Incarnation: he.Incarnation,
		Method:      method,
		Payload:     payload,
		Revision:    he.Revision,
		Sender:      he.Sender,
		TimeLeft:    time.Until(deadline).Milliseconds(),
		TraceParent: ca["traceparent"],
	}
}

// outcome returns the error of a call that net/rpc ended with err.
func (cn *connection) outcome(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrTooLarge):
		return mark(err, ErrNotSent)
	}
	cn.end(err)
	return cn.cause
}

// end fails the connection after a read or write error.
func (cn *connection) end(err error) {
	cn.fail(mark(err, ErrBroken))
}

// fail ends the connection and records the first cause. When it returns, no new call can
// use the connection.
func (cn *connection) fail(cause error) {
	cn.pool.drop(cn)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.cause != nil {
		return
	}
	cn.cause = cause
	close(cn.dead)
	if cn.wire != nil {
		// Not the client's Close, which would wait for a write in progress.
		abort(cn.wire.conn)
	}
}

// startCall counts a started call. It returns false if the connection has failed.
func (cn *connection) startCall() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.cause != nil {
		return false
	}
	if cn.running == 0 {
		cn.since = time.Now()
	}
	cn.running++
	return true
}

// endCall counts a finished call.
func (cn *connection) endCall() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.running--
	if cn.running == 0 {
		cn.since = time.Now()
	}
}

// watch pings while calls run, and closes the connection when nothing is received or no
// call is made for too long.
//
// A device on the path may drop a connection silently, so that its calls time out one
// after another. Pings distinguish such a connection from one with a slow call.
func (cn *connection) watch() {
	ti := time.NewTicker(cmp.Or(cn.pool.PingInterval, DefaultPingInterval))
	defer ti.Stop()
	for {
		select {
		case <-cn.dead:
			return
		case <-ti.C:
			if err := cn.check(time.Now()); err != nil {
				cn.fail(err)
				return
			}
		}
	}
}

// check returns an error if the connection is idle or silent for too long. It pings if
// calls run.
func (cn *connection) check(now time.Time) error {
	cn.mu.Lock()
	running, since := cn.running, cn.since
	cn.mu.Unlock()
	if running == 0 {
		if now.Sub(since) < cmp.Or(cn.pool.IdleTimeout, DefaultIdleTimeout) {
			return nil
		}
		return errors.Wrapf(ErrBroken, "no call for %v", now.Sub(since))
	}
	lastRead := time.Unix(0, cn.wire.lastRead.Load())
	if lastRead.Before(since) {
		lastRead = since
	}
	quiet := now.Sub(lastRead)
	switch {
	case quiet >= cmp.Or(cn.pool.SilenceTimeout, DefaultSilenceTimeout):
		return errors.Wrapf(ErrSilent, "nothing heard for %v", quiet)
	case quiet < cmp.Or(cn.pool.PingInterval, DefaultPingInterval)/2:
		return nil // the connection carries data
	}
	select {
	case cn.writeLock <- struct{}{}:
		cn.send(&Request{Method: pingMethod, Sender: cn.pool.header().Sender}, &Response{})
	default: // a request is being written; its response serves as a pong
	}
	return nil
}
