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

// An endpointModel runs up to full requests at their normal speed; with more requests it slows all
// of them down in proportion.
type endpointModel struct {
	capacity int
	mu       sync.Mutex
	running  int
}

// add adds n to the number of running requests and returns the sum.
func (en *endpointModel) add(n int) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running += n
	return en.running
}

func (en *endpointModel) serve(work time.Duration) {
	running := en.add(1)
	time.Sleep(time.Duration(float64(work) * max(1, float64(running)/float64(en.capacity))))
	en.add(-1)
}

// A load generates requests for a gate and counts their outcomes.
type load struct {
	admit         func(ctx context.Context, req Request) (*Ticket, error)
	endpoint      endpointModel
	every         time.Duration // mean time between arrivals
	inTime        int           // answered before the deadline
	expired       int           // refused after a wait in the queue
	late          int           // answered after the deadline
	mu            sync.Mutex    // guards the counters and histograms
	refused       int
	rng           *rand.Rand
	slowest       time.Duration // slowest refusal
	timeout       time.Duration
	answerTimes   *hdrhistogram.Histogram // in microseconds
	retryAfterSum time.Duration           // sum of the Retry-After times of refusals
	work          time.Duration           // mean service time
}

func newLoad(ga *Gate, seed uint64) *load {
	return &load{
		admit:       ga.Acquire,
		endpoint:    endpointModel{capacity: 8},
		rng:         rand.New(rand.NewPCG(seed, 1)),
		timeout:     time.Second,
		answerTimes: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		work:        100 * time.Millisecond,
	}
}

// run sends requests of a class at random intervals and waits until all have ended.
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
		wg.Go(func() { lo.send(req, work) })
	}
	wg.Wait()
}

func (lo *load) send(req Request, work time.Duration) {
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
			lo.expired++
		}
		lo.refused++
		lo.slowest = max(lo.slowest, time.Since(begun))
		var re *outcome.Refusal
		if errors.As(err, &re) {
			lo.retryAfterSum += re.RetryDelay()
		}
		return
	}
	lo.answerTimes.RecordValue(time.Since(begun).Microseconds())
	if time.Now().After(req.Deadline) {
		lo.late++
		return
	}
	lo.inTime++
}

// answeredInTime returns the number of requests answered before their deadline.
func (lo *load) answeredInTime() int {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.inTime
}

// Guards against goodput that collapses under overload because the endpoint works on requests whose
// deadline can no longer be met.
func TestOverload(t *testing.T) {
	const lasts = 2 * time.Minute
	var sb strings.Builder
	good := map[string]int{}
	fmt.Fprintln(&sb, "gate  load  in-time/s  late/s  refused/s  expired/s  slowest-refusal  mean-retry-after  answer-p99")
	for _, gated := range []bool{true, false} {
		for _, times := range []float64{1, 2, 4} {
			synctest.Test(t, func(*testing.T) {
				lo := newLoad(NewGate(Policy{LiveReserve: -1, MaxRunning: 8}), 1)
				lo.every = time.Duration(float64(lo.work) / 8 / times)
				if !gated {
					lo.admit = func(ctx context.Context, req Request) (*Ticket, error) {
						return NewGate(Policy{}).Acquire(ctx, req) // a new gate per request admits all
					}
				}
				lo.run(Live, "call", lasts)
				key := fmt.Sprintf("%-5t %gx", gated, times)
				good[key] = lo.inTime
				secs := lasts.Seconds()
				fmt.Fprintf(&sb, "%s    %.1f  %.1f  %.1f  %.2f  %s  %s  %s\n", key, float64(lo.inTime)/secs, float64(lo.late)/secs,
					float64(lo.refused)/secs, float64(lo.expired)/secs, lo.slowest, (lo.retryAfterSum / time.Duration(max(1, lo.refused))).Round(time.Millisecond),
					time.Duration(lo.answerTimes.ValueAtQuantile(99))*time.Microsecond)
			})
		}
	}
	golden.Assert(t, sb.String(), "overload.golden")
	assert.Assert(t, float64(good["true  2x"]) >= 0.95*float64(good["true  1x"]), "goodput fell under load:\n%s", &sb)
}

// Guards against live calls that wait behind long samples which occupy all slots of an engine.
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
				others.endpoint.capacity = 16
				if samples {
					go others.run(Sample, "sample", 3*time.Minute)
					time.Sleep(30 * time.Second)
				}
				live.run(Live, "call", 2*time.Minute)
				key := fmt.Sprintf("%s  %t", order, samples)
				p99[key] = live.answerTimes.ValueAtQuantile(99)
				fmt.Fprintf(&sb, "%s  %s  %s  %d\n", key, time.Duration(live.answerTimes.ValueAtQuantile(50))*time.Microsecond,
					time.Duration(p99[key])*time.Microsecond, others.answeredInTime())
				time.Sleep(2 * time.Hour)
			})
		}
	}
	golden.Assert(t, sb.String(), "live-beside-samples.golden")
	alone, beside := p99["live-first  false"], p99["live-first  true"]
	assert.Assert(t, float64(beside) <= 1.1*float64(alone), "live calls wait behind samples:\n%s", &sb)
}
