package attendant

import "time"

// await runs fn in a new goroutine and returns its result. Until then it calls beat at each
// interval, in the caller's goroutine, so that the peer can tell a slow answer from a stalled
// connection.
func await[T any](every time.Duration, beat func(), fn func() T) T {
	done := make(chan T, 1)
	go func() { done <- fn() }()
	ti := time.NewTicker(every)
	defer ti.Stop()
	for {
		select {
		case result := <-done:
			return result
		case <-ti.C:
			beat()
		}
	}
}
