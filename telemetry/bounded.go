package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

// Bounds of a BoundedWriter.
const (
	// boundedLines is how many lines wait for the output. At some 300 bytes
	// each they take 600 KB of an instance's 112 MB and more.
	boundedLines = 2048
	// boundedRate is how many lines a second are written over a longer time.
	// A line costs about 10 us; so logs take 0.6% of a core at most.
	boundedRate = 600
	// boundedBurst is how many lines may come at once: a step's 200 items,
	// placed and ended, and what goes with them.
	boundedBurst = 3000
)

// A BoundedWriter passes log lines on without ever making its caller wait.
//
// An output that is not read, or a burst of lines, would otherwise hold up the
// requests that log. Lines beyond the bounds are dropped and counted. Use
// NewBoundedWriter.
type BoundedWriter struct {
	allowance float64
	dropped   atomic.Uint64
	filledAt  time.Time
	lines     chan []byte
	written   atomic.Uint64
}

// NewBoundedWriter returns a writer that passes lines on to out, which it alone
// writes to.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	bw := &BoundedWriter{allowance: boundedBurst, filledAt: time.Now(), lines: make(chan []byte, boundedLines)}
	go func() {
		for line := range bw.lines {
			if _, err := out.Write(line); err != nil {
				bw.dropped.Add(1) // there is nowhere to say so but the count
				continue
			}
			bw.written.Add(1)
		}
	}()
	return bw
}

// Write implements io.Writer. It never fails; logrus calls it one line at a
// time, under its own lock.
func (bw *BoundedWriter) Write(line []byte) (int, error) {
	now := time.Now()
	bw.allowance = min(boundedBurst, bw.allowance+boundedRate*now.Sub(bw.filledAt).Seconds())
	bw.filledAt = now
	if bw.allowance < 1 {
		bw.dropped.Add(1)
		return len(line), nil
	}
	select {
	case bw.lines <- append([]byte(nil), line...):
		bw.allowance--
	default:
		bw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (bw *BoundedWriter) Dropped() uint64 { return bw.dropped.Load() }

// Written returns how many lines were written.
func (bw *BoundedWriter) Written() uint64 { return bw.written.Load() }

// Close ends the writing once what waits is written. Nothing may be written
// after it.
func (bw *BoundedWriter) Close() { close(bw.lines) }
