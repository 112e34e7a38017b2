package measure

import "testing/synctest"

// An asyncCall is a call in progress, and its result when it has ended.
type asyncCall[T any] struct {
	err   error
	ready chan struct{} // closed when the call has ended
	value T
}

// startCall runs a call in a new goroutine, and returns when it has ended or blocks.
// So calls run one after another, and runs with the same seed are identical.
func startCall[T any](call func() (T, error)) *asyncCall[T] {
	ac := &asyncCall[T]{ready: make(chan struct{})}
	go func() {
		defer close(ac.ready)
		ac.value, ac.err = call()
	}()
	synctest.Wait()
	return ac
}

// ended reports whether the call has ended, after all goroutines have blocked.
func (ac *asyncCall[T]) ended() bool {
	if ac == nil {
		return false
	}
	synctest.Wait()
	select {
	case <-ac.ready:
		return true
	default:
		return false
	}
}
