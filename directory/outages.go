package directory

import "sync"

// An outageSet holds the prefixes for which calls of the key-value service fail. The zero value is empty and ready to
// use. It is safe for concurrent use.
type outageSet struct {
	mu       sync.Mutex
	prefixes map[string]bool
}

// set records whether calls for a prefix fail, and reports whether that has changed.
func (oe *outageSet) set(prefix string, failing bool) bool {
	oe.mu.Lock()
	defer oe.mu.Unlock()
	if oe.prefixes[prefix] == failing {
		return false
	}
	if oe.prefixes == nil {
		oe.prefixes = map[string]bool{}
	}
	oe.prefixes[prefix] = failing
	return true
}
