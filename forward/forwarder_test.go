package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
	"wisteriacroft/retry"
)

var headers = Headers{
	Customer: "Customer", Deadline: "Deadline", Expect: "Expected-Endpoint", Key: "Key", LastEvent: "Last-Event", Load: "Load",
	NotRun: "Not-Run", RequestID: "Request-Id", Signature: "Signature",
}

// A deployment is an entry with test endpoints.
type deployment struct {
	endpoints []*httptest.Server
	entry     *httptest.Server
	forwarder *Forwarder
	runs      atomic.Int64 // requests that endpoints ran
}

// A behaviour handles a request at an endpoint and calls run if it runs the request.
type behaviour func(rw http.ResponseWriter, rq *http.Request, run func())

func succeeding(rw http.ResponseWriter, rq *http.Request, run func()) {
	run()
	sign(rw, rq)
	body, _ := io.ReadAll(rq.Body)
	_, _ = fmt.Fprintf(rw, "%s %s %s", rq.Method, rq.URL.RequestURI(), body)
}

func sign(rw http.ResponseWriter, rq *http.Request) {
	rw.Header().Set(headers.RequestID, rq.Header.Get(headers.RequestID))
	rw.Header().Set(headers.Signature, "signed")
}

func full(rw http.ResponseWriter, rq *http.Request, _ func()) {
	sign(rw, rq)
	rw.Header().Set(headers.NotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func misdirected(rw http.ResponseWriter, rq *http.Request, _ func()) {
	rw.Header().Set(headers.RequestID, rq.Header.Get(headers.RequestID))
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

func failing(rw http.ResponseWriter, rq *http.Request, run func()) {
	run()
	sign(rw, rq)
	rw.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(rw, "failed")
}

func truncated(rw http.ResponseWriter, rq *http.Request, run func()) {
	run()
	sign(rw, rq)
	rw.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(rw, "half")
}

func mismatched(rw http.ResponseWriter, rq *http.Request, run func()) {
	run()
	sign(rw, rq)
	rw.Header().Set(headers.RequestID, "another")
	_, _ = io.WriteString(rw, "another's answer")
}

func unsigned(rw http.ResponseWriter, rq *http.Request, run func()) {
	run()
	rw.Header().Set(headers.RequestID, rq.Header.Get(headers.RequestID))
	_, _ = io.WriteString(rw, "no signature")
}

// deploy starts an entry and one endpoint for each behaviour. The first endpoint is in the entry's
// failure domain, so that it is tried first.
func deploy(t testing.TB, ro directory.Route, behaviours ...behaviour) *deployment {
	t.Helper()
	de := &deployment{}
	di := &directory.Directory{}
	ro.Host, ro.Prefix, ro.Shares = "desk", "/", []directory.WeightedService{{Service: "desk", Weight: 1}}
	di.SetConfiguration(&directory.Configuration{Routes: []directory.Route{ro}, Version: 1, Limits: directory.Limits{BodySize: 100}})
	for i, be := range behaviours {
		sv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
			be(rw, rq, func() { de.runs.Add(1) })
		}))
		t.Cleanup(sv.Close)
		de.endpoints = append(de.endpoints, sv)
		di.SetEndpoint(directory.Endpoint{
			Address: strings.TrimPrefix(sv.URL, "http://"), Domain: fmt.Sprint(i), ID: fmt.Sprint("endpoint-", i),
			Service: "desk", Slots: 6,
		})
	}
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	de.forwarder = &Forwarder{
		Budget: retry.NewBudget(retry.Policy{MaxAttempts: 10}, 1), Directory: di, Domain: "0", Headers: headers,
		Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(),
	}
	de.entry = httptest.NewServer(de.forwarder)
	t.Cleanup(de.entry.Close)
	return de
}

func (de *deployment) ask(t *testing.T, method, path, body string) (status int, answer string, header http.Header) {
	t.Helper()
	rq, err := http.NewRequestWithContext(t.Context(), method, de.entry.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	rq.Host = "desk"
	rq.Header.Set(headers.RequestID, "request")
	rq.Header.Set(headers.Deadline, "20000")
	resp, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data), resp.Header
}

