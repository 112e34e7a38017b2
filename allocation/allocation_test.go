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

// A desk is a service whose endpoints have places and queues, before which
// entries stand.
type desk struct {
	cut     map[int]bool // entries that can't reach the holder
	entries []*deskEntry
	epoch   uint64
	held    bool
	holder  *Allocator
	mu      sync.Mutex  // guards all: entries tell while others ask
	ends    []time.Time // of the requests that endpoints have
	places  int
	rng     *rand.Rand
}

type deskEntry struct {
	demands map[string]fairshare.Demand
	ends    map[string][]time.Time
	short   bool
	teller  *DemandReporter
}

// A score counts a customer's requests.
type score struct{ asked, served int }

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}

func newDesk(t *testing.T, entries, places int) *desk {
	t.Helper()
	de := &desk{cut: map[int]bool{}, epoch: 1, held: true, places: places, rng: rand.New(rand.NewPCG(1, 2))}
	weights := func() map[string]float64 { return nil }
	de.newHolder(weights)
	for i := range entries {
		en := &deskEntry{demands: map[string]fairshare.Demand{}, ends: map[string][]time.Time{}}
		en.teller = &DemandReporter{
			CallFunc: func(_ context.Context, rq DemandRequest) (DemandResponse, error) {
				de.mu.Lock()
				defer de.mu.Unlock()
				if de.cut[i] {
					return DemandResponse{}, context.DeadlineExceeded
				}
				return de.holder.tell(rq, time.Now())
			},
			DemandsFunc: de.take(en), Log: quiet(), Metrics: metrics.NewSet(), WeightsFunc: weights,
		}
		de.entries = append(de.entries, en)
		go en.teller.Run(t.Context())
	}
	return de
}

func (de *desk) newHolder(weights func() map[string]float64) {
	de.holder = &Allocator{
		Log: quiet(), Metrics: metrics.NewSet(), StandingFunc: func(time.Time) (uint64, bool) { return de.epoch, de.held },
		WeightsFunc: weights,
	}
}

// take returns what an entry has seen, as a forwarder does.
func (de *desk) take(en *deskEntry) func(time.Time, time.Duration) map[string]fairshare.ServiceDemand {
	return func(time.Time, time.Duration) map[string]fairshare.ServiceDemand {
		de.mu.Lock()
		defer de.mu.Unlock()
		sd := fairshare.ServiceDemand{Customers: en.demands, Places: de.places, Short: en.short}
		en.demands, en.short = map[string]fairshare.Demand{}, false
		return map[string]fairshare.ServiceDemand{"desk": sd}
	}
}

// What a request takes, and how many may wait for each place.
const (
	deskQueue = 2
	deskTick  = 5 * time.Millisecond
	deskWork  = 50 * time.Millisecond
)

// ask makes a customer's request at an entry, and reports whether it was served.
func (de *desk) ask(entry int, customer string) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	en, now := de.entries[entry], time.Now()
	running := expire(en.ends[customer], now)
	dem := en.demands[customer]
	dem.Asked++
	bound := en.teller.CustomerBound(customer, "desk")
	if bound >= 0 && len(running) >= bound {
		dem.Refused++
		dem.Met += len(running)
		en.demands[customer], en.ends[customer] = dem, running
		return false
	}
	dem.Met += len(running) + 1
	en.demands[customer] = dem
	de.ends = expire(de.ends, now)
	if len(de.ends) >= (1+deskQueue)*de.places {
		en.short = true
		return false
	}
	begun := now
	if len(de.ends) >= de.places {
		begun = de.ends[len(de.ends)-de.places]
	}
	end := begun.Add(deskWork)
	de.ends = append(de.ends, end)
	en.ends[customer] = append(running, end)
	return true
}

// change brings a failure about.
func (de *desk) change(what func()) {
	de.mu.Lock()
	defer de.mu.Unlock()
	what()
}

func expire(ends []time.Time, now time.Time) []time.Time {
	for len(ends) > 0 && !ends[0].After(now) {
		ends = ends[1:]
	}
	return ends
}

