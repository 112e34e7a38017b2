package attendant

import (
	"context"
	"sync"
)

// An inflight tracks the unanswered requests of an attendant.
type inflight struct {
	mu      sync.Mutex
	idle    chan struct{} // closed when the last request has ended after leave
	leaving bool
	left    chan struct{} // closed by leave
	running int
}

func newInflight() *inflight {
	return &inflight{idle: make(chan struct{}), left: make(chan struct{})}
}

// enter adds a request, or returns false during shutdown.
//
// The flag and the counter share a lock. Otherwise a request could enter after the count was seen
// as zero, and be cut off by the exit.
func (in *inflight) enter() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.leaving {
		return false
	}
	in.running++
	return true
}

// exit removes a request.
func (in *inflight) exit() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.running--
	in.signal()
}

// leave refuses all further requests.
func (in *inflight) leave() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.leaving {
		in.leaving = true
		close(in.left)
		in.signal()
	}
}

// signal closes idle when leaving and no request is running.
func (in *inflight) signal() {
	if in.leaving && in.running == 0 {
		close(in.idle)
	}
}

// isLeaving reports whether requests are refused.
func (in *inflight) isLeaving() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.leaving
}

// wait waits until the last request has ended. It must be called after leave.
func (in *inflight) wait(ctx context.Context) error {
	select {
	case <-in.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withDone returns a copy of ctx that also ends, with a cause, when done is closed.
func withDone(ctx context.Context, done <-chan struct{}, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-done:
			cancel(cause)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}