func TestAttempts(t *testing.T) {
	// A request that is not repeatable must not run twice, and no caller may get a truncated response,
	// another caller's response, or a false report that its request did not run.
	for _, tc := range []struct {
		name   string
		first  behaviour
		kind   directory.Kind
		status int
		runs   int64
	}{
		{"repeatable, refused", full, directory.Repeatable, 200, 1},
		{"repeatable, another endpoint has the address", misdirected, directory.Repeatable, 200, 1},
		{"repeatable, failed", failing, directory.Repeatable, 200, 2},
		{"repeatable, truncated", truncated, directory.Repeatable, 200, 2},
		{"repeatable, mismatched", mismatched, directory.Repeatable, 200, 2},
		{"repeatable, unsigned", unsigned, directory.Repeatable, 200, 2},
		{"repeatable, status 000", statusZero, directory.Repeatable, 200, 2},
		{"once, status 000", statusZero, directory.AtMostOnce, 504, 1},
		{"once, refused", full, directory.AtMostOnce, 200, 1},
		{"once, another endpoint has the address", misdirected, directory.AtMostOnce, 200, 1},
		{"once, failed", failing, directory.AtMostOnce, 500, 1},
		{"once, truncated", truncated, directory.AtMostOnce, 504, 1},
		{"once, mismatched", mismatched, directory.AtMostOnce, 504, 1},
		{"once, unsigned", unsigned, directory.AtMostOnce, 504, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			de := deploy(t, directory.Route{Kind: tc.kind, MaxAttempts: 2}, tc.first, succeeding)
			status, answer, _ := de.ask(t, http.MethodPost, "/a?b=c", "line")
			assert.Equal(t, status, tc.status)
			assert.Equal(t, de.runs.Load(), tc.runs)
			if status == http.StatusOK {
				assert.Equal(t, answer, "POST /a?b=c line")
			}
		})
	}
}

func TestAllEndpointsFull(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.AtMostOnce, MaxAttempts: 5}, full, full)
	status, _, header := de.ask(t, http.MethodPost, "/", "line")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "0.5", "endpoints have not been read yet")
	de.forwarder.Directory.SetEndpoints(de.forwarder.Directory.Endpoints(""), time.Now())
	_, _, header = de.ask(t, http.MethodPost, "/", "line")
	assert.Equal(t, header.Get("Retry-After"), "0.05")
}

func TestHedge(t *testing.T) {
	// A request to an endpoint that does not respond is hedged, not left waiting until its deadline.
	release := make(chan struct{})
	silent := func(rw http.ResponseWriter, rq *http.Request, run func()) {
		run()
		<-release
		sign(rw, rq)
	}
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2}, silent, succeeding)
	t.Cleanup(sync.OnceFunc(func() { close(release) }))
	status, answer, _ := de.ask(t, http.MethodGet, "/a", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer, "GET /a ")
}

func TestRejections(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2}, succeeding)
	de.forwarder.Directory.Confirm(directory.TopicOperator, time.Now().Add(time.Hour)) // the configuration stays new
	for _, tc := range []struct {
		name   string
		change func(rq *http.Request)
		status int
	}{
		{"host without routes", func(rq *http.Request) { rq.Host = "other" }, http.StatusNotFound},
		{"no id", func(rq *http.Request) { rq.Header.Del(headers.RequestID) }, http.StatusBadRequest},
		{"body too large", func(rq *http.Request) {
			rq.Body = io.NopCloser(bytes.NewReader(make([]byte, 101)))
			rq.ContentLength = 101
		}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL, http.NoBody)
			assert.NilError(t, err)
			rq.Host = "desk"
			rq.Header.Set(headers.RequestID, "request")
			tc.change(rq)
			resp, err := http.DefaultClient.Do(rq)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, tc.status)
		})
	}
	assert.Equal(t, de.runs.Load(), int64(0))
}

func TestNoConfigurationYet(t *testing.T) {
	// An entry that has not read a configuration yet must answer 503, not a final 404.
	de := deploy(t, directory.Route{}, succeeding)
	de.forwarder.Directory = &directory.Directory{}
	status, _, header := de.ask(t, http.MethodGet, "/", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "0.5")
}

