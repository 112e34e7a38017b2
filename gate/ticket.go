package gate

import (
	"context"
	"sync"

	"wisteriacroft/outcome"
)

// A Ticket is the right to write one request to the endpoint. It knows what
// may truly be said of the request.
type Ticket struct {
	gate    *Gate
	id      string
	left    bool
	mu      sync.Mutex
	outcome Result
	started bool
}

// Started marks that writing to the endpoint begins. From here on only an
// endpoint's client that knows that no byte was written may say not-run.
func (ti *Ticket) Started() {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.started = true
}

// Outcome returns what is known of the request now.
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

// Release gives the place back and returns the request's fate. Only the first
// call counts.
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

// WorkContext returns the context for the call of the endpoint. When the
// caller goes away, a repeatable request is canceled; one that is not
// repeatable goes on, so that its answer can be recorded for a repeat. The
// attendant bounds it by a timeout of its own.
func WorkContext(ctx context.Context, repeatable bool) (context.Context, context.CancelFunc) {
	if repeatable {
		return context.WithCancel(ctx)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}
