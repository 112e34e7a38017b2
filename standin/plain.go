package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/message"
	"wisteriacroft/plainservice"
)

// Counts holds how often calls ran. It is the response to GET /counts.
type Counts struct {
	Keys    map[string]int `json:"keys"`    // by idempotency key, or by request id without one
	Paths   map[string]int `json:"paths"`   // by path
	Prompts map[string]int `json:"prompts"` // by prompt: generations at engines that made a first token
}

// A PlainAnswer is a plain service's response to a call.
type PlainAnswer struct {
	Body      string `json:"body"` // of the request
	Path      string `json:"path"`
	RequestID string `json:"request-id"`
	Run       int    `json:"run"` // how often the call's key has run so far
}

// A Plain simulates a plain service.
type Plain struct {
	faults
	mu       sync.Mutex
	counts   Counts
	previous string // path of the previous call
	report   plainservice.Report
	reported time.Time
	row      EndpointRow
	running  int
	slots    chan struct{}
	waiting  int
}

func newPlain(row EndpointRow) *Plain {
	return &Plain{
		counts: Counts{Keys: map[string]int{}, Paths: map[string]int{}},
		row:    row,
		slots:  make(chan struct{}, row.MaxRunning),
	}
}

// count adds the service's counts to co.
func (pn *Plain) count(co Counts) {
	pn.mu.Lock()
	defer pn.mu.Unlock()
	for key, runs := range pn.counts.Keys {
		co.Keys[key] += runs
	}
	for path, runs := range pn.counts.Paths {
		co.Paths[path] += runs
	}
}

func (pn *Plain) handler() http.Handler {
	ro := mux.NewRouter()
	ro.HandleFunc("/report", handle(func(context.Context, struct{}) (plainservice.Report, error) {
		return pn.delayedReport(time.Now()), nil
	}))
	ro.PathPrefix("/").HandlerFunc(pn.call)
	return ro
}

// delayedReport returns the load as of at most a report lag ago.
func (pn *Plain) delayedReport(now time.Time) plainservice.Report {
	pn.mu.Lock()
	defer pn.mu.Unlock()
	if now.Sub(pn.reported) >= time.Duration(pn.row.ReportLag) {
		pn.reported = now
		pn.report = plainservice.Report{Running: pn.running, Waiting: pn.waiting}
	}
	return pn.report
}

// call runs a call when a slot is free.
func (pn *Plain) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		answer(w, nil, errors.Wrapf(errBadRequest, "read: %v", err))
		return
	}
	pn.adjustLoad(0, 1)
	select {
	case pn.slots <- struct{}{}:
		pn.adjustLoad(1, -1)
		defer func() {
			pn.adjustLoad(-1, 0)
			<-pn.slots
		}()
	case <-r.Context().Done():
		pn.adjustLoad(0, -1)
		return
	}
	an := pn.run(r, w.Header().Get(plainservice.RequestIDHeader))
	an.Body = string(body)
	sleep(r.Context(), time.Duration(pn.row.Time))
	answer(w, an, nil)
}

// adjustLoad adds to the numbers of running and waiting calls.
func (pn *Plain) adjustLoad(running, waiting int) {
	pn.mu.Lock()
	defer pn.mu.Unlock()
	pn.running += running
	pn.waiting += waiting
}

// run counts a call and returns its response. echo is the request id to return; if
// it is not the call's own, the response also has the path of the previous call.
func (pn *Plain) run(r *http.Request, echo string) PlainAnswer {
	id := r.Header.Get(plainservice.RequestIDHeader)
	key := r.Header.Get(message.IdempotencyKeyHeader)
	if key == "" {
		key = id
	}
	pn.mu.Lock()
	defer pn.mu.Unlock()
	pn.counts.Keys[key]++
	pn.counts.Paths[r.URL.Path]++
	an := PlainAnswer{Path: r.URL.Path, RequestID: echo, Run: pn.counts.Keys[key]}
	if echo != id {
		an.Path = pn.previous
	}
	pn.previous = r.URL.Path
	return an
}
