// Package broadcast wakes all goroutines that wait for a change.
package broadcast

import "sync"

// A Signal wakes its waiters at each change. The zero value is ready to use. It is safe for
// concurrent use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{} // nil while nobody waits
}

// Changed returns a channel that is closed at the next Notify. To miss no change, get the channel
// before reading the state.
func (si *Signal) Changed() <-chan struct{} {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.changed == nil {
		si.changed = make(chan struct{})
	}
	return si.changed
}

// Notify wakes all waiters.
func (si *Signal) Notify() {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.changed != nil {
		close(si.changed)
		si.changed = nil
	}
}
