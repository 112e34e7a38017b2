package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

// blocked is a behaviour that responds after release is closed.
func blocked(release <-chan struct{}) behaviour {
	return func(rw http.ResponseWriter, rq *http.Request, run func()) {
		run()
		select {
		case <-release:
		case <-rq.Context().Done():
			return
		}
		sign(rw, rq)
		_, _ = io.WriteString(rw, "held")
	}
}

// overloadAll reports all endpoints as overloaded, so that the entry sends each at most one request at
// a time.
func (de *deployment) overloadAll(goal time.Duration) {
	ens := de.forwarder.Directory.Endpoints("desk")
	for range 40 {
		for _, en := range ens {
			de.forwarder.table.Answered(en.ID, admission.Response{
				At: time.Now(), Load: admission.Load{Places: 6, Running: 6, Waiting: 24}, Slots: 6, Target: admission.LatencyTarget(goal), Told: true,
				Took: 30 * time.Millisecond,
			})
		}
	}
}

// rejectOnce reports a rejection by each endpoint, so that the entry sends each at most one request at
// a time.
func (de *deployment) rejectOnce() {
	ta := &de.forwarder.table
	for _, en := range de.forwarder.Directory.Endpoints("desk") {
		ta.Pick([]directory.Endpoint{en}, nil, "", time.Now())
		ta.Answered(en.ID, admission.Response{At: time.Now(), Refused: true, Slots: 6, Took: time.Millisecond})
		ta.Done(en.ID)
	}
}

type reply struct {
	body   string
	header http.Header
	status int
	took   time.Duration
}

// send sends a request in the background.
func (de *deployment) send(t *testing.T, path string) <-chan reply {
	t.Helper()
	out := make(chan reply, 1)
	begun := time.Now()
	go func() {
		rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, de.entry.URL+path, strings.NewReader("line"))
		if err != nil {
			panic(err)
		}
		rq.Host = "desk"
		rq.Header.Set(headers.RequestID, path)
		rq.Header.Set(headers.Deadline, "5000")
		resp, err := http.DefaultClient.Do(rq)
		if err != nil {
			out <- reply{}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		out <- reply{body: string(data), header: resp.Header, status: resp.StatusCode, took: time.Since(begun)}
	}()
	return out
}

// waitUntil waits up to 2 s for a condition.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timeout waiting for:", what)
}

func (de *deployment) waiting() int {
	ls := &de.forwarder.queues
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.queue("desk").queue.Len()
}

// A request queued at an entry must survive the failure of an endpoint, and must be reported as not
// run only if it did not run.
func TestQueuedRequestsSurviveEndpointFailure(t *testing.T) {
	for _, tc := range []struct {
		name   string
		freed  bool // the second endpoint has capacity again
		status int
	}{
		{"another has capacity", true, http.StatusOK},
		{"no other has capacity", false, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dying, busy := make(chan struct{}), make(chan struct{})
			free := sync.OnceFunc(func() { close(busy) })
			goal := 2 * time.Second
			de := deploy(t, directory.Route{Goal: goal, Kind: directory.AtMostOnce, MaxAttempts: 3}, blocked(dying), blocked(busy))
			t.Cleanup(func() {
				close(dying)
				free()
			})
			de.rejectOnce()
			first := de.send(t, "/a")
			waitUntil(t, "the first is busy", func() bool { return de.runs.Load() == 1 })
			second := de.send(t, "/b")
			waitUntil(t, "both endpoints are busy", func() bool { return de.runs.Load() == 2 })
			third := de.send(t, "/c")
			waitUntil(t, "the third is queued", func() bool { return de.waiting() == 1 })
			assert.NilError(t, de.endpoints[0].Listener.Close())
			de.endpoints[0].CloseClientConnections()
			de.forwarder.Directory.RemoveEndpoint("endpoint-0", time.Now())
			if tc.freed {
				free()
				assert.Equal(t, (<-second).status, http.StatusOK)
			}
			assert.Equal(t, (<-first).status, http.StatusGatewayTimeout, "it may have run")
			got := <-third
			assert.Equal(t, got.status, tc.status)
			if !tc.freed {
				assert.Equal(t, de.runs.Load(), int64(2), "it did not run")
				assert.Assert(t, got.header.Get("Retry-After") != "")
				assert.Assert(t, got.took < 2*time.Second, got.took)
			}
		})
	}
}

