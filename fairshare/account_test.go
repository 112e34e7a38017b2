package fairshare

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testTick = 50 * time.Millisecond

// A simulation simulates slots that customers compete for by the ranks of an account.
type simulation struct {
	account Account
	at      time.Duration
	slots   int
	runs    []simRun
	served  map[string]time.Duration // slot time
	waiting map[string]int           // waiting items
}

type simRun struct {
	customer string
	end      time.Duration
}

// tick advances by a tick and gives free slots to items of the given length.
func (si *simulation) tick(length time.Duration) {
	si.at += testTick
	si.runs = slices.DeleteFunc(si.runs, func(ru simRun) bool { return ru.end <= si.at })
	si.account.Advance(si.uses(), testTick)
	for len(si.runs) < si.slots {
		customer, ok := si.next()
		if !ok {
			break
		}
		si.waiting[customer]--
		si.runs = append(si.runs, simRun{customer: customer, end: si.at + length})
	}
	for _, ru := range si.runs {
		si.served[ru.customer] += testTick
	}
}

func (si *simulation) held(customer string) int {
	count := 0
	for _, ru := range si.runs {
		if ru.customer == customer {
			count++
		}
	}
	return count
}

func (si *simulation) uses() map[string]Usage {
	uses := map[string]Usage{}
	for customer, wants := range si.waiting {
		held := si.held(customer)
		if held+wants > 0 {
			uses[customer] = Usage{
				Places: float64(held) / float64(si.slots), Waits: wants > 0, Wants: float64(held+wants) / float64(si.slots),
			}
		}
	}
	return uses
}

// next returns the customer whose item goes next. Of equal ranks it is the one with the most
// waiting items.
func (si *simulation) next() (string, bool) {
	best := ""
	for _, customer := range slices.Sorted(maps.Keys(si.waiting)) {
		if si.waiting[customer] == 0 {
			continue
		}
		rank, bestRank := si.account.Rank(customer), si.account.Rank(best)
		if best == "" || rank < bestRank || rank == bestRank && si.waiting[customer] > si.waiting[best] {
			best = customer
		}
	}
	return best, best != ""
}

func newSimulation(slots int) *simulation {
	return &simulation{slots: slots, served: map[string]time.Duration{}, waiting: map[string]int{}}
}

// setWaiting sets the numbers of waiting items.
func (si *simulation) setWaiting(wants map[string]int) { maps.Copy(si.waiting, wants) }

func TestWaitingCustomersGetTheirWeights(t *testing.T) {
	si := newSimulation(12)
	si.account.SetWeights(map[string]float64{"half": 0.5})
	const length = 60 * time.Second
	for si.at < length {
		si.setWaiting(map[string]int{"large": 500, "small": 20, "half": 20})
		si.tick(time.Second)
	}
	total := si.served["large"] + si.served["small"] + si.served["half"]
	for customer, due := range map[string]float64{"large": 0.4, "small": 0.4, "half": 0.2} {
		got := float64(si.served[customer]) / float64(total)
		assert.Assert(t, got > due-0.03 && got < due+0.03, "%s has %.3f of %.1f", customer, got, due)
	}
}

func TestDominantShareCounts(t *testing.T) {
	// A few slots with most of the memory count as much as many slots.
	var ac Account
	uses := map[string]Usage{"long": {Places: 0.2, Memory: 0.8, Waits: true}, "short": {Places: 0.7, Memory: 0.1, Waits: true}}
	for range 20 {
		ac.Advance(uses, testTick)
	}
	assert.Assert(t, ac.Balances()["long"].Ahead > 0)
	assert.Assert(t, ac.Rank("long") >= ac.Rank("short"))
}

func TestUnusedShareIsNotCredited(t *testing.T) {
	// Guards against crediting unused time: a customer must not monopolize the engines after
	// a long absence.
	si := newSimulation(12)
	for si.at < time.Hour {
		si.setWaiting(map[string]int{"stays": 100})
		si.tick(time.Second)
	}
	clear(si.served)
	back := si.at
	for si.at < back+20*time.Second {
		si.setWaiting(map[string]int{"stays": 100, "comes": 100})
		si.tick(time.Second)
	}
	got := float64(si.served["comes"]) / float64(si.served["comes"]+si.served["stays"])
	assert.Assert(t, got > 0.42 && got < 0.58, "%.3f", got)
}

func TestLeadIsKeptDuringPause(t *testing.T) {
	// A customer must not get more than its share by pausing now and then: its usage is
	// remembered.
	var ac Account
	large, small := Usage{Places: 0.9, Waits: true, Wants: 2}, Usage{Places: 0.1, Waits: true, Wants: 2}
	for range 40 {
		ac.Advance(map[string]Usage{"large": large, "small": small}, testTick)
	}
	ac.Advance(map[string]Usage{"small": small}, testTick)
	ac.Advance(map[string]Usage{"large": small, "small": small}, testTick)
	assert.Assert(t, ac.Rank("large") > ac.Rank("small"))
}