// stream responds with the events after the one in the last-event header, up to last, and aborts
// within the event after breakAfter unless that is 0.
func stream(last, breakAfter int) behaviour {
	return func(rw http.ResponseWriter, rq *http.Request, run func()) {
		run()
		sign(rw, rq)
		from := 0
		_, _ = fmt.Sscan(rq.Header.Get(headers.LastEvent), &from)
		for id := from + 1; id <= last; id++ {
			if breakAfter > 0 && id > breakAfter {
				_, _ = fmt.Fprintf(rw, "id: %d\nda", id)
				_ = http.NewResponseController(rw).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", id, id)
			_ = http.NewResponseController(rw).Flush()
		}
	}
}

func TestStreams(t *testing.T) {
	// When an endpoint breaks a stream within an event, the caller must get no event twice, partly or
	// not at all, and a stream that is not resumed must not look complete.
	const five = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"
	for _, tc := range []struct {
		name      string
		resumable bool
		first     behaviour
		broken    bool
		runs      int64
	}{
		{"whole", false, stream(5, 0), false, 1},
		{"broken, resumed elsewhere", true, stream(5, 3), false, 2},
		{"broken, not resumable", false, stream(5, 3), true, 1},
		{"refused", false, full, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			de := deploy(t, directory.Route{MaxAttempts: 3, Resumable: tc.resumable, Streaming: true}, tc.first, stream(5, 0))
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL, http.NoBody)
			assert.NilError(t, err)
			rq.Host = "desk"
			rq.Header.Set(headers.RequestID, "request")
			resp, err := http.DefaultClient.Do(rq)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			assert.Equal(t, errors.Is(err, io.ErrUnexpectedEOF), tc.broken, "%v", err)
			if !tc.broken {
				assert.Equal(t, string(body), five)
			}
			assert.Equal(t, de.runs.Load(), tc.runs)
		})
	}
}

func TestPick(t *testing.T) {
	// Requests avoid endpoints that are slow, full, leaving or have just failed.
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ens := []directory.Endpoint{
		{Domain: "x", ID: "near", Slots: 6}, {Domain: "y", ID: "far", Slots: 6},
	}
	for _, tc := range []struct {
		name   string
		before func(ta *Table)
		want   string
	}{
		{"own failure domain", func(*Table) {}, "near"},
		{"near is slow", func(ta *Table) { ta.Slow("near", time.Second) }, "far"},
		{"near failed", func(ta *Table) { ta.Failed("near", now) }, "far"},
		{"near failed long ago", func(ta *Table) { ta.Failed("near", now.Add(-time.Minute)) }, "near"},
		{"far failed last", func(ta *Table) {
			ta.Failed("near", now.Add(-400*time.Millisecond))
			ta.Failed("far", now)
		}, "near"},
		{"near is full", func(ta *Table) {
			ta.Answered("near", admission.Response{At: now, Load: admission.Load{Running: 6, Waiting: 12, Places: 6}, Told: true, Took: firstLatency})
		}, "far"},
		{"near was full long ago", func(ta *Table) {
			ta.Answered("near", admission.Response{
				At: now.Add(-time.Minute), Load: admission.Load{Running: 6, Waiting: 12, Places: 6}, Told: true, Took: firstLatency,
			})
		}, "near"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ta Table
			tc.before(&ta)
			en, ok := ta.Pick(ens, nil, "x", now)
			assert.Assert(t, ok)
			assert.Equal(t, en.ID, tc.want)
		})
	}
	var ta Table
	_, ok := ta.Pick([]directory.Endpoint{{ID: "leaving", Leaving: true}}, nil, "x", now)
	assert.Assert(t, !ok)
}

// If the first endpoint ran a request and failed, a rejection by the second must not be reported as
// "not run": the caller would send the request again.
func TestStreamThatRanIsNotReportedAsNotRun(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2, Streaming: true}, failing, full)
	status, _, _ := de.ask(t, http.MethodPost, "/", "line")
	assert.Equal(t, de.runs.Load(), int64(1))
	assert.Equal(t, status, http.StatusBadGateway)
}