// Under overload a request that cannot meet its goal is rejected immediately.
func TestOverloadRejectsImmediately(t *testing.T) {
	busy := make(chan struct{})
	goal := 50 * time.Millisecond
	de := deploy(t, directory.Route{Goal: goal, Kind: directory.Repeatable, MaxAttempts: 3}, blocked(busy))
	t.Cleanup(func() { close(busy) })
	de.overloadAll(goal)
	de.send(t, "/a")
	waitUntil(t, "the endpoint is busy", func() bool { return de.runs.Load() == 1 })
	for range 20 {
		de.forwarder.queues.queue("desk").queue.Arrived(time.Now())
	}
	got := <-de.send(t, "/b")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.took < 100*time.Millisecond, got.took)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0)
	assert.Equal(t, de.runs.Load(), int64(1))
	var out bytes.Buffer
	de.forwarder.Metrics.WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), `wisteriacroft_live_refusals_total{reason="no-room"} 1`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `wisteriacroft_live_waiting{service="desk"} 0`), out.String())
}

// A queued request whose caller has disconnected must not be sent to an endpoint.
func TestDisconnectedCallersAreNotSent(t *testing.T) {
	busy := make(chan struct{})
	free := sync.OnceFunc(func() { close(busy) })
	goal := 2 * time.Second
	de := deploy(t, directory.Route{Goal: goal, Kind: directory.Repeatable, MaxAttempts: 1}, blocked(busy))
	t.Cleanup(free)
	de.rejectOnce()
	first := de.send(t, "/a")
	waitUntil(t, "the endpoint is busy", func() bool { return de.runs.Load() == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, de.entry.URL+"/b", strings.NewReader("line"))
	assert.NilError(t, err)
	rq.Host = "desk"
	rq.Header.Set(headers.RequestID, "b")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := http.DefaultClient.Do(rq); err == nil {
			_ = resp.Body.Close()
		}
	}()
	waitUntil(t, "it is queued", func() bool { return de.waiting() == 1 })
	cancel()
	<-done
	waitUntil(t, "it is dequeued", func() bool { return de.waiting() == 0 })
	free()
	assert.Equal(t, (<-first).status, http.StatusOK)
	assert.Equal(t, de.runs.Load(), int64(1))
}

// Internal calls are not queued here: their caller limits them.
func TestInternalCallsAreNotQueued(t *testing.T) {
	goal := 50 * time.Millisecond
	de := deploy(t, directory.Route{Goal: goal, Kind: directory.Repeatable, MaxAttempts: 1}, succeeding)
	de.overloadAll(goal)
	for range 5 {
		re := de.forwarder.Call(t.Context(), rewardCall())
		assert.Equal(t, re.Status, http.StatusOK)
	}
}

// Callers that do not read large responses must not make the entry run out of memory.
func TestMemoryLimitWithSlowReaders(t *testing.T) {
	const size = 24 << 20
	large := func(rw http.ResponseWriter, rq *http.Request, run func()) {
		run()
		sign(rw, rq)
		_, _ = rw.Write(make([]byte, size))
	}
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 1}, large)
	de.forwarder.SetMemory(size / 2)
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, de.entry.URL+"/a", http.NoBody)
	assert.NilError(t, err)
	rq.Host = "desk"
	rq.Header.Set(headers.RequestID, "a")
	slow, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	got := <-de.send(t, "/b")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "0.2")
	assert.Equal(t, de.runs.Load(), int64(1), "it did not run")
	total, _, most := de.forwarder.Held()
	assert.Equal(t, total, int64(size))
	assert.Equal(t, most, int64(size))

	count, err := io.Copy(io.Discard, slow.Body)
	assert.NilError(t, err)
	assert.Equal(t, count, int64(size), "a complete response is delivered")
	assert.NilError(t, slow.Body.Close())
	waitUntil(t, "nothing is held", func() bool { total, _, _ := de.forwarder.Held(); return total == 0 })
	assert.Equal(t, (<-de.send(t, "/c")).status, http.StatusOK)
}

// Bodies rejected as too large must not stay counted, or the entry would reject all new requests.
func TestRejectedBodiesAreReleased(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 1}, succeeding)
	de.forwarder.SetMemory(1000)
	for _, size := range []int{50, 101} {
		status, _, _ := de.ask(t, http.MethodPost, "/a", strings.Repeat("x", size))
		assert.Equal(t, status == http.StatusOK, size == 50, size)
	}
	waitUntil(t, "nothing is held", func() bool { total, _, _ := de.forwarder.Held(); return total == 0 })
}
