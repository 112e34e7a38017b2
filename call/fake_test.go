package call

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/route"
)

var errRefusedDial = errors.New("connection refused")

// A fakeNet connects to fake attendants over net.Pipe and logs their requests.
type fakeNet struct {
	attendants map[string]*fakeAttendant
	log        strings.Builder
	mu         sync.Mutex
	start      time.Time
}

// A fakeAttendant answers each request with its next handler and repeats the last one.
type fakeAttendant struct {
	closed   chan struct{}
	conns    chan net.Conn
	got      int
	handlers []http.HandlerFunc
	name     string
	net      *fakeNet
	once     sync.Once // guards the close of closed
	open     []net.Conn
	server   *http.Server
}

func (fn *fakeNet) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	fn.mu.Lock()
	at := fn.attendants[strings.TrimSuffix(address, ":1")]
	fn.mu.Unlock()
	if at == nil || len(at.handlers) == 0 {
		return nil, errRefusedDial
	}
	near, far := net.Pipe()
	select {
	case at.conns <- far:
		fn.mu.Lock()
		defer fn.mu.Unlock()
		at.open = append(at.open, far)
		return near, nil
	case <-at.closed:
		return nil, errRefusedDial
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept, Close and Addr implement net.Listener.
func (at *fakeAttendant) Accept() (net.Conn, error) {
	select {
	case co := <-at.conns:
		return co, nil
	case <-at.closed:
		return nil, net.ErrClosed
	}
}

func (at *fakeAttendant) Close() error {
	at.once.Do(func() { close(at.closed) })
	return nil
}

func (at *fakeAttendant) Addr() net.Addr { return &net.TCPAddr{} }

func (at *fakeAttendant) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == pingPath {
		return
	}
	at.net.mu.Lock()
	ha := at.handlers[min(at.got, len(at.handlers)-1)]
	at.got++
	key := "none"
	if rq.Header.Get(message.KeyHeader) != "" {
		key = "minted " + rq.Header.Get(message.KeyGeneratedHeader) + ", ask " + rq.Header.Get(message.KeyQueryHeader)
	}
	fmt.Fprintf(&at.net.log, "  %6s %s: %s %s key %s\n", time.Since(at.net.start).Round(time.Millisecond), at.name, rq.Method, rq.URL, key)
	at.net.mu.Unlock()
	rw.Header().Set(message.RequestIDHeader, rq.Header.Get(message.RequestIDHeader))
	ha(rw, rq)
}

// A session is an entry's server in front of fake attendants.
type session struct {
	*fakeNet
	policy Policy
	router *mux.Router
	server *Server
}

