package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/outcome"
)

// An endpointModel serves as fast as its load lets it: up to full requests at
// once it takes its time for each; more slow all down.
type endpointModel struct {
	full    int
	mu      sync.Mutex
	running int
}

// add returns how many requests run, with n more.
func (en *endpointModel) add(n int) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running += n
	return en.running
}

func (en *endpointModel) serve(work time.Duration) {
	running := en.add(1)
	time.Sleep(time.Duration(float64(work) * max(1, float64(running)/float64(en.full))))
	en.add(-1)
}

// A load is what comes to a gate, and what became of it.
type load struct {
	admit    func(ctx context.Context, req Request) (*Ticket, error)
	endpoint endpointModel
	every    time.Duration // between two arrivals, on the mean
	good     int           // answered before the deadline
	held     int           // refused, but not at once
	late     int           // answered after it
	mu       sync.Mutex    // guards what became of it
	refused  int
	rng      *rand.Rand
	slowest  time.Duration // refusal
	timeout  time.Duration
	waits    *hdrhistogram.Histogram // answer times in microseconds
	waitSum  time.Duration           // that refusals told
	work     time.Duration           // mean
}

func newLoad(ga *Gate, seed uint64) *load {
	return &load{
		admit:    ga.Acquire,
		endpoint: endpointModel{full: 8},
		rng:      rand.New(rand.NewPCG(seed, 1)),
		timeout:  time.Second,
		waits:    hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		work:     100 * time.Millisecond,
	}
}

// run lets requests of a class arrive for a while and waits for the last.
func (lo *load) run(cl Class, name string, lasts time.Duration) {
	var wg sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < lasts; i++ {
		time.Sleep(time.Duration(lo.rng.ExpFloat64() * float64(lo.every)))
		work := time.Duration(float64(lo.work) * (0.5 + lo.rng.Float64()))
		req := Request{
			Class:    cl,
			Deadline: time.Now().Add(lo.timeout),
			ID:       fmt.Sprintf("%s-%d", name, i),
			Profile:  name,
		}
		wg.Go(func() { lo.one(req, work) })
	}
	wg.Wait()
}

func (lo *load) one(req Request, work time.Duration) {
	begun := time.Now()
	ti, err := lo.admit(context.Background(), req)
	if err == nil {
		ti.Started()
		lo.endpoint.serve(work)
		ti.Release(Whole)
	}
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if err != nil {
		if time.Since(begun) > 0 {
			lo.held++
		}
		lo.refused++
		lo.slowest = max(lo.slowest, time.Since(begun))
		var re *outcome.Refusal
		if errors.As(err, &re) {
			lo.waitSum += re.RetryDelay()
		}
		return
	}
	lo.waits.RecordValue(time.Since(begun).Microseconds())
	if time.Now().After(req.Deadline) {
		lo.late++
		return
	}
	lo.good++
}

// done returns how many requests were answered in time.
func (lo *load) done() int {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.good
}

// Symptom: at twice the load hardly any caller gets its answer in time.
// Sequence: load doubles and stays; the endpoint works on requests whose callers have given up.
// Cause: all that comes is let in or queued, with no regard to what can still be answered.
func TestOverload(t *testing.T) {
	const lasts = 2 * time.Minute
	var sb strings.Builder
	good := map[string]int{}
	fmt.Fprintln(&sb, "gate  load  good/s  late/s  refused/s  held/s  slowest-refusal  mean-retry-after  answer-p99")
	for _, gated := range []bool{true, false} {
		for _, times := range []float64{1, 2, 4} {
			synctest.Test(t, func(*testing.T) {
				lo := newLoad(NewGate(Policy{LiveReserve: -1, MaxRunning: 8}), 1)
				lo.every = time.Duration(float64(lo.work) / 8 / times)
				if !gated {
					lo.admit = func(ctx context.Context, req Request) (*Ticket, error) {
						return NewGate(Policy{}).Acquire(ctx, req) // of its own: lets it in
					}
				}
				lo.run(Live, "call", lasts)
				key := fmt.Sprintf("%-5t %gx", gated, times)
				good[key] = lo.good
				secs := lasts.Seconds()
				fmt.Fprintf(&sb, "%s    %.1f  %.1f  %.1f  %.2f  %s  %s  %s\n", key, float64(lo.good)/secs, float64(lo.late)/secs,
					float64(lo.refused)/secs, float64(lo.held)/secs, lo.slowest, (lo.waitSum / time.Duration(max(1, lo.refused))).Round(time.Millisecond),
					time.Duration(lo.waits.ValueAtQuantile(99))*time.Microsecond)
			})
		}
	}
	golden.Assert(t, sb.String(), "overload.golden")
	assert.Assert(t, float64(good["true  2x"]) >= 0.95*float64(good["true  1x"]), "goodput fell under load:\n%s", &sb)
}

// Symptom: a turnstile waits seconds while samples are generated.
// Sequence: samples take all places of an engine; a live call comes and waits for one of them to end.
// Cause: no place is kept for live calls, and the order is that of arrival.
func TestLiveBesideSamples(t *testing.T) {
	var sb strings.Builder
	p99 := map[string]int64{}
	fmt.Fprintln(&sb, "order  samples  live-p50  live-p99  samples-done")
	for _, order := range []Discipline{LiveFirst, FirstInFirstOut} {
		for _, samples := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				ga := NewGate(Policy{MaxRunning: 16, Order: order})
				live := newLoad(ga, 1)
				live.every, live.timeout = 50*time.Millisecond, 10*time.Second
				others := newLoad(ga, 2)
				others.every, others.timeout, others.work = 500*time.Millisecond, time.Hour, 10*time.Second
				others.endpoint.full = 16
				if samples {
					go others.run(Sample, "sample", 3*time.Minute)
					time.Sleep(30 * time.Second)
				}
				live.run(Live, "call", 2*time.Minute)
				key := fmt.Sprintf("%s  %t", order, samples)
				p99[key] = live.waits.ValueAtQuantile(99)
				fmt.Fprintf(&sb, "%s  %s  %s  %d\n", key, time.Duration(live.waits.ValueAtQuantile(50))*time.Microsecond,
					time.Duration(p99[key])*time.Microsecond, others.done())
				time.Sleep(2 * time.Hour)
			})
		}
	}
	golden.Assert(t, sb.String(), "live-beside-samples.golden")
	alone, beside := p99["live-first  false"], p99["live-first  true"]
	assert.Assert(t, float64(beside) <= 1.1*float64(alone), "live calls wait behind samples:\n%s", &sb)
}
