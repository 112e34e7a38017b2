// Package gate decides which requests an attendant writes to its endpoint,
// and when. Engines admit whatever arrives and know no priorities, so the
// gate keeps an endpoint's running set just full enough and holds the rest.
package gate

import (
	"context"
	"sync"
	"time"

	"wisteriacroft/outcome"
)

// A Gate admits the requests of one endpoint. It wraps a Table for callers
// that wait, and is safe for concurrent use.
type Gate struct {
	changed chan struct{} // closed and replaced when a row leaves
	mu      sync.Mutex
	table   *Table
	waiters map[string]chan Decision // by request id
}

// NewGate returns a gate under a policy.
func NewGate(po Policy) *Gate {
	return &Gate{
		changed: make(chan struct{}),
		table:   NewTable(po),
		waiters: make(map[string]chan Decision),
	}
}

// Acquire waits until the request may be written to the endpoint. Its error is
// an *outcome.Refusal that says not-run. A caller that goes away while its request
// waits ends ctx: the request is taken out and never runs.
func (ga *Gate) Acquire(ctx context.Context, req Request) (*Ticket, error) {
	decided, giveUp, re := ga.add(req)
	if re != nil {
		return nil, re
	}
	var expired <-chan time.Time
	if !giveUp.IsZero() {
		ti := time.NewTimer(time.Until(giveUp))
		defer ti.Stop()
		expired = ti.C
	}
	for {
		select {
		case de := <-decided:
			if de.Refusal != nil {
				return nil, de.Refusal
			}
			return &Ticket{gate: ga, id: req.ID}, nil
		case now := <-expired:
			ga.Tick(now)
		case <-ctx.Done():
			ga.remove(req.ID, NotSent)
			return nil, outcome.NewRefusal(outcome.Refused, req.ID, "caller went away before the request started")
		}
	}
}

// add puts a request into the table and returns the channel on which its
// decision comes.
func (ga *Gate) add(req Request) (<-chan Decision, time.Time, *outcome.Refusal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := time.Now()
	if re := ga.table.Add(now, req); re != nil {
		return nil, time.Time{}, re
	}
	decided := make(chan Decision, 1)
	ga.waiters[req.ID] = decided
	giveUp := ga.table.rows[req.ID].giveUp
	ga.run(now)
	return decided, giveUp, nil
}

// remove takes a request out and lets others start.
func (ga *Gate) remove(id string, out Result) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := time.Now()
	delete(ga.waiters, id)
	ga.table.Remove(now, id, out)
	ga.run(now)
}

// run tells those that wait what the table decides. The caller holds mu.
func (ga *Gate) run(now time.Time) {
	for _, de := range ga.table.Dispatch(now) {
		ga.waiters[de.ID] <- de
		delete(ga.waiters, de.ID)
	}
	close(ga.changed)
	ga.changed = make(chan struct{})
}

// Tick gives up on the requests that can't start in time. Those that wait in
// Acquire see to it themselves; a tick loop may call it too.
func (ga *Gate) Tick(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.run(now)
}

// Close refuses new requests with leaving. Those that wait may still start
// until the grace ends.
func (ga *Gate) Close(now time.Time, grace time.Duration) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.table.Close(now, grace)
	time.AfterFunc(grace, func() { ga.Tick(time.Now()) })
}

// Drained waits until no request runs or waits, or until ctx ends.
func (ga *Gate) Drained(ctx context.Context) error {
	for {
		ga.mu.Lock()
		changed, left := ga.changed, len(ga.table.rows)
		ga.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Load returns how many requests run and wait.
func (ga *Gate) Load() Load {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.table.Load()
}

// Observe takes in what the endpoint reports of itself, with a lag.
func (ga *Gate) Observe(now time.Time, reported Load) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.table.Observe(now, reported)
	ga.run(now)
}

// SetPolicy puts another policy in force for all decisions from now on.
func (ga *Gate) SetPolicy(now time.Time, po Policy) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.table.SetPolicy(po)
	ga.run(now)
}
