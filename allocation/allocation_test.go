package allocation

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/fairshare"
)

// A simulation simulates a service, whose endpoints have slots and queues, and the entries in front of it.
type simulation struct {
	cut       map[int]bool // entries that cannot reach the holder
	entries   []*simEntry
	epoch     uint64
	held      bool
	allocator *Allocator
	mu        sync.Mutex  // guards all fields: entries report in the background
	ends      []time.Time // end times of running and queued requests
	slots     int
	rng       *rand.Rand
}

type simEntry struct {
	demands  map[string]fairshare.Demand
	ends     map[string][]time.Time
	short    bool
	reporter *DemandReporter
}

// A tally counts a customer's requests.
type tally struct{ asked, served int }

func quietLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}

func newSimulation(t *testing.T, entries, slots int) *simulation {
	t.Helper()
	si := &simulation{cut: map[int]bool{}, epoch: 1, held: true, slots: slots, rng: rand.New(rand.NewPCG(1, 2))}
	weights := func() map[string]float64 { return nil }
	si.newAllocator(weights)
	for i := range entries {
		en := &simEntry{demands: map[string]fairshare.Demand{}, ends: map[string][]time.Time{}}
		en.reporter = &DemandReporter{
			CallFunc: func(_ context.Context, rq DemandRequest) (DemandResponse, error) {
				si.mu.Lock()
				defer si.mu.Unlock()
				if si.cut[i] {
					return DemandResponse{}, context.DeadlineExceeded
				}
				return si.allocator.handleReport(rq, time.Now())
			},
			DemandsFunc: si.collect(en), Log: quietLogger(), Metrics: metrics.NewSet(), WeightsFunc: weights,
		}
		si.entries = append(si.entries, en)
		go en.reporter.Run(t.Context())
	}
	return si
}

func (si *simulation) newAllocator(weights func() map[string]float64) {
	si.allocator = &Allocator{
		Log: quietLogger(), Metrics: metrics.NewSet(), StandingFunc: func(time.Time) (uint64, bool) { return si.epoch, si.held },
		WeightsFunc: weights,
	}
}

// collect returns and resets an entry's demands, as a forwarder does.
func (si *simulation) collect(en *simEntry) func(time.Time, time.Duration) map[string]fairshare.ServiceDemand {
	return func(time.Time, time.Duration) map[string]fairshare.ServiceDemand {
		si.mu.Lock()
		defer si.mu.Unlock()
		sd := fairshare.ServiceDemand{Customers: en.demands, Places: si.slots, Short: en.short}
		en.demands, en.short = map[string]fairshare.Demand{}, false
		return map[string]fairshare.ServiceDemand{"desk": sd}
	}
}

const (
	queuePerSlot = 2 // maximum
	simTick      = 5 * time.Millisecond
	requestTime  = 50 * time.Millisecond // duration of a request
)

// request sends a customer's request to an entry and reports whether it was served.
func (si *simulation) request(entry int, customer string) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	en, now := si.entries[entry], time.Now()
	running := expire(en.ends[customer], now)
	dem := en.demands[customer]
	dem.Asked++
	bound := en.reporter.CustomerBound(customer, "desk")
	if bound >= 0 && len(running) >= bound {
		dem.Refused++
		dem.Met += len(running)
		en.demands[customer], en.ends[customer] = dem, running
		return false
	}
	dem.Met += len(running) + 1
	en.demands[customer] = dem
	si.ends = expire(si.ends, now)
	if len(si.ends) >= (1+queuePerSlot)*si.slots {
		en.short = true
		return false
	}
	begun := now
	if len(si.ends) >= si.slots {
		begun = si.ends[len(si.ends)-si.slots]
	}
	end := begun.Add(requestTime)
	si.ends = append(si.ends, end)
	en.ends[customer] = append(running, end)
	return true
}

// withLock runs a function under the lock.
func (si *simulation) withLock(what func()) {
	si.mu.Lock()
	defer si.mu.Unlock()
	what()
}

func expire(ends []time.Time, now time.Time) []time.Time {
	for len(ends) > 0 && !ends[0].After(now) {
		ends = ends[1:]
	}
	return ends
}

