package peer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/peer"
)

// A network is a set of pipes to one server. Each can be muted: both directions then
// discard all bytes without an error.
type network struct {
	mu    sync.Mutex
	muted []chan struct{}
	sv    *http.Server
	ends  chan net.Conn
}

func newNetwork(t *testing.T, sv *peer.Server) *network {
	ne := &network{ends: make(chan net.Conn), sv: &http.Server{Handler: sv}}
	go ne.sv.Serve(ne)
	t.Cleanup(func() { ne.sv.Close() })
	return ne
}

func (ne *network) Accept() (net.Conn, error) {
	co, ok := <-ne.ends
	if !ok {
		return nil, net.ErrClosed
	}
	return co, nil
}
func (ne *network) Addr() net.Addr { return &net.TCPAddr{} }
func (ne *network) Close() error   { close(ne.ends); return nil }

func (ne *network) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	ne.mu.Lock()
	defer ne.mu.Unlock()
	muted := make(chan struct{})
	ne.muted = append(ne.muted, muted)
	ne.ends <- &mutableConn{Conn: far, muted: muted}
	return &mutableConn{Conn: near, muted: muted}, nil
}

type mutableConn struct {
	net.Conn
	muted chan struct{}
}

func (mc *mutableConn) Write(buf []byte) (int, error) {
	select {
	case <-mc.muted:
		return len(buf), nil
	default:
		return mc.Conn.Write(buf)
	}
}

// runWithServer runs fn in a synctest bubble with a server that echoes after a delay.
func runWithServer(t *testing.T, po *peer.Pool, sv *peer.Server, fn func(t *testing.T, ne *network)) {
	synctest.Test(t, func(t *testing.T) {
		peer.Handle(sv, "echo", func(_ context.Context, _ message.Header, delay time.Duration) (time.Duration, error) {
			time.Sleep(delay)
			return delay, nil
		})
		ne := newNetwork(t, sv)
		po.DialFunc = ne.dial
		defer sv.Shutdown(t.Context())
		defer po.Close()
		fn(t, ne)
	})
}

func echo(t *testing.T, po *peer.Pool, delay, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return peer.Call[time.Duration, time.Duration](ctx, po, "coventry-hall:1", "echo", delay)
}

// TestSilentConnection guards against calls that hang until their deadlines on a
// connection that silently stopped carrying data.
func TestSilentConnection(t *testing.T) {
	po := &peer.Pool{CallTimeout: time.Hour}
	runWithServer(t, po, &peer.Server{}, func(t *testing.T, ne *network) {
		start := time.Now()
		_, err := echo(t, po, 10*time.Minute, time.Hour)
		assert.NilError(t, err, "a slow call on a live connection")
		assert.Equal(t, time.Since(start), 10*time.Minute)

		time.AfterFunc(time.Minute, func() { close(ne.muted[0]) })
		start = time.Now()
		_, err = echo(t, po, 10*time.Minute, time.Hour)
		assert.ErrorIs(t, err, peer.ErrSilent)
		assert.Assert(t, !errors.Is(err, peer.ErrNotSent), "it ran")
		limit := peer.DefaultSilenceTimeout + 2*peer.DefaultPingInterval
		assert.Assert(t, time.Since(start) <= time.Minute+limit, "found after %v", time.Since(start))

		_, err = echo(t, po, time.Second, time.Hour)
		assert.NilError(t, err, "a new call opens a new connection")
		assert.Equal(t, len(ne.muted), 2)
		time.Sleep(10 * time.Minute) // the muted call's handler ends
	})
}

// TestLateResponse guards against delivering the late response of a timed-out call to the
// next call.
func TestLateResponse(t *testing.T) {
	po := &peer.Pool{}
	runWithServer(t, po, &peer.Server{}, func(t *testing.T, ne *network) {
		_, err := echo(t, po, 4*time.Second, 3*time.Second)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		delay, err := echo(t, po, 2*time.Second, 3*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, delay, 2*time.Second)
		assert.Equal(t, len(ne.muted), 1, "the connection was kept")
	})
}

// TestBlockedWrite guards against a caller that is blocked beyond its deadline because
// the server stops reading.
func TestBlockedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		po := &peer.Pool{}
		defer po.Close()
		near, far := net.Pipe()
		po.DialFunc = func(context.Context, string) (net.Conn, error) { return near, nil }
		go func() {
			buf := make([]byte, 64)
			far.Read(buf)
			io.WriteString(far, "HTTP/1.0 200 Connected\n\n")
		}()
		start := time.Now()
		_, err := echo(t, po, 0, time.Second)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), time.Second)
		time.Sleep(2 * peer.DefaultSilenceTimeout)
		_, err = far.Write([]byte{0})
		assert.ErrorIs(t, err, io.ErrClosedPipe, "the connection was closed")
	})
}

