package attendant

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/gate"
	"wisteriacroft/idempotency"
	"wisteriacroft/outcome"
	"wisteriacroft/plainservice"
)

// chunkMemory is for how long the version that a chunk named goes before that
// of a report, which lags.
const chunkMemory = 10 * time.Second

// An endpoint is a server that the attendant stands beside.
type endpoint struct {
	engine     *engine.Client // nil for a plain service
	gate       *gate.Gate
	metrics    *endpointMetrics
	name       string
	once       *idempotency.Table
	plain      *plainservice.Client // nil for an engine
	executions executions
	service    string
	tickets    atomic.Int64 // requests so far; makes their names unique

	mu      sync.Mutex
	chunkAt time.Time // when a chunk last named a version
	poller  poller
	report  engine.Report // last one read
	seenAt  time.Time     // when the endpoint last answered
	version engine.Version
}

// unique returns a name for one run of a request. A caller may repeat an id
// while the run before it is still being canceled; under one name the cancel
// could hit the repeat.
func (en *endpoint) unique(id string) string {
	return id + "/" + strconv.FormatInt(en.tickets.Add(1), 10)
}

// enter waits for the right to write a request to the endpoint. Its error is a
// *outcome.Refusal that says not-run.
func (en *endpoint) enter(ctx context.Context, req gate.Request) (*gate.Ticket, error) {
	id := req.ID
	req.ID = en.unique(id)
	req.Deadline, _ = ctx.Deadline()
	ti, err := en.gate.Acquire(ctx, req)
	if err == nil {
		return ti, nil
	}
	var re *outcome.Refusal
	if errors.As(err, &re) {
		re.RequestID = id
	}
	return nil, err
}

// observed returns the weights that the engine last named, or 0.
func (en *endpoint) observed() engine.Version {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.version
}

// observeChunk takes the version that a chunk named.
func (en *endpoint) observeChunk(ve engine.Version, now time.Time) {
	if ve == 0 {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.chunkAt, en.seenAt, en.version = now, now, ve
}

// observeReport takes an engine's report. Its version may be older than what
// chunks have shown since, so it counts only if it is newer or if there were
// no chunks for a while.
func (en *endpoint) observeReport(rp engine.Report, now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.report, en.seenAt = rp, now
	if rp.Version > en.version || now.Sub(en.chunkAt) > chunkMemory {
		en.version = rp.Version
	}
}

// observeLoad notes that a plain service has reported.
func (en *endpoint) observeLoad(now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.seenAt = now
}

// An endpointState is what is known of an endpoint.
type endpointState struct {
	failed  bool // the last report could not be read
	report  engine.Report
	seenAt  time.Time
	version engine.Version
}

// state returns what is known of the endpoint.
func (en *endpoint) state() endpointState {
	en.mu.Lock()
	defer en.mu.Unlock()
	return endpointState{failed: en.poller.failed, report: en.report, seenAt: en.seenAt, version: en.version}
}

// gateResult returns how a request left the endpoint.
func gateResult(ctx context.Context, err error) gate.Result {
	switch {
	case err == nil:
		return gate.Whole
	case notSent(err):
		return gate.NotSent
	case ctx.Err() != nil:
		return gate.Canceled
	default:
		return gate.Broken
	}
}

// notSent tells whether err proves that no byte of the request was written.
func notSent(err error) bool {
	return errors.Is(err, plainservice.ErrNotSent) || errors.Is(err, engine.ErrNotSent)
}
