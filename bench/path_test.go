package bench_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

const (
	// rounds is how often direct calls and calls through the system alternate, so that
	// other load on the machine affects both equally.
	rounds             = 10
	maxMicroseconds    = 60 * 1000 * 1000
	significantFigures = 3
)

// A statusError is a response with a status other than 200.
type statusError struct {
	status int
	text   string
}

// Error implements error.
func (er *statusError) Error() string { return fmt.Sprintf("status %d: %s", er.status, er.text) }

// A tally holds the times that one caller measured, in microseconds.
type tally struct {
	call, first, line *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		call:  hdrhistogram.New(1, maxMicroseconds, significantFigures),
		first: hdrhistogram.New(1, maxMicroseconds, significantFigures),
		line:  hdrhistogram.New(1, maxMicroseconds, significantFigures),
	}
}

func (ta *tally) add(other *tally) {
	ta.call.Merge(other.call)
	ta.first.Merge(other.first)
	ta.line.Merge(other.line)
}

// recordTime records a duration in microseconds.
func recordTime(hi *hdrhistogram.Histogram, took time.Duration) {
	_ = hi.RecordValue(max(1, took.Microseconds())) // values over a minute are dropped
}

// A kind is a kind of call, which can be made directly or through the system.
type kind struct {
	name            string
	direct, through func(wo *world, ta *tally) error
}

// kinds are the kinds of calls to measure.
var kinds = []kind{
	{
		name: "lookup",
		direct: func(wo *world, _ *tally) error {
			return wo.lookup(wo.plain + "/gate-api-1/cards/7")
		},
		through: func(wo *world, _ *tally) error {
			return wo.lookup("http://" + wo.entry + "/v1/services/gate-api/call/cards/7")
		},
	},
	{
		name: "order-line",
		direct: func(wo *world, _ *tally) error {
			return wo.order(wo.plain + "/order-desk-1/lines")
		},
		through: func(wo *world, _ *tally) error {
			return wo.order("http://" + wo.entry + "/v1/services/order-desk/call/lines")
		},
	},
	{
		name: "stream",
		direct: func(wo *world, ta *tally) error {
			return wo.stream(wo.engine+"/generate", ta)
		},
		through: func(wo *world, ta *tally) error {
			return wo.stream("http://"+wo.entry+"/v1/services/draft-llm/stream", ta)
		},
	},
}

func (wo *world) lookup(url string) error {
	rq, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	rq.Header.Set("X-Request-Id", uuid.NewString())
	return wo.call(rq, drain)
}

func (wo *world) order(url string) error {
	rq, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"sku":"flour-50kg","count":2}`))
	if err != nil {
		return err
	}
	rq.Header.Set(message.IdempotencyKeyHeader, newKey())
	rq.Header.Set("X-Request-Id", uuid.NewString())
	return wo.call(rq, drain)
}

func drain(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

// stream reads a stream and records the time from the writing to the reading of
// each line.
func (wo *world) stream(url string, ta *tally) error {
	id := uuid.NewString()
	body := fmt.Sprintf(`{"id":%q,"max-tokens":%d,"prompt":"draft","seed":1}`, id, lines)
	rq, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	rq.Header.Set("X-Request-Id", id)
	start := time.Now()
	return wo.call(rq, func(body io.Reader) error {
		decoder := json.NewDecoder(body)
		for next := 0; ; {
			var ch engine.Chunk
			if err := decoder.Decode(&ch); err != nil {
				return err
			}
			if ta != nil && len(ch.Tokens) > 0 {
				if next == 0 {
					recordTime(ta.first, time.Since(start))
				}
				made := wo.since.Add(time.Duration(ch.Tokens[0].ID) * time.Microsecond)
				recordTime(ta.line, time.Since(made))
			}
			next += len(ch.Tokens)
			if ch.Done {
				return drain(body)
			}
		}
	})
}

// A measurement sums up the calls of one path, direct or through the system.
type measurement struct {
	*tally
	allocs uint64
	calls  int
	cpu    time.Duration // of the whole process
}

// run makes calls with a number of callers and adds the measurements.
func (me *measurement) run(b *testing.B, wo *world, callers, calls int, try func(*world, *tally) error) {
	var group sync.WaitGroup
	tallies := []*tally{}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	for i := range callers {
		count := calls / callers
		if i < calls%callers {
			count++
		}
		ta := newTally()
		tallies = append(tallies, ta)
		group.Go(func() {
			for range count {
				begin := time.Now()
				if err := try(wo, ta); err != nil {
					b.Error(err)
					return
				}
				recordTime(ta.call, time.Since(begin))
			}
		})
	}
	group.Wait()
	me.cpu += processorTime() - cpu
	runtime.ReadMemStats(&after)
	me.allocs += after.Mallocs - before.Mallocs
	me.calls += calls
	for _, ta := range tallies {
		me.add(ta)
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var us syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &us) // it fails only for invalid arguments
	return time.Duration(us.Utime.Nano() + us.Stime.Nano())
}

// BenchmarkPath measures the overhead of entry and attendant over a direct call of
// the same endpoint in the same run. An operation is one direct call and one call through the system.
//
// Everything runs in this process, so the processor time of the system is that of
// calls through it minus that of direct calls.
func BenchmarkPath(b *testing.B) {
	for _, ki := range kinds {
		for _, callers := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("%s/callers-%d", ki.name, callers), func(b *testing.B) {
				measure(b, ki, callers)
			})
		}
	}
}

func measure(b *testing.B, ki kind, callers int) {
	wo := newWorld(b)
	direct, through := &measurement{tally: newTally()}, &measurement{tally: newTally()}
	for range 2 * callers { // opens the connections
		assert.NilError(b, ki.direct(wo, nil))
	}
	warm := &measurement{tally: newTally()}
	warm.run(b, wo, callers, 2*callers, ki.direct)
	warm.run(b, wo, callers, 2*callers, ki.through)
	conns := wo.conns.Load()
	b.ResetTimer()
	for i := range rounds {
		calls := b.N * (i + 1) / rounds
		calls -= b.N * i / rounds
		if calls == 0 {
			continue
		}
		direct.run(b, wo, callers, calls, ki.direct)
		through.run(b, wo, callers, calls, ki.through)
	}
	b.StopTimer()
	report(b, ki, direct, through)
	b.ReportMetric(float64(wo.conns.Load()-conns)/float64(b.N), "conns/call")
}

// report reports the overhead of the system, with times in microseconds.
func report(b *testing.B, ki kind, direct, through *measurement) {
	quantiles := func(name string, from, to *hdrhistogram.Histogram) {
		for _, q := range []float64{50, 99} {
			base, all := from.ValueAtQuantile(q), to.ValueAtQuantile(q)
			b.ReportMetric(float64(base), fmt.Sprintf("direct-%sp%.0f-us", name, q))
			b.ReportMetric(float64(all-base), fmt.Sprintf("added-%sp%.0f-us", name, q))
		}
	}
	if ki.name == "stream" {
		quantiles("first-", direct.first, through.first)
		quantiles("line-", direct.line, through.line)
	} else {
		quantiles("", direct.call, through.call)
	}
	cpu := through.cpu/time.Duration(through.calls) - direct.cpu/time.Duration(direct.calls)
	allocs := float64(through.allocs)/float64(through.calls) - float64(direct.allocs)/float64(direct.calls)
	b.ReportMetric(allocs, "added-allocs/call")
	b.ReportMetric(float64(cpu.Microseconds()), "added-cpu-us/call")
	b.ReportMetric(float64(time.Second)/float64(max(cpu, 1)), "calls/s/core")
	b.ReportMetric(0, "ns/op")
}