func TestErrorTypesArePreserved(t *testing.T) {
	refusal := outcome.NewRefusal(outcome.Overloaded, "r1", "queue is full")
	refusal.RetryAfter = "250ms"
	own := errors.New("own sentinel")
	codes := []peer.Code{{Err: own, Name: "own"}}
	po, sv := &peer.Pool{Codes: codes}, &peer.Server{Codes: codes}
	cases := map[string]struct {
		err    error
		target error
	}{
		"engine sentinel":  {fmt.Errorf("order e1: %w", engine.ErrFenced), engine.ErrFenced},
		"own sentinel":     {fmt.Errorf("x: %w", own), own},
		"deadline":         {context.DeadlineExceeded, context.DeadlineExceeded},
		"without sentinel": {errors.New("odd"), nil},
	}
	for name, tc := range cases {
		peer.Handle(sv, name, func(context.Context, message.Header, int) (int, error) { return 0, tc.err })
	}
	peer.Handle(sv, "refusal", func(context.Context, message.Header, int) (int, error) {
		return 0, fmt.Errorf("wrapped: %w", refusal)
	})
	peer.Handle(sv, "big", func(context.Context, message.Header, int) (string, error) {
		return strings.Repeat("x", peer.DefaultMaxMessageSize), nil
	})
	runWithServer(t, po, sv, func(t *testing.T, _ *network) {
		for name, tc := range cases {
			_, err := peer.Call[int, int](t.Context(), po, "a", name, 1)
			var re *peer.RemoteError
			assert.Assert(t, errors.As(err, &re), name)
			assert.Equal(t, re.Error(), tc.err.Error(), name)
			assert.Assert(t, tc.target == nil || errors.Is(err, tc.target), name)
		}
		_, err := peer.Call[int, int](t.Context(), po, "a", "refusal", 1)
		var re *outcome.Refusal
		assert.Assert(t, errors.As(err, &re))
		assert.DeepEqual(t, re, refusal)
		_, err = peer.Call[int, int](t.Context(), po, "a", "none", 1)
		assert.ErrorIs(t, err, peer.ErrUnknownMethod)
		_, err = peer.Call[string, int](t.Context(), po, "a", "refusal", "not a number")
		assert.ErrorContains(t, err, "decode the request of refusal")
		_, err = peer.Call[int, string](t.Context(), po, "a", "big", 1)
		assert.ErrorIs(t, err, peer.ErrTooLarge)
		assert.Assert(t, !errors.Is(err, peer.ErrNotSent))
		_, err = peer.Call[string, int](t.Context(), po, "a", "big", strings.Repeat("x", peer.DefaultMaxMessageSize))
		assert.ErrorIs(t, err, peer.ErrTooLarge)
		assert.ErrorIs(t, err, peer.ErrNotSent)
		po.Close()
		_, err = peer.Call[int, int](t.Context(), po, "a", "refusal", 1)
		assert.ErrorIs(t, err, peer.ErrClosed)
	})
}

func TestHeadersAndTraceContext(t *testing.T) {
	otel.SetTracerProvider(sdktrace.NewTracerProvider())
	var seen []string
	observe := func(side string) func(message.Header, string) {
		return func(he message.Header, _ string) {
			seen = append(seen, fmt.Sprintf("%s saw %s/%d at revision %d", side, he.Sender, he.Incarnation, he.Revision))
		}
	}
	po := &peer.Pool{
		HeaderFunc:  func() message.Header { return message.Header{Incarnation: 1, Revision: 7, Sender: "entry-1"} },
		ObserveFunc: observe("entry"),
	}
	sv := &peer.Server{
		HeaderFunc:  func() message.Header { return message.Header{Incarnation: 2, Revision: 9, Sender: "attendant-1"} },
		ObserveFunc: observe("attendant"),
	}
	var far trace.TraceID
	peer.Handle(sv, "trace", func(ctx context.Context, _ message.Header, _ int) (int, error) {
		far = trace.SpanContextFromContext(ctx).TraceID()
		return 0, nil
	})
	runWithServer(t, po, sv, func(t *testing.T, _ *network) {
		ctx, sp := otel.Tracer("test").Start(t.Context(), "call")
		_, err := peer.Call[int, int](ctx, po, "a", "trace", 1)
		assert.NilError(t, err)
		assert.Equal(t, far, sp.SpanContext().TraceID())
		assert.DeepEqual(t, seen, []string{
			"attendant saw entry-1/1 at revision 7", "entry saw attendant-1/2 at revision 9",
		})
		assert.Assert(t, po.Bytes().Written() > 0)
		assert.Equal(t, po.Bytes().Written(), sv.Bytes().Read())
	})
}

func BenchmarkCall(b *testing.B) {
	sv := &peer.Server{}
	peer.Handle(sv, "echo", func(_ context.Context, _ message.Header, n int) (int, error) { return n, nil })
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	hs := &http.Server{Handler: sv}
	go hs.Serve(li)
	defer hs.Close()
	po := &peer.Pool{}
	defer po.Close()
	for b.Loop() {
		if _, err := peer.Call[int, int](b.Context(), po, li.Addr().String(), "echo", 1); err != nil {
			b.Fatal(err)
		}
	}
}
