package step

import (
	"context"
	"sync"
	"time"
)

// A recoverySignal tells callers that the key-value service has recovered. The zero value is ready to use.
//
// A call from before the recovery gets no answer and would block until its timeout. The first caller that gets an
// answer notifies the others, which cancel their calls and retry.
type recoverySignal struct {
	mu     sync.Mutex
	signal chan struct{} // closed on recovery
}

// recovered returns a channel that is closed at the next recovery.
func (rs *recoverySignal) recovered() <-chan struct{} {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.signal == nil {
		rs.signal = make(chan struct{})
	}
	return rs.signal
}

// notify wakes all waiting callers.
func (rs *recoverySignal) notify() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.signal != nil {
		close(rs.signal)
		rs.signal = nil
	}
}

// minCancelAge is the age from which a call is canceled on recovery. A younger call was usually made after the
// recovery and will be answered. If it were canceled too, two callers could cancel each other's calls forever.
const minCancelAge = 150 * time.Millisecond

// callContext returns a context for one call, which is canceled when another call finds that the service has
// recovered.
func (rs *recoverySignal) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	begun, recovered := time.Now(), rs.recovered()
	go func() {
		for {
			select {
			case <-recovered:
			case <-ctx.Done():
				return
			}
			if time.Since(begun) >= minCancelAge {
				cancel()
				return
			}
			recovered = rs.recovered()
		}
	}()
	return ctx, cancel
}

// pause waits for the pause after a lost call, or until recovered is closed.
func (rs *recoverySignal) pause(ctx context.Context, recovered <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-time.After(retryDelay):
	}
}
