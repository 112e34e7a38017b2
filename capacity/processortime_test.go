package capacity

import (
	"bytes"
	"context"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/google/pprof/profile"
	"gotest.tools/v3/assert"
)

// roleLabel is the profiler label that names the process a goroutine belongs to. Goroutines inherit it.
const roleLabel = "role"

// runAs runs a function, and all goroutines that it starts, as a process.
func runAs(process string, fn func()) {
	pprof.Do(context.Background(), pprof.Labels(roleLabel, process), func(context.Context) { fn() })
}

// A profiler measures processor time by process. It runs outside of the bubble of a test, where the
// profiler of the runtime may wait.
type profiler struct {
	requests chan struct{}
	results  chan map[string]time.Duration
}

// newProfiler returns a profiler, which ends with the test.
func newProfiler(tb testing.TB) *profiler {
	pr := &profiler{requests: make(chan struct{}), results: make(chan map[string]time.Duration)}
	go pr.run(tb)
	tb.Cleanup(func() { close(pr.requests) })
	return pr
}

// run starts a profile at one request and ends it at the next.
func (pr *profiler) run(tb testing.TB) {
	for range pr.requests {
		var buf bytes.Buffer
		if err := pprof.StartCPUProfile(&buf); err != nil {
			tb.Error(err)
		}
		pr.results <- nil
		if _, ok := <-pr.requests; !ok {
			pprof.StopCPUProfile()
			return
		}
		pprof.StopCPUProfile()
		pr.results <- processorTimes(tb, buf.Bytes())
	}
}

// start begins a measurement.
func (pr *profiler) start() {
	pr.requests <- struct{}{}
	<-pr.results
}

// stop ends the measurement and returns the processor time of each process. That of the runtime, such
// as of garbage collection, has an empty name.
func (pr *profiler) stop() map[string]time.Duration {
	pr.requests <- struct{}{}
	return <-pr.results
}

// processorTimes returns the processor times of a profile by roleLabel.
func processorTimes(tb testing.TB, data []byte) map[string]time.Duration {
	parsed, err := profile.ParseData(data)
	assert.Check(tb, err)
	if err != nil {
		return nil
	}
	times := map[string]time.Duration{}
	for _, sa := range parsed.Sample {
		name := ""
		if labels := sa.Label[roleLabel]; len(labels) > 0 {
			name = labels[0]
		}
		times[name] += time.Duration(sa.Value[len(sa.Value)-1])
	}
	return times
}
