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

// A connection carries the calls to one address.
type connection struct {
	address string
	client  *rpc.Client   // set once ready is closed
	dead    chan struct{} // closed when it failed
	pool    *Pool
	ready   chan struct{} // closed when the connection can be used
	turn    chan struct{} // held by whoever writes
	wire    *wire         // set once ready is closed

	mu      sync.Mutex
	cause   error     // why it ended; set before dead is closed
	running int       // calls that wait for an answer
	since   time.Time // when running last became zero or ceased to be
}

// call runs one call, on a new connection if there is none.
func (po *Pool) call(ctx context.Context, address, method string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(po.CallTimeout, DefaultCallTimeout))
	defer cancel()
	ctx, sp := tracer().Start(ctx, method, trace.WithSpanKind(trace.SpanKindClient))
	defer sp.End()
	answer, err := po.exchange(ctx, address, method, payload)
	if err != nil {
		fail(sp, err)
		return nil, errors.Wrapf(err, "call %s at %s", method, address)
	}
	return answer, nil
}

// exchange sends a request over the pool's connection to address and returns
// the payload of its answer.
func (po *Pool) exchange(ctx context.Context, address, method string, payload []byte) ([]byte, error) {
	cn, err := po.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := cn.wait(ctx); err != nil {
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
		address: address,
		dead:    make(chan struct{}),
		pool:    po,
		ready:   make(chan struct{}),
		since:   time.Now(),
		turn:    make(chan struct{}, 1),
	}
	if po.conns == nil {
		po.conns = map[string]*connection{}
	}
	po.conns[address] = cn
	go cn.dial(context.WithoutCancel(ctx))
	return cn, nil
}

// drop forgets a connection that failed, so that the next call dials anew.
func (po *Pool) drop(cn *connection) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.conns[cn.address] == cn {
		delete(po.conns, cn.address)
	}
}

// wait returns once the connection can be used.
func (cn *connection) wait(ctx context.Context) error {
	select {
	case <-cn.ready:
		return nil
	case <-cn.dead:
		return mark(cn.cause, ErrNotSent)
	case <-ctx.Done():
		return mark(ctx.Err(), ErrNotSent)
	}
}

// exchange sends a request and waits for its answer. An answer that comes
// after ctx ended is written to a Response that nobody holds any more: it
// can't reach another call.
func (cn *connection) exchange(ctx context.Context, method string, payload []byte) (*Response, error) {
	if !cn.enter() {
		return nil, mark(cn.cause, ErrNotSent)
	}
	defer cn.leave()
	select {
	case cn.turn <- struct{}{}:
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

// send writes a request and tells the channel when it is answered. The sender
// must hold the connection's turn. Writing blocks while the other side doesn't
// read, which must not hold the caller beyond its own deadline, so it has its
// own goroutine.
func (cn *connection) send(req *Request, resp *Response) <-chan *rpc.Call {
	done := make(chan *rpc.Call, 1)
	go func() {
		cn.client.Go(serviceMethod, req, resp, done)
		<-cn.turn
	}()
	return done
}

// request returns the wire form of a call, with this process's header and
// the trace context and time left of ctx.
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

// outcome returns the error of a call that net/rpc ended.
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

// end fails the connection for an error of reading or writing.
func (cn *connection) end(err error) {
	cn.fail(mark(err, ErrBroken))
}

// fail ends the connection for a cause; only the first cause counts. When it
// returns, no new call takes the connection.
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
		// Not the client's Close: it waits for whoever writes now.
		abort(cn.wire.conn)
	}
}

// enter counts a call that starts. It returns false if the connection ended.
func (cn *connection) enter() bool {
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

// leave counts a call that ended.
func (cn *connection) leave() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.running--
	if cn.running == 0 {
		cn.since = time.Now()
	}
}

// watch pings while calls run, and ends the connection when it goes silent
// or stays idle.
//
// Something between the two ends may lose track of a connection: then both
// sides wait for good, and calls time out one after another. A pong shows
// that a slow call's connection still lives, so that only a dead one is
// abandoned.
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

// check returns why the connection should end, or nil. It pings if calls run.
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
	heard := time.Unix(0, cn.wire.heard.Load())
	if heard.Before(since) {
		heard = since
	}
	if now.Sub(heard) >= cmp.Or(cn.pool.SilenceTimeout, DefaultSilenceTimeout) {
		return errors.Wrapf(ErrSilent, "nothing heard for %v", now.Sub(heard))
	}
	select {
	case cn.turn <- struct{}{}:
		cn.send(&Request{Method: pingMethod, Sender: cn.pool.header().Sender}, &Response{})
	default: // a request is being written: its answer does what a pong would
	}
	return nil
}
