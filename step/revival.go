package step

import (
	"context"
	"sync"
	"time"
)

// A revival tells those whose calls a silent service has swallowed that it answers
// again. The zero revival is ready to use.
//
// A call from before the service's return gets no answer and waits out its time.
// Whoever is answered first tells the others, which break off and call anew.
type revival struct {
	mu   sync.Mutex
	back chan struct{} // closed when the service answers again
}

// next returns what is closed when the service answers again.
func (re *revival) next() <-chan struct{} {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.back == nil {
		re.back = make(chan struct{})
	}
	return re.back
}

// tell tells all who wait.
func (re *revival) tell() {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.back != nil {
		close(re.back)
		re.back = nil
	}
}

// swallowedAfter is how old a call must be to be broken off. A younger one was made
// after the service's return as a rule, and is answered: broken off all the same, two
// callers would break each other's calls off in turns.
const swallowedAfter = 150 * time.Millisecond

// bound returns a context of one call, which ends when the service answers others
// again.
func (re *revival) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	begun, back := time.Now(), re.next()
	go func() {
		for {
			select {
			case <-back:
			case <-ctx.Done():
				return
			}
			if time.Since(begun) >= swallowedAfter {
				cancel()
				return
			}
			back = re.next()
		}
	}()
	return ctx, cancel
}

// pause waits after a call that was lost, and no longer than until the service
// answers others.
func (re *revival) pause(ctx context.Context, back <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-back:
	case <-time.After(retryDelay):
	}
}
