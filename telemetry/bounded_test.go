package telemetry

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A stuckWriter takes nothing until it is released.
type stuckWriter struct{ release chan struct{} }

func (sw stuckWriter) Write(line []byte) (int, error) {
	<-sw.release
	return len(line), nil
}

func TestOutputThatIsNotRead(t *testing.T) {
	// Symptom: requests wait for seconds, each in the same place.
	// Sequence: whatever reads the process's output stops reading.
	// Cause: a log line waited until the output took it.
	synctest.Test(t, func(t *testing.T) {
		sw := stuckWriter{release: make(chan struct{})}
		bw := NewBoundedWriter(sw)
		begun := time.Now()
		const lines = boundedLines + 500
		for range lines {
			n, err := bw.Write([]byte("line\n"))
			assert.NilError(t, err)
			assert.Equal(t, n, 5)
		}
		assert.Equal(t, time.Since(begun), time.Duration(0))
		close(sw.release)
		synctest.Wait()
		assert.Equal(t, bw.Dropped()+bw.Written(), uint64(lines), "each line is counted")
		assert.Assert(t, bw.Dropped() > 0)
		bw.Close()
	})
}

func TestBurstOfLines(t *testing.T) {
	// Symptom: logs take a process's share of the processor under load.
	// Sequence: each of a thousand requests a second writes some lines.
	// Cause: the volume of logs was bounded by the load alone.
	synctest.Test(t, func(t *testing.T) {
		bw := NewBoundedWriter(io.Discard)
		const seconds = 20
		for range seconds {
			for range 10 {
				for range 300 {
					_, _ = bw.Write([]byte("line\n"))
				}
				synctest.Wait()
				time.Sleep(100 * time.Millisecond)
			}
		}
		limit := uint64(boundedBurst + seconds*boundedRate)
		assert.Assert(t, bw.Written() <= limit, "%d", bw.Written())
		assert.Assert(t, bw.Written() >= limit*9/10, "%d", bw.Written())
		assert.Equal(t, bw.Written()+bw.Dropped(), uint64(seconds*3000))
		bw.Close()
	})
}
