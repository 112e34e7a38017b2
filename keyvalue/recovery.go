package keyvalue

import (
	"context"
	"sync"
	"time"

	"wisteriacroft/broadcast"
)

// A Recovery tells callers that the service has recovered. The zero value is ready to use.
//
// A call from before the recovery gets no answer and would block until its timeout. The first caller that gets an
// answer notifies the others, which cancel their calls and retry.
type Recovery struct {
	mu     sync.Mutex
	signal broadcast.Signal
	since  time.Time // calls that were sent before get no answer
}

// Recovered returns a channel that is closed at the next recovery.
func (re *Recovery) Recovered() <-chan struct{} { return re.signal.Changed() }

// Notify wakes all waiting callers. Calls that were sent before the given time, at which a call was sent that has been answered, are
// canceled. If it were all calls, two callers could cancel each other's calls forever.
func (re *Recovery) Notify(since time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if since.After(re.since) {
		re.since = since
	}
	re.signal.Notify()
}

// isLost reports whether a call that was sent at a given time gets no answer.
func (re *Recovery) isLost(sent time.Time) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return sent.Before(re.since)
}

// Context returns a context for one call, which is canceled when another call finds that the service has
// recovered since this one was sent.
func (re *Recovery) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	sent, recovered := time.Now(), re.Recovered()
	go func() {
		for {
			select {
			case <-recovered:
			case <-ctx.Done():
				return
			}
			if re.isLost(sent) {
				cancel()
				return
			}
			recovered = re.Recovered()
		}
	}()
	return ctx, cancel
}

// Pause waits for the pause after a lost call, or until recovered is closed.
func (re *Recovery) Pause(ctx context.Context, recovered <-chan struct{}, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-time.After(wait):
	}
}
