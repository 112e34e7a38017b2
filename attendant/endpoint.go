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

// chunkPrecedence is how long a chunk's version takes precedence over an older one in a report, which
// may be delayed.
const chunkPrecedence = 10 * time.Second

// An endpoint is an engine or plain service of the attendant's instance.
type endpoint struct {
	engine     *engine.Client // nil for a plain service
	gate       *gate.Gate
	metrics    *endpointMetrics
	name       string
	keys       *idempotency.Table
	plain      *plainservice.Client // nil for an engine
	executions executions
	service    string
	runs       atomic.Int64 // counts requests, for unique ids

	mu            sync.Mutex
	versionSeenAt time.Time // time of the last chunk with a version
	poller        poller
	report        engine.Report // latest
	seenAt        time.Time     // time of the last answer
	version       engine.Version
}

// uniqueID returns a unique id for one run of a request. A caller may repeat an id while its previous
// run is being canceled; with the same id, the cancellation could hit the repeat.
func (en *endpoint) uniqueID(id string) string {
	return id + "/" + strconv.FormatInt(en.runs.Add(1), 10)
}

// admit waits for permission to send a request to the endpoint. Its error is a *outcome.Refusal
// with outcome not-run.
func (en *endpoint) admit(ctx context.Context, req gate.Request) (*gate.Ticket, error) {
	id := req.ID
	req.ID = en.uniqueID(id)
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

// currentVersion returns the latest known version of the engine's weights, or 0.
func (en *endpoint) currentVersion() engine.Version {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.version
}

// observeChunk records the version named by a chunk.
func (en *endpoint) observeChunk(ve engine.Version, now time.Time) {
	if ve == 0 {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.versionSeenAt, en.seenAt, en.version = now, now, ve
}

// observeReport records an engine's report. Its version may be older than that of recent chunks, so
// it counts only if it is higher or there have been no chunks for chunkPrecedence.
func (en *endpoint) observeReport(rp engine.Report, now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.report, en.seenAt = rp, now
	if rp.Version > en.version || now.Sub(en.versionSeenAt) > chunkPrecedence {
		en.version = rp.Version
	}
}

// observeLoad records that a plain service has reported.
func (en *endpoint) observeLoad(now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.seenAt = now
}

// An endpointState is a copy of an endpoint's latest state.
type endpointState struct {
	failed  bool // the last report failed
	report  engine.Report
	seenAt  time.Time
	version engine.Version
}

// state returns the latest state of the endpoint.
func (en *endpoint) state() endpointState {
	en.mu.Lock()
	defer en.mu.Unlock()
	return endpointState{failed: en.poller.failed, report: en.report, seenAt: en.seenAt, version: en.version}
}

// gateResult returns how a request ended, for the gate.
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

// notSent reports whether err proves that no byte of the request was sent.
func notSent(err error) bool {
	return errors.Is(err, plainservice.ErrNotSent) || errors.Is(err, engine.ErrNotSent)
}
