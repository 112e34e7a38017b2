package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/quarantine"
	"wisteriacroft/retry"
	"wisteriacroft/roundtrip"
)

func rewardCall() Call { return Call{Body: []byte("text"), Host: "desk", ID: "call", Path: "/a"} }

func TestCall(t *testing.T) {
	// A sample must not get a score that no endpoint returned for it, nor be dropped although no
	// endpoint failed its call.
	for _, tc := range []struct {
		name     string
		first    behaviour
		second   behaviour // nil: there is none
		outcome  string
		failures int
		runs     int64
	}{
		{"answered", succeeding, nil, "answered", 0, 1},
		{"refused", full, nil, "not-run", 0, 0},
		{"refused, then answered", full, succeeding, "answered", 0, 1},
		{"another endpoint has the address", misdirected, nil, "not-run", 0, 0},
		{"failed", failing, nil, "failed", 1, 1},
		{"failed twice", failing, failing, "failed", 2, 2},
		{"failed, then answered", failing, succeeding, "answered", 1, 2},
		{"truncated", truncated, nil, "broken", 0, 1},
		{"truncated, then failed", truncated, failing, "failed", 1, 2},
		{"mismatched", mismatched, nil, "broken", 0, 1},
		{"mismatched, then answered", mismatched, succeeding, "answered", 0, 2},
		{"unsigned", unsigned, nil, "broken", 0, 1},
		{"status 000", statusZero, nil, "broken", 0, 1},
		{"status 000, then answered", statusZero, succeeding, "answered", 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			behaviours := []behaviour{tc.first}
			if tc.second != nil {
				behaviours = append(behaviours, tc.second)
			}
			// The route's kind applies to callers' requests; reward calls are always repeatable.
			de := deploy(t, directory.Route{Kind: directory.AtMostOnce, MaxAttempts: 2}, behaviours...)
			re := de.forwarder.Call(t.Context(), rewardCall())
			assert.Equal(t, re.Outcome(), tc.outcome)
			assert.Equal(t, re.Failures, tc.failures)
			assert.Equal(t, de.runs.Load(), tc.runs)
			assert.Equal(t, re.Signature != "", tc.outcome == "answered")
		})
	}
}

func TestCallUsesCurrentRoute(t *testing.T) {
	// Each call looks up its route again, so that it never reaches a service that the current
	// configuration no longer names.
	de := deploy(t, directory.Route{MaxAttempts: 1}, succeeding)
	set := func(version int64, routes ...directory.Route) {
		de.forwarder.Directory.SetConfiguration(&directory.Configuration{Routes: routes, Version: version})
	}
	route := func(service string) directory.Route {
		return directory.Route{Host: "desk", MaxAttempts: 1, Prefix: "/", Shares: []directory.WeightedService{{Service: service, Weight: 1}}}
	}
	for _, tc := range []struct {
		name    string
		routes  []directory.Route
		outcome string
		runs    int64
	}{
		{"there", []directory.Route{route("desk")}, "answered", 1},
		{"moved to a service without endpoints", []directory.Route{route("elsewhere")}, "not-run", 1},
		{"gone", nil, "no-route", 1},
		{"back", []directory.Route{route("desk")}, "answered", 2},
	} {
		set(de.forwarder.Directory.Configuration().Version+1, tc.routes...)
		re := de.forwarder.Call(t.Context(), rewardCall())
		assert.Equal(t, re.Outcome(), tc.outcome, tc.name)
		assert.Equal(t, de.runs.Load(), tc.runs, tc.name)
	}
}

func TestCancelledCallIsNotRetried(t *testing.T) {
	// A call whose context is cancelled must not be retried at another endpoint.
	blocked, release := make(chan struct{}), make(chan struct{})
	silent := func(http.ResponseWriter, *http.Request, func()) {
		close(blocked)
		<-release
	}
	de := deploy(t, directory.Route{MaxAttempts: 3}, silent, succeeding)
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-blocked
		cancel()
	}()
	re := de.forwarder.Call(ctx, rewardCall())
	assert.Equal(t, re.Outcome(), "broken")
	assert.Equal(t, de.runs.Load(), int64(0))
}

