package peer

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"wisteriacroft/message"
)

// All calls use the same net/rpc receiver and method; Request.Method selects the
// handler.
const (
	receiverName  = "peer"
	serviceMethod = receiverName + ".Dispatch"
)

// A handler serves one method, with an encoded payload and response.
type handler func(ctx context.Context, he message.Header, payload []byte) ([]byte, error)

// A Server serves calls from other processes. It is an http.Handler for CONNECT on
// message.RPCPath. The zero Server is ready to use; set its fields and register all
// methods before it serves.
type Server struct {
	// Codes are sentinel errors in addition to the common ones.
	Codes []Code
	// HeaderFunc returns the header of this process.
	HeaderFunc func() message.Header
	// MaxMessageSize limits a message, in bytes.
	MaxMessageSize int
	// ObserveFunc, if not nil, is called with the header of each request and the client's
	// address.
	ObserveFunc func(he message.Header, address string)

	bytes    Bytes
	conns    map[net.Conn]struct{}
	closed   bool
	handlers map[string]handler
	mu       sync.Mutex
	idle     []chan struct{} // closed when running becomes zero
	running  int
	server   *rpc.Server
	start    sync.Once
}

// Handle registers the handler of a method. Its context ends with the caller's deadline
// or the connection.
func Handle[Req, Resp any](
	sv *Server, method string, fn func(ctx context.Context, he message.Header, req Req) (Resp, error),
) {
	register(sv, method, func(ctx context.Context, he message.Header, req Req) ([]byte, error) {
		resp, err := fn(ctx, he, req)
		if err != nil {
			return nil, err
		}
		return encodePayload(resp)
	})
}

// register registers the handler of a method, which returns an encoded response.
func register[Req any](
	sv *Server, method string, fn func(ctx context.Context, he message.Header, req Req) ([]byte, error),
) {
	if sv.handlers == nil {
		sv.handlers = map[string]handler{}
	}
	sv.handlers[method] = func(ctx context.Context, he message.Header, payload []byte) ([]byte, error) {
		var req Req
		if err := decodePayload(payload, &req); err != nil {
			return nil, errors.Wrapf(err, "decode the request of %s", method)
		}
		return fn(ctx, he, req)
	}
}

// Bytes returns the byte counters of the server's connections.
func (sv *Server) Bytes() *Bytes { return &sv.bytes }

// ServeHTTP switches the connection of a CONNECT request to net/rpc.
func (sv *Server) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	if rq.Method != http.MethodConnect {
		http.Error(rw, "must CONNECT", http.StatusMethodNotAllowed)
		return
	}
	co, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(co, "HTTP/1.0 200 Connected\n\n"); err != nil {
		discard(co)
		return
	}
	sv.ServeConn(rq.Context(), co)
}

// ServeConn serves the calls on co until it closes. The handlers' contexts derive from
// ctx.
func (sv *Server) ServeConn(ctx context.Context, co net.Conn) {
	sv.start.Do(func() {
		sv.server = rpc.NewServer()
		if err := sv.server.RegisterName(receiverName, &dispatcher{server: sv}); err != nil {
			panic(err) // the receiver's methods are fixed at compile time
		}
	})
	if !sv.track(co) {
		discard(co)
		return
	}
	defer sv.untrack(co)
	sv.server.ServeCodec(newServerCodec(ctx, co, &sv.bytes, cmp.Or(sv.MaxMessageSize, DefaultMaxMessageSize)))
}

// Shutdown waits until no call runs or ctx ends, then closes all connections. It still
// serves new calls meanwhile: the handlers decide whether to refuse them.
func (sv *Server) Shutdown(ctx context.Context) error {
	var err error
	select {
	case <-sv.whenIdle():
	case <-ctx.Done():
		err = ctx.Err()
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.closed = true
	for co := range sv.conns {
		discard(co)
	}
	return err
}

// whenIdle returns a channel that is closed once no call runs.
func (sv *Server) whenIdle() <-chan struct{} {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	idle := make(chan struct{})
	if sv.running == 0 {
		close(idle)
		return idle
	}
	sv.idle = append(sv.idle, idle)
	return idle
}

// startCall counts a started call.
func (sv *Server) startCall() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.running++
}

// endCall counts a finished call and wakes the waiters for an idle server.
func (sv *Server) endCall() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.running--
	if sv.running > 0 {
		return
	}
	for _, idle := range sv.idle {
		close(idle)
	}
	sv.idle = nil
}

// track registers a connection to be closed by Shutdown. It returns false after
// Shutdown.
func (sv *Server) track(co net.Conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.closed {
		return false
	}
	if sv.conns == nil {
		sv.conns = map[net.Conn]struct{}{}
	}
	sv.conns[co] = struct{}{}
	return true
}

func (sv *Server) untrack(co net.Conn) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.conns, co)
}

func (sv *Server) header() message.Header {
	if sv.HeaderFunc == nil {
		return message.Header{}
	}
	return sv.HeaderFunc()
}

// A dispatcher is the net/rpc receiver.
type dispatcher struct {
	server *Server
}

// Dispatch serves one call. It always returns nil: errors are sent in the response,
// which preserves their types.
func (di *dispatcher) Dispatch(req *Request, resp *Response) error {
	sv := di.server
	sv.startCall()
	defer sv.endCall()
	if sv.ObserveFunc != nil {
		sv.ObserveFunc(req.Header(), req.remoteAddress)
	}
	payload, err := sv.serve(req)
	he := sv.header()
	resp.Sender, resp.Incarnation, resp.Revision = he.Sender, he.Incarnation, he.Revision
	if err != nil {
		resp.Failure = newFailure(err, sv.Codes)
		return nil
	}
	resp.Payload = payload
	return nil
}

// serve runs the handler of a request's method with the caller's deadline and trace
// context, and returns the encoded response.
func (sv *Server) serve(req *Request) ([]byte, error) {
	if req.Method == pingMethod {
		return nil, nil
	}
	ha, ok := sv.handlers[req.Method]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownMethod, "%s", req.Method)
	}
	ctx, cancel := req.newContext(time.Duration(req.TimeLeft) * time.Millisecond)
	defer cancel()
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": req.TraceParent})
	ctx, sp := tracer().Start(ctx, req.Method, trace.WithSpanKind(trace.SpanKindServer))
	defer sp.End()
	payload, err := ha(ctx, req.Header(), req.Payload)
	if err != nil {
		recordError(sp, err)
	}
	return payload, err
}