func TestLeadShrinksWhileIdle(t *testing.T) {
	var ac Account
	for range 40 {
		ac.Advance(map[string]Usage{"large": {Places: 1, Waits: true, Wants: 2}, "small": {Waits: true, Wants: 2}}, testTick)
	}
	assert.Assert(t, ac.Balances()["large"].Ahead > 0)
	for range 10 * 20 {
		ac.Advance(map[string]Usage{}, testTick)
	}
	assert.Equal(t, len(ac.Balances()), 0)
}

func TestAccountSizeIsBounded(t *testing.T) {
	var ac Account
	uses := map[string]Usage{"behind": {Waits: true, Wants: 1}}
	for i := range 3 * maxCustomers {
		customer := fmt.Sprint("customer-", i)
		uses[customer] = Usage{Places: 0.5, Waits: true, Wants: 1}
		ac.Advance(uses, testTick)
		delete(uses, customer)
	}
	assert.Assert(t, len(ac.rows) <= maxCustomers+1, "%d", len(ac.rows))
	assert.Assert(t, len(ac.Snapshot().Ahead) <= maxSnapshotCustomers)
}

func TestRestore(t *testing.T) {
	// Guards against an account that starts with all customers equal after a change of
	// scheduler.
	var ac, next Account
	uses := map[string]Usage{"large": {Places: 0.9, Waits: true, Wants: 3}, "small": {Places: 0.1, Waits: true, Wants: 3}}
	for range 40 {
		ac.Advance(uses, testTick)
	}
	next.Restore(ac.Snapshot())
	next.Advance(uses, 0)
	assert.Equal(t, next.Rank("large"), ac.Rank("large"))
	assert.Equal(t, next.Rank("small"), ac.Rank("small"))
	next.Restore(Snapshot{Ahead: map[string]float64{"large": 1e300, "small": -1}})
	next.Advance(uses, testTick)
	assert.Assert(t, next.Balances()["large"].Ahead <= maxLag)
}

// For random loads, every waiting customer gets a slot in bounded time, no waiting customer's
// lead exceeds maxLag, and the order of two waiting customers doesn't flap.
func TestAccountProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		customers := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(rt, "customers")]
		si := newSimulation(rapid.IntRange(1, 8).Draw(rt, "places"))
		weights := map[string]float64{}
		for _, customer := range customers {
			weights[customer] = rapid.SampledFrom([]float64{0.25, 0.5, 1, 2}).Draw(rt, "weight")
		}
		si.account.SetWeights(weights)
		total := 0.0
		for _, weight := range weights {
			total += weight
		}
		length := time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks of an item")) * testTick
		waitedSince := map[string]time.Duration{}
		for range rapid.IntRange(1, 40).Draw(rt, "phases") {
			wants := map[string]int{}
			for _, customer := range customers {
				wants[customer] = rapid.SampledFrom([]int{0, 1, 3, 50}).Draw(rt, "wants")
			}
			turns := map[string]int{}
			first := ""
			const ticks = 40
			for range ticks {
				si.setWaiting(wants)
				before := maps.Clone(si.served)
				si.tick(length)
				for _, customer := range customers {
					if wants[customer] == 0 || si.held(customer) > 0 || si.served[customer] > before[customer] {
						waitedSince[customer] = si.at
					}
					// The time for the others to use their leads, and for running items to end.
					bound := time.Duration((maxLag+chargeAhead+1)*total/weights[customer]*float64(time.Second)) + 4*length
					if waited := si.at - waitedSince[customer]; waited > bound {
						rt.Fatalf("%s waited for %s", customer, waited)
					}
				}
				if now := si.order(customers[0], customers[1]); now != "" && now != first {
					turns[now]++
					first = now
				}
			}
			// The order may change only as fast as slots are served.
			if wants[customers[0]] > 8 && wants[customers[1]] > 8 && turns[customers[0]]+turns[customers[1]] > 2+ticks/4 {
				rt.Fatalf("order turned %v times in %d ticks", turns, ticks)
			}
			for customer, st := range si.account.Balances() {
				if st.Ahead > maxLag+1e-6 && st.Use.Waits {
					rt.Fatalf("%s is %f ahead", customer, st.Ahead)
				}
			}
		}
	})
}

// order returns which of two customers goes first, or "".
func (si *simulation) order(a, b string) string {
	switch ra, rb := si.account.Rank(a), si.account.Rank(b); {
	case ra < rb:
		return a
	case rb < ra:
		return b
	default:
		return ""
	}
}
