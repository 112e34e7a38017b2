package gate

import (
	"context"
	"sync"

	"wisteriacroft/outcome"
)

// A Ticket is the permission to send one request to the endpoint. It tracks the request's outcome.
type Ticket struct {
	gate    *Gate
	id      string
	left    bool
	mu      sync.Mutex
	outcome Result
	started bool
}

// Started marks the start of sending. After it only the result NotSent proves that the request has
// not run.
func (ti *Ticket) Started() {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.started = true
}

// Outcome returns the current outcome of the request.
func (ti *Ticket) Outcome() outcome.Outcome {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	switch {
	case !ti.started, ti.left && ti.outcome == NotSent:
		return outcome.NotRun
	case ti.left && ti.outcome == Whole:
		return outcome.Ran
	default:
		return outcome.Unknown
	}
}

// Release frees the slot and returns the request's outcome. Only the first call has an effect.
func (ti *Ticket) Release(out Result) outcome.Outcome {
	ti.mu.Lock()
	first := !ti.left
	if first {
		ti.left, ti.outcome = true, out
	}
	ti.mu.Unlock()
	if first {
		ti.gate.remove(ti.id, out)
	}
	return ti.Outcome()
}

// WorkContext returns the context of the call to the endpoint. A repeatable request is canceled
// with ctx. Any other continues without its caller, so that its answer can be recorded for a
// repeat; the caller of WorkContext must set a timeout.
func WorkContext(ctx context.Context, repeatable bool) (context.Context, context.CancelFunc) {
	if repeatable {
		return context.WithCancel(ctx)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}