// pipeTo returns a forwarder whose only endpoint is connected by net.Pipe, so that it can run in a
// synctest bubble.
func pipeTo(t *testing.T, ro directory.Route, handler http.HandlerFunc) *Forwarder {
	t.Helper()
	ro.Host, ro.Prefix, ro.Shares = "desk", "/", []directory.WeightedService{{Service: "desk", Weight: 1}}
	di := &directory.Directory{}
	di.SetConfiguration(&directory.Configuration{Routes: []directory.Route{ro}, Version: 1})
	en := directory.Endpoint{Address: "10.0.0.1:1", Domain: "0", ID: "endpoint-0", Service: "desk", Slots: 6}
	di.SetEndpoint(en)
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	fo := &Forwarder{
		Budget: retry.NewBudget(retry.Policy{MaxAttempts: 10}, 1), Directory: di, Domain: "0", Headers: headers,
		Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(),
	}
	sv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	ln := pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() { _ = sv.Serve(ln) }()
	cl := fo.client(en)
	tr := &http.Transport{DialContext: roundtrip.Dial(ln.dial)}
	cl.HTTP.Transport = tr
	t.Cleanup(func() {
		tr.CloseIdleConnections()
		_ = sv.Close()
	})
	return fo
}

// A pipeListener accepts the server ends of pipes that dial creates.
type pipeListener struct {
	closed chan struct{}
	conns  chan net.Conn
}

func (pl pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case pl.conns <- there:
		return here, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (pl pipeListener) Accept() (net.Conn, error) {
	select {
	case co := <-pl.conns:
		return co, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (pl pipeListener) Close() error {
	close(pl.closed)
	return nil
}

// Addr implements net.Listener.
func (pl pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestCallSendsDeadline(t *testing.T) {
	// The deadline sent to an endpoint must not exceed the route's timeout.
	for _, tc := range []struct {
		name    string
		timeout time.Duration
		want    string // value of the deadline header, in milliseconds
	}{
		{"no route timeout", 0, "2000"},
		{"route timeout", 500 * time.Millisecond, "500"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				granted := ""
				fo := pipeTo(t, directory.Route{MaxAttempts: 1, Timeout: tc.timeout}, func(rw http.ResponseWriter, rq *http.Request) {
					granted = rq.Header.Get(headers.Deadline)
					succeeding(rw, rq, func() {})
				})
				re := fo.Call(t.Context(), rewardCall())
				assert.Equal(t, re.Outcome(), "answered")
				assert.Equal(t, granted, tc.want)
			})
		})
	}
}

// BenchmarkCall measures a reward call over loopback, endpoint included.
func BenchmarkCall(b *testing.B) {
	de := deploy(b, directory.Route{MaxAttempts: 2}, succeeding)
	b.ReportAllocs()
	for b.Loop() {
		if re := de.forwarder.Call(b.Context(), rewardCall()); re.Signature == "" {
			b.Fatal(re.Err)
		}
	}
}

// Failure: endpoints crash by chance under a reward call, and its item never gets its score.
func TestCallUnderWhichEndpointsCrashedIsSent(t *testing.T) {
	de := deploy(t, directory.Route{MaxAttempts: 2}, succeeding)
	ca := rewardCall()
	di := quarantine.DigestOf(ca.Customer, ca.Host, http.MethodPost, ca.Path, ca.Body)
	for _, endpoint := range []string{"a", "b", "c", "d"} {
		de.forwarder.quarantine().RecordCrash(di, endpoint, time.Now())
	}
	re := de.forwarder.Call(t.Context(), ca)
	assert.Equal(t, re.Outcome(), "answered")
}
