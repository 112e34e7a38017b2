package attendant_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/attendant"
	"wisteriacroft/blob"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/profile"
)

// pipes connects the processes of a bubble by address over net.Pipe.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

func (pi *pipes) listen(address string) net.Listener {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	li := &pipeListener{closed: make(chan struct{}), conns: make(chan net.Conn)}
	pi.listeners[address] = li
	return li
}

func (pi *pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	pi.mu.Lock()
	li := pi.listeners[address]
	pi.mu.Unlock()
	if li == nil {
		return nil, fmt.Errorf("nobody at %s", address)
	}
	near, far := net.Pipe()
	select {
	case li.conns <- far:
		return near, nil
	case <-li.closed:
	case <-ctx.Done():
	}
	return nil, fmt.Errorf("%s does not accept", address)
}

type pipeListener struct {
	closed chan struct{}
	conns  chan net.Conn
	once   sync.Once
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case co := <-pl.conns:
		return co, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}
func (pl *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (pl *pipeListener) Close() error   { pl.once.Do(func() { close(pl.closed) }); return nil }

// A session runs attendants in a bubble and logs their answers.
type session struct {
	*testing.T
	begin  time.Time
	client *http.Client
	log    bytes.Buffer
	mu     sync.Mutex
	net    *pipes
}

func newSession(t *testing.T) *session {
	se := &session{T: t, begin: time.Now(), net: &pipes{listeners: map[string]*pipeListener{}}}
	se.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return se.net.dial(ctx, address)
		},
	}}
	return se
}

// run runs a session in a bubble and compares its log with a golden file.
func run(t *testing.T, fn func(se *session)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		se := newSession(t)
		fn(se)
		se.client.CloseIdleConnections()
		golden.Assert(t, se.log.String(), t.Name()+".golden")
	})
}

// note logs a line with the time since the session's start.
func (se *session) note(format string, args ...any) {
	se.mu.Lock()
	defer se.mu.Unlock()
	fmt.Fprintf(&se.log, "%8s  %s\n", time.Since(se.begin).Round(50*time.Millisecond), fmt.Sprintf(format, args...))
}

// start starts an attendant and returns it with its shutdown function.
func (se *session) start(address string, op attendant.Options) (*attendant.Attendant, func()) {
	op.Address, op.DialFunc = address, se.net.dial
	if op.Profiles == nil {
		op.Profiles = &profile.Replica{}
	}
	at, err := attendant.New(op)
	assert.NilError(se, err)
	li := se.net.listen(address)
	served := make(chan error, 1)
	go func() { served <- at.Serve(li) }()
	at.Start()
	return at, func() {
		se.client.CloseIdleConnections()
		err := at.Shutdown(context.Background())
		synctest.Wait() // let callers log their answers first
		se.note("%s shut down: %v", address, err)
		assert.NilError(se, <-served)
	}
}

// call makes a live call and logs its answer.
func (se *session) call(ctx context.Context, address, path string, headers ...string) {
	beats := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { beats++; return nil },
	})
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/endpoints/"+path, strings.NewReader("body of "+path))
	assert.NilError(se, err)
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Set(headers[i], headers[i+1])
	}
	rs, err := se.client.Do(rq)
	if err != nil {
		se.note("call %s:%s", path, textOf(err))
		return
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	he, text := rs.Header, string(body)
	var re outcome.Refusal
	if he.Get(message.FateHeader) != outcome.Ran.String() {
		assert.NilError(se, json.Unmarshal(body, &re))
		assert.Equal(se, re.Fate, he.Get(message.FateHeader))
		text = string(re.Code)
		if re.EndpointEnded {
			text += ", endpoint ended"
		}
	}
	se.note("call %s: %d id=%s fate=%s load=%s beats=%d %s%s", path, rs.StatusCode, he.Get(message.RequestIDHeader),
		he.Get(message.FateHeader), he.Get(message.LoadHeader), beats, text, textOf(err))
}

func decode(data []byte, value any) error { return json.Unmarshal(data, value) }

// textOf formats an error for a golden file.
func textOf(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}

// sample requests a sample, logs its outcome and returns the last event.
func (se *session) sample(ctx context.Context, address, endpoint string, req message.SampleRequest) message.SampleEvent {
	body, err := json.Marshal(req)
	assert.NilError(se, err)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/endpoints/"+endpoint+"/samples", bytes.NewReader(body))
	assert.NilError(se, err)
	rs, err := se.client.Do(rq)
	if err != nil {
		se.note("sample %s: %s", req.Attempt, textOf(err))
		return message.SampleEvent{}
	}
	defer rs.Body.Close()
	var ev message.SampleEvent
	beats, sc := 0, bufio.NewScanner(rs.Body)
	for sc.Scan() {
		ev = message.SampleEvent{}
		assert.NilError(se, json.Unmarshal(sc.Bytes(), &ev))
		beats++
	}
	if rs.StatusCode != http.StatusOK {
		se.note("sample %s: %d %s", req.Attempt, rs.StatusCode, rs.Header.Get(message.FateHeader))
		return ev
	}
	switch {
	case ev.Result != nil:
		se.note("sample %s: %d lines, %d tokens of %s, segments %v, %d places",
			req.Attempt, beats, ev.Result.Tokens, ev.Result.Endpoint, ev.Result.Segments, len(ev.Result.Places))
	case ev.Refusal != nil:
		se.note("sample %s: %d lines, refused with %d tokens kept: %s, %s",
			req.Attempt, beats, ev.Progress, ev.Refusal.Fate, ev.Refusal)
	default:
		se.note("sample %s: ended after %d lines%s", req.Attempt, beats, textOf(sc.Err()))
	}
	return ev
}

// places returns two data folders in two failure domains, each served by its own attendant.
func (se *session) places() ([]message.BlobLocation, func()) {
	var pls []message.BlobLocation
	var stops []func()
	for _, domain := range []string{"coventry-hall", "derby-hall"} {
		address := domain + ":1"
		_, stop := se.start(address, attendant.Options{Instance: domain, Store: &blob.Store{Folder: se.TempDir()}})
		stops = append(stops, stop)
		pls = append(pls, message.BlobLocation{Address: address, FailureDomain: domain, Instance: domain})
	}
	return pls, func() {
		for _, stop := range stops {
			stop()
		}
	}
}
