package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/quarantine"
)

// crashBody is the body of the request that crashes every endpoint that runs it.
const crashBody = "crash"

// A crashingEndpoint is an endpoint that crashes on a request with crashBody and restarts at the same
// address under a new ID.
type crashingEndpoint struct {
	address string
	crashed atomic.Bool
	server  *httptest.Server
	starts  int
}

// start starts and registers the endpoint unless it is running.
func (cd *crashingEndpoint) start(t *testing.T, de *deployment, number int) {
	t.Helper()
	if cd.starts > 0 && !cd.crashed.Load() {
		return
	}
	if cd.crashed.Load() {
		cd.server.Close() // waits for the request that crashed it
		de.forwarder.Directory.RemoveEndpoint(cd.id(number), time.Now())
	}
	address := cd.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", address)
	assert.NilError(t, err)
	sv := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		body, _ := io.ReadAll(rq.Body)
		if string(body) == crashBody {
			de.runs.Add(1)
			cd.crashed.Store(true)
			_ = li.Close()
			panic(http.ErrAbortHandler)
		}
		sign(rw, rq)
		_, _ = fmt.Fprintf(rw, "id: 1\ndata: %s %s\n\n", rq.Method, body) // also a valid event for streaming routes
	}))
	assert.NilError(t, sv.Listener.Close())
	sv.Listener = li
	sv.Start()
	cd.address, cd.server = li.Addr().String(), sv
	cd.crashed.Store(false)
	cd.starts++
	de.forwarder.Directory.SetEndpoint(directory.Endpoint{Address: cd.address, ID: cd.id(number), Service: "desk", Slots: 6})
}

func (cd *crashingEndpoint) id(number int) string {
	return fmt.Sprintf("endpoint-%d-%d", number, cd.starts)
}

func TestRequestThatCrashesEndpoints(t *testing.T) {
	// A request that crashes every endpoint it runs on, and is retried by its client under new IDs,
	// must not take down all endpoints of its service.
	const tries, enough = 8, 3
	for _, tc := range []struct {
		name  string
		route directory.Route
	}{
		{"repeatable", directory.Route{Kind: directory.Repeatable, MaxAttempts: 2}},
		{"repeatable, many attempts", directory.Route{Kind: directory.Repeatable, MaxAttempts: 5}},
		{"once", directory.Route{Kind: directory.AtMostOnce, MaxAttempts: 2}},
		{"stream", directory.Route{MaxAttempts: 2, Streaming: true}},
		{"resumable stream", directory.Route{MaxAttempts: 2, Resumable: true, Streaming: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			de := deploy(t, tc.route)
			endpoints := make([]crashingEndpoint, 3)
			restart := func() {
				for i := range endpoints {
					endpoints[i].start(t, de, i)
				}
			}
			t.Cleanup(func() {
				for i := range endpoints {
					endpoints[i].server.Close()
				}
			})
			for range tries {
				restart()
				status, _, _ := de.ask(t, http.MethodPost, "/a", crashBody)
				assert.Assert(t, status >= http.StatusInternalServerError, "%d", status)
			}
			assert.Assert(t, de.runs.Load() <= enough, "%d endpoints crashed", de.runs.Load())
			restart()
			status, answer, _ := de.ask(t, http.MethodPost, "/a", "another line")
			assert.Equal(t, status, http.StatusOK, "other requests are served")
			assert.Equal(t, answer, "id: 1\ndata: POST another line\n\n")
		})
	}
}

// Failure: endpoints end by chance under a reward call time and again, and it is no longer sent.
func TestCallUnderWhichEndpointsEndIsRepeated(t *testing.T) {
	const calls = 8
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2})
	endpoints := make([]crashingEndpoint, 3)
	for call := range calls {
		for i := range endpoints {
			endpoints[i].start(t, de, i)
		}
		before := de.runs.Load()
		re := de.forwarder.Call(t.Context(), Call{Body: []byte(crashBody), Host: "desk", ID: "call", Path: "/a"})
		assert.Equal(t, re.Outcome(), "broken")
		assert.Assert(t, de.runs.Load() > before, "call %d was not sent", call)
	}
	for i := range endpoints {
		endpoints[i].server.Close()
	}
	assert.Equal(t, len(de.forwarder.quarantine().Records(time.Now())), 0, "it isn't held against live requests either")
}

// Failure: servers crash together under a sound request, and it is refused for a day, by all entries.
func TestSoundRequestIsTriedAfterCrashesAndServedAgain(t *testing.T) {
	busy := make(chan struct{})
	waits := func(rw http.ResponseWriter, rq *http.Request, run func()) {
		run()
		<-busy
		sign(rw, rq)
	}
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2}, waits, waits)
	de.forwarder.Quarantine = &quarantine.Table{Spread: 1}
	di := quarantine.DigestOf("", "desk", http.MethodPost, "/a", []byte("line"))
	crashed := time.Now().Add(-time.Minute)
	for _, endpoint := range []string{"a", "b", "c"} {
		de.forwarder.Quarantine.RecordCrash(di, endpoint, crashed)
	}
	first := de.send(t, "/a")
	waitUntil(t, "the trial", func() bool { return de.runs.Load() == 1 })
	for range 3 {
		assert.Equal(t, (<-de.send(t, "/a")).status, http.StatusServiceUnavailable, "one is tried at a time")
	}
	assert.Equal(t, de.runs.Load(), int64(1))
	close(busy)
	assert.Equal(t, (<-first).status, http.StatusOK)
	waitUntil(t, "the success", func() bool { return !de.forwarder.Quarantine.Check(di, time.Now()).Suspect() })
	assert.Equal(t, (<-de.send(t, "/a")).status, http.StatusOK)
}
