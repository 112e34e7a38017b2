package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

// Limits of a BoundedWriter.
const (
	// maxQueuedLines is the size of the queue, in lines. At some 300 bytes each they take 600 KB.
	maxQueuedLines = 2048
	// maxLinesPerSecond is the sustained rate, in lines per second. A line costs about 10 us, so that logs take 0.6% of
	// a core at most.
	maxLinesPerSecond = 600
	// maxBurstLines is the burst size in lines, enough for the events of a whole step.
	maxBurstLines = 3000
)

// A BoundedWriter forwards log lines asynchronously, with a rate limit. It drops and counts
// excess lines.
//
// It guards against requests that block on logging while nobody reads the output, and
// against logs that take too much CPU time. Create one with NewBoundedWriter.
type BoundedWriter struct {
	tokens     float64
	dropped    atomic.Uint64
	refilledAt time.Time
	lines      chan []byte
	written    atomic.Uint64
}

// NewBoundedWriter returns a writer that forwards lines to out. Nothing else may write to
// out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	bw := &BoundedWriter{tokens: maxBurstLines, refilledAt: time.Now(), lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range bw.lines {
			if _, err := out.Write(line); err != nil {
				bw.dropped.Add(1) // the error can't be logged
				continue
			}
			bw.written.Add(1)
		}
	}()
	return bw
}

// Write implements io.Writer for a single line. It never fails or blocks. It is not safe
// for concurrent use; logrus calls it under a lock.
func (bw *BoundedWriter) Write(line []byte) (int, error) {
	now := time.Now()
	bw.tokens = min(maxBurstLines, bw.tokens+maxLinesPerSecond*now.Sub(bw.refilledAt).Seconds())
	bw.refilledAt = now
	if bw.tokens < 1 {
		bw.dropped.Add(1)
		return len(line), nil
	}
	select {
	case bw.lines <- append([]byte(nil), line...):
		bw.tokens--
	default:
		bw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (bw *BoundedWriter) Dropped() uint64 { return bw.dropped.Load() }

// Written returns the number of written lines.
func (bw *BoundedWriter) Written() uint64 { return bw.written.Load() }

// Close stops the writer after the queued lines are written, without waiting for them.
// Write must not be called after Close.
func (bw *BoundedWriter) Close() { close(bw.lines) }
