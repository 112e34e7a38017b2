// Package gate limits and orders the requests that an attendant sends to its endpoint. Engines
// admit all requests and have no priorities, so excess requests queue here.
package gate

import (
	"context"
	"sync"
	"time"

	"wisteriacroft/outcome"
)

// A Gate admits the requests of one endpoint. It is safe for concurrent use; a Table makes its
// decisions.
type Gate struct {
	changed chan struct{} // closed and replaced by run
	mu      sync.Mutex
	table   *Table
	waiters map[string]chan Decision // by request id
}

// NewGate returns a gate with a policy.
func NewGate(po Policy) *Gate {
	return &Gate{
		changed: make(chan struct{}),
		table:   NewTable(po),
		waiters: make(map[string]chan Decision),
	}
}

// Acquire waits until the request may be sent to the endpoint. Its error is a *outcome.Refusal with
// outcome not-run. When ctx ends, the request leaves the queue and never runs.
func (ga *Gate) Acquire(ctx context.Context, req Request) (*Ticket, error) {
	decided, expireAt, re := ga.add(req)
	if re != nil {
		return nil, re
	}
	var expired <-chan time.Time
	if !expireAt.IsZero() {
		ti := time.NewTimer(time.Until(expireAt))
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

// add queues a request. It returns the channel of its decision and the time at which it expires, if
// any.
func (ga *Gate) add(req Request) (<-chan Decision, time.Time, *outcome.Refusal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := time.Now()
	if re := ga.table.Add(now, req); re != nil {
		return nil, time.Time{}, re
	}
	decided := make(chan Decision, 1)
	ga.waiters[req.ID] = decided
	expireAt := ga.table.rows[req.ID].expireAt
	ga.run(now)
	return decided, expireAt, nil
}

// remove removes a request and starts waiting ones.
func (ga *Gate) remove(id string, out Result) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := time.Now()
	delete(ga.waiters, id)
	ga.table.Remove(now, id, out)
	ga.run(now)
}

// run delivers the table's decisions to the waiting callers. The caller holds mu.
func (ga *Gate) run(now time.Time) {
	for _, de := range ga.table.Dispatch(now) {
		ga.waiters[de.ID] <- de
		delete(ga.waiters, de.ID)
	}
	close(ga.changed)
	ga.changed = make(chan struct{})
}

// Tick refuses requests that can't start in time. Acquire calls it when its own request expires; a
// tick loop may call it too.
func (ga *Gate) Tick(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.run(now)
}

// Close refuses new requests as leaving. Waiting requests may start until grace has passed.
func (ga *Gate) Close(now time.Time, grace time.Duration) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.table.Close(now, grace)
	time.AfterFunc(grace, func() { ga.Tick(time.Now()) })
}

// Drained waits until no request is running or waiting, or until ctx ends.
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

// Load returns the numbers of running and waiting requests.
func (ga *Gate) Load() Load {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.table.Load()
}

// Observe processes a load report of the endpoint, which may be delayed.
func (ga *Gate) Observe(now time.Time, reported Load) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.table.Observe(now, reported)
	ga.run(now)
}

// SetPolicy replaces the policy.
func (ga *Gate) SetPolicy(now time.Time, po Policy) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.table.SetPolicy(po)
	ga.run(now)
}
