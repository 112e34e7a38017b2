// Package backpressure decides how much work that can wait is put off while a process is overloaded, so
// that what can't wait still gets its turn.
//
// The load pattern is one process that is asked by all others at once, such as a scheduler at the start
// of a whole deployment. Each of its messages then waits behind those of all others, also the renewal of
// its lease.
package backpressure

import (
	"sync"
	"time"
)

const (
	// tolerated is the lateness up to which nothing is put off.
	tolerated = 100 * time.Millisecond
	// maxStretch bounds how much longer intervals become.
	maxStretch = 4.0
	// samples is the number of observations over which the lateness is averaged.
	samples = 32
)

// A Gauge measures how late the responses to a process's own messages are. The zero value is ready to
// use. It is safe for concurrent use.
type Gauge struct {
	late time.Duration // moving average
	mu   sync.Mutex
}

// Observe records by how much a response was later than expected.
func (ga *Gauge) Observe(late time.Duration) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.late += (max(late, 0) - ga.late) / samples
}

// Lateness returns the average lateness.
func (ga *Gauge) Lateness() time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.late
}

// Stretch returns the factor by which the intervals of work that can wait should grow: 1 without
// overload, and in proportion to the lateness beyond that.
func (ga *Gauge) Stretch() float64 {
	return min(max(1, float64(ga.Lateness())/float64(tolerated)), maxStretch)
}