// play sends requests of customers, at rates a second, to random entries for a period.
func (si *simulation) play(rates map[string]float64, length time.Duration, entries []int) map[string]tally {
	tallies := map[string]tally{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(simTick) {
		var calls []string
		for _, customer := range []string{"large", "small"} {
			mean := rates[customer] * simTick.Seconds()
			for range int(mean) {
				calls = append(calls, customer)
			}
			if si.rng.Float64() < mean-float64(int(mean)) {
				calls = append(calls, customer)
			}
		}
		si.rng.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
		for _, customer := range calls {
			ta := tallies[customer]
			ta.asked++
			if si.request(entries[si.rng.IntN(len(entries))], customer) {
				ta.served++
			}
			tallies[customer] = ta
		}
	}
	return tallies
}

func (ta tally) servedFraction() float64 { return float64(ta.served) / float64(max(ta.asked, 1)) }

var allEntries = []int{0, 1, 2, 3, 4, 5}

// A customer that requests ten times the capacity must not take more than a tenth of the requests of
// one that asks for a third of it, and the endpoints stay busy.
func TestLargeCustomerDoesNotStarveSmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		si := newSimulation(t, 6, 18)
		const capacity = 18 / 0.05
		rates := map[string]float64{"large": 10 * capacity, "small": capacity / 3}
		before := si.play(rates, time.Second, allEntries)
		si.play(rates, 2*time.Second, allEntries)
		tallies := si.play(rates, 10*time.Second, allEntries)
		t.Logf("small %.3f before limits, %.3f with them; large %.3f", before["small"].servedFraction(), tallies["small"].servedFraction(), tallies["large"].servedFraction())
		assert.Assert(t, before["small"].servedFraction() < 0.3)
		assert.Assert(t, tallies["small"].servedFraction() >= 0.9)
		served := float64(tallies["small"].served+tallies["large"].served) / 10
		assert.Assert(t, served > 0.9*capacity, "%.0f of %.0f served a second", served, capacity)
		// Limits end with the overload.
		si.play(map[string]float64{"large": capacity / 2, "small": capacity / 3}, 3*time.Second, allEntries)
		tallies = si.play(map[string]float64{"large": capacity / 2, "small": capacity / 3}, 5*time.Second, allEntries)
		assert.Assert(t, tallies["large"].servedFraction() > 0.99 && tallies["small"].servedFraction() > 0.99, "%v", tallies)
	})
}

func TestEntryWithoutHolder(t *testing.T) {
	// An entry that cannot reach the scheduler must keep limiting customers, and must not reject
	// everything.
	synctest.Test(t, func(t *testing.T) {
		si := newSimulation(t, 6, 18)
		const capacity = 18 / 0.05
		rates := map[string]float64{"large": 10 * capacity, "small": capacity / 3}
		si.play(rates, 4*time.Second, allEntries)
		si.withLock(func() { si.cut[0] = true })
		si.play(rates, 3*time.Second, allEntries)
		bound := si.entries[0].reporter.CustomerBound("large", "desk")
		t.Logf("the entry limits the large customer to %d slots by itself", bound)
		assert.Assert(t, bound >= 1 && bound <= 18)
		tallies := si.play(rates, 10*time.Second, allEntries)
		assert.Assert(t, tallies["small"].servedFraction() >= 0.9, "%v", tallies)
	})
}

func TestChangeOfHolder(t *testing.T) {
	// A new scheduler must not divide all slots among the first few entries that report to it, which
	// would overload the endpoints.
	synctest.Test(t, func(t *testing.T) {
		si := newSimulation(t, 6, 18)
		const capacity = 18 / 0.05
		rates := map[string]float64{"large": 10 * capacity, "small": capacity / 3}
		si.play(rates, 4*time.Second, allEntries)
		si.withLock(func() {
			si.epoch++
			si.newAllocator(func() map[string]float64 { return nil })
		})
		tallies := si.play(rates, 6*time.Second, allEntries)
		assert.Assert(t, tallies["small"].servedFraction() >= 0.9, "%v", tallies)
	})
}

func TestIdleEntriesSendNoReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		si := newSimulation(t, 6, 18)
		si.play(map[string]float64{"large": 100, "small": 100}, 5*time.Second, allEntries)
		assert.Equal(t, len(si.allocator.entries), 0)
		assert.Equal(t, len(si.allocator.Parts(time.Now())), 0)
	})
}