// play lets customers ask at a rate each second, at entries by chance, for a time.
func (de *desk) play(rates map[string]float64, length time.Duration, entries []int) map[string]score {
	scores := map[string]score{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(deskTick) {
		var calls []string
		for _, customer := range []string{"large", "small"} {
			mean := rates[customer] * deskTick.Seconds()
			for range int(mean) {
				calls = append(calls, customer)
			}
			if de.rng.Float64() < mean-float64(int(mean)) {
				calls = append(calls, customer)
			}
		}
		de.rng.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
		for _, customer := range calls {
			sc := scores[customer]
			sc.asked++
			if de.ask(entries[de.rng.IntN(len(entries))], customer) {
				sc.served++
			}
			scores[customer] = sc
		}
	}
	return scores
}

func (sc score) part() float64 { return float64(sc.served) / float64(max(sc.asked, 1)) }

var allEntries = []int{0, 1, 2, 3, 4, 5}

// Load pattern: one customer's callers ask for ten times what all endpoints serve, another
// for a third of it. The other one loses a tenth at most, and the endpoints stay busy.
func TestCustomerAtTenTimesBesideASmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		de := newDesk(t, 6, 18)
		const capacity = 18 / 0.05
		rates := map[string]float64{"large": 10 * capacity, "small": capacity / 3}
		before := de.play(rates, time.Second, allEntries)
		de.play(rates, 2*time.Second, allEntries)
		scores := de.play(rates, 10*time.Second, allEntries)
		t.Logf("small %.3f before bounds, %.3f with them; large %.3f", before["small"].part(), scores["small"].part(), scores["large"].part())
		assert.Assert(t, before["small"].part() < 0.3)
		assert.Assert(t, scores["small"].part() >= 0.9)
		served := float64(scores["small"].served+scores["large"].served) / 10
		assert.Assert(t, served > 0.9*capacity, "%.0f of %.0f served a second", served, capacity)
		// Gone, the load leaves no bound behind.
		de.play(map[string]float64{"large": capacity / 2, "small": capacity / 3}, 3*time.Second, allEntries)
		scores = de.play(map[string]float64{"large": capacity / 2, "small": capacity / 3}, 5*time.Second, allEntries)
		assert.Assert(t, scores["large"].part() > 0.99 && scores["small"].part() > 0.99, "%v", scores)
	})
}

func TestEntryThatIsCutOff(t *testing.T) {
	// Symptom: callers of an entry that can't reach the scheduler are all refused, or
	// flood the endpoints past all others.
	// Sequence: a customer asks for ten times what there is; one entry is cut off.
	// Cause: without word of the scheduler the entry had no bound, or one of none.
	synctest.Test(t, func(t *testing.T) {
		de := newDesk(t, 6, 18)
		const capacity = 18 / 0.05
		rates := map[string]float64{"large": 10 * capacity, "small": capacity / 3}
		de.play(rates, 4*time.Second, allEntries)
		de.change(func() { de.cut[0] = true })
		de.play(rates, 3*time.Second, allEntries)
		bound := de.entries[0].teller.CustomerBound("large", "desk")
		t.Logf("the entry gives the large customer %d places by itself", bound)
		assert.Assert(t, bound >= 1 && bound <= 18)
		scores := de.play(rates, 10*time.Second, allEntries)
		assert.Assert(t, scores["small"].part() >= 0.9, "%v", scores)
	})
}

func TestChangeOfHolder(t *testing.T) {
	// Symptom: after a change of scheduler the endpoints are flooded.
	// Sequence: bounds are in force; a new scheduler hears of one entry first.
	// Cause: all places were divided among the few entries that it had heard of.
	synctest.Test(t, func(t *testing.T) {
		de := newDesk(t, 6, 18)
		const capacity = 18 / 0.05
		rates := map[string]float64{"large": 10 * capacity, "small": capacity / 3}
		de.play(rates, 4*time.Second, allEntries)
		de.change(func() {
			de.epoch++
			de.newHolder(func() map[string]float64 { return nil })
		})
		scores := de.play(rates, 6*time.Second, allEntries)
		assert.Assert(t, scores["small"].part() >= 0.9, "%v", scores)
	})
}

func TestIdleEntriesTellNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		de := newDesk(t, 6, 18)
		de.play(map[string]float64{"large": 100, "small": 100}, 5*time.Second, allEntries)
		assert.Equal(t, len(de.holder.entries), 0)
		assert.Equal(t, len(de.holder.Parts(time.Now())), 0)
	})
}
