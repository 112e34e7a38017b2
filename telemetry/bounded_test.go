package telemetry

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A blockedWriter blocks all writes until release is closed.
type blockedWriter struct{ release chan struct{} }

func (bl blockedWriter) Write(line []byte) (int, error) {
	<-bl.release
	return len(line), nil
}

func TestBoundedWriterDoesNotBlock(t *testing.T) {
	// Guards against requests that block on a log line while nobody reads the process's
	// output.
	synctest.Test(t, func(t *testing.T) {
		bl := blockedWriter{release: make(chan struct{})}
		bw := NewBoundedWriter(bl)
		begun := time.Now()
		const lines = maxQueuedLines + 500
		for range lines {
			n, err := bw.Write([]byte("line\n"))
			assert.NilError(t, err)
			assert.Equal(t, n, 5)
		}
		assert.Equal(t, time.Since(begun), time.Duration(0))
		close(bl.release)
		synctest.Wait()
		assert.Equal(t, bw.Dropped()+bw.Written(), uint64(lines), "each line is counted")
		assert.Assert(t, bw.Dropped() > 0)
		bw.Close()
	})
}

func TestBoundedWriterRateLimit(t *testing.T) {
	// Guards against log output that grows with the load and takes too much CPU time.
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
		limit := uint64(maxBurstLines + seconds*maxLinesPerSecond)
		assert.Assert(t, bw.Written() <= limit, "%d", bw.Written())
		assert.Assert(t, bw.Written() >= limit*9/10, "%d", bw.Written())
		assert.Equal(t, bw.Written()+bw.Dropped(), uint64(seconds*3000))
		bw.Close()
	})
}