// newSession returns a session with handlers by attendant name. An attendant without handlers
// refuses connections.
func newSession(t *testing.T, po Policy, handlers map[string][]http.HandlerFunc) *session {
	se := &session{fakeNet: &fakeNet{attendants: map[string]*fakeAttendant{}, start: time.Now()}, policy: po}
	routes := route.NewTable(route.Options{FailureDomain: "here", Policy: route.RoundRobin})
	se.policy.Service, se.policy.Profile = "desk", "orders"
	for _, name := range []string{"a", "b", "c"} {
		at := &fakeAttendant{closed: make(chan struct{}), conns: make(chan net.Conn), handlers: handlers[name], name: name, net: se.fakeNet}
		at.server = &http.Server{Handler: at}
		se.attendants[name] = at
		go at.server.Serve(at)
		if _, ok := handlers[name]; ok {
			se.policy.Homes.Endpoints = append(se.policy.Homes.Endpoints, name)
			routes.Upsert(route.Endpoint{Address: name + ":1", ID: name, Service: "desk"})
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	se.server = &Server{DialFunc: se.Dial, Log: log, Routes: routes, Seed: 1}
	se.server.ProfileFunc = func(service, name string) (Policy, error) {
		if service != "desk" || name != "" && name != "orders" {
			return Policy{Service: service}, outcome.NewRefusal(outcome.UnknownProfile, "", fmt.Sprintf("no profile %q of service %q", name, service))
		}
		return se.policy, nil
	}
	se.router = mux.NewRouter()
	se.server.Register(se.router)
	t.Cleanup(func() {
		se.server.Close()
		for _, at := range se.attendants {
			at.server.Close()
		}
	})
	return se
}

// useServer routes further calls through another entry.
func (se *session) useServer(other *Server) {
	se.router = mux.NewRouter()
	other.Register(se.router)
}

// do serves one request and logs its answer.
func (se *session) do(rq *http.Request) {
	rw := httptest.NewRecorder()
	aborted := ""
	func() {
		defer func() {
			if recover() == http.ErrAbortHandler { //nolint:errorlint // net/http compares it the same way
				aborted = ", then broken off"
			}
		}()
		se.router.ServeHTTP(rw, rq)
	}()
	se.mu.Lock()
	defer se.mu.Unlock()
	he := rw.Header()
	fmt.Fprintf(&se.log, "  %6s caller: %d%s", time.Since(se.start).Round(time.Millisecond), rw.Code, aborted)
	for _, name := range []string{message.FateHeader, message.RequestIDHeader, "Retry-After", "X-Service"} {
		if value := he.Get(name); value != "" {
			fmt.Fprintf(&se.log, " %s=%s", name, value)
		}
	}
	body := rw.Body.String()
	if len(body) > 2000 {
		body = fmt.Sprintf("%d bytes", len(body))
	}
	fmt.Fprintf(&se.log, "\n    %s\n", strings.ReplaceAll(strings.TrimSpace(body), "\n", "\n    "))
}

// newCall returns a request with headers given as alternating names and values.
func newCall(method, path, body string, headers ...string) *http.Request {
	rq := httptest.NewRequest(method, path, strings.NewReader(body))
	rq.Header.Set(message.RequestIDHeader, "r1")
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Set(headers[i], headers[i+1])
	}
	return rq
}

// order returns a non-repeatable request.
func order(headers ...string) *http.Request {
	return newCall(http.MethodPost, "/v1/services/desk/call/orders?kitchen=7", "flour", headers...)
}

// callerKey returns a key whose home among homes is home.
func callerKey(home string, homes ...string) string {
	for {
		ke, err := idempotency.NewKey(time.Now())
		if err != nil {
			panic(err)
		}
		if ke.Home(homes) == home {
			return ke.String()
		}
	}
}

// Handlers of fake attendants.

func ok(rw http.ResponseWriter, rq *http.Request) {
	body, _ := io.ReadAll(rq.Body)
	rw.Header().Set(message.FateHeader, outcome.Ran.String())
	rw.Header().Set("X-Service", "desk")
	fmt.Fprintf(rw, "did %s", body)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuses(code outcome.Code, wait string) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		re := outcome.NewRefusal(code, rq.Header.Get(message.RequestIDHeader), "refused by the attendant")
		re.RetryAfter = wait
		message.WriteRefusal(rw, re)
	}
}

func answerOther(rw http.ResponseWriter, rq *http.Request) {
	rw.Header().Set(message.RequestIDHeader, "r1/another")
	ok(rw, rq)
}

func truncate(rw http.ResponseWriter, rq *http.Request) {
	rw.Header().Set("Content-Length", "100")
	ok(rw, rq)
}

// silentFor waits, then aborts the connection without an answer.
func silentFor(du time.Duration) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		time.Sleep(du)
		panic(http.ErrAbortHandler)
	}
}

// slowOK answers after du and sends a 102 status every 500 ms before.
func slowOK(du time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		for range du / (500 * time.Millisecond) {
			time.Sleep(500 * time.Millisecond)
			rw.WriteHeader(http.StatusProcessing)
		}
		ok(rw, rq)
	}
}
