package step

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/overload"
	"wisteriacroft/runner"
)

// A simCustomer is a customer of a replay.
type simCustomer struct {
	away     func(at time.Duration) bool // reports whether it is inactive; nil means never
	name     string
	trainers int
}

// replayCustomers replays customers that share engines, and returns by customer the fraction of
// requested groups in time. The function each is called at every tick and may be nil.
func replayCustomers(engines int, customers []simCustomer, seed uint64, each func(re *replay, at time.Duration)) map[string]float64 {
	var trainers []*simTrainer
	away := map[*simTrainer]func(at time.Duration) bool{}
	for _, cu := range customers {
		for i := range cu.trainers {
			tr := newTrainer(smallDeployment, fmt.Sprintf("%s-%d", cu.name, i), 10, 4, 500*time.Millisecond, seed+uint64(10*len(trainers)))
			tr.customer, away[tr] = cu.name, cu.away
			trainers = append(trainers, tr)
		}
	}
	re := newReplay(smallDeployment, factors(engines), trainers)
	re.run(replayTime, func(at time.Duration) {
		for _, tr := range trainers {
			if stays := away[tr]; stays != nil && stays(at) {
				tr.start = re.now.Add(simTick - time.Duration(tr.next)*tr.every)
			}
		}
		if each != nil {
			each(re, at)
		}
	})
	got, requested := map[string]float64{}, map[string]float64{}
	for _, tr := range trainers {
		got[tr.customer] += float64(tr.inTime)
		requested[tr.customer] += float64(max(int(replayTime/tr.every)*tr.target, 1))
	}
	for customer := range got {
		got[customer] /= requested[customer]
	}
	return got
}

// meanFraction returns a customer's mean fraction of groups in time over that many seeds.
func meanFraction(customer string, seeds uint64, play func(seed uint64) map[string]float64) float64 {
	var wg sync.WaitGroup
	fractions := make([]float64, seeds)
	for seed := range seeds {
		wg.Go(func() { fractions[seed] = play(seed)[customer] })
	}
	wg.Wait()
	total := 0.0
	for _, fraction := range fractions {
		total += fraction
	}
	return total / float64(seeds)
}

// A customer at ten times its share may reduce the other's groups in time by at most a tenth.
func TestCustomerAtTenTimesItsShare(t *testing.T) {
	const seeds = 24
	beside, before := 0.0, 0.0
	for _, engines := range []int{10, 15} {
		play := func(trainers int) float64 {
			return meanFraction("small", seeds, func(seed uint64) map[string]float64 {
				return replayCustomers(engines, []simCustomer{{name: "small", trainers: 1}, {name: "large", trainers: trainers}}, seed, nil)
			})
		}
		one, ten := play(1), play(10)
		t.Logf("%d engines: small %.3f beside one within its share, %.3f beside one at ten times", engines, one, ten)
		before, beside = before+one, beside+ten
	}
	assert.Assert(t, beside >= 0.9*before)
}

// Many small customers within their shares beside a large one: none gets less than a quarter
// of the mean.
func TestManySmallCustomersBesideALargeOne(t *testing.T) {
	customers := []simCustomer{{name: "large", trainers: 12}}
	for i := range 6 {
		customers = append(customers, simCustomer{name: fmt.Sprintf("small-%d", i), trainers: 1})
	}
	for seed := range uint64(3) {
		got := replayCustomers(16, customers, seed, nil)
		mean, small := 0.0, 0.0
		for customer, fraction := range got {
			mean += fraction / float64(len(got))
			if customer != "large" {
				small += fraction / float64(len(got)-1)
			}
		}
		t.Log(got)
		assert.Assert(t, small > got["large"])
		for _, cu := range customers[1:] {
			assert.Assert(t, got[cu.name] >= mean/4, "%s has %.3f of a mean of %.3f", cu.name, got[cu.name], mean)
		}
	}
}

// A customer that returns after inactivity gets as much as one that stayed, not everything.
func TestCustomerThatComesBack(t *testing.T) {
	gone := func(at time.Duration) bool { return at < replayTime/2 }
	for seed := range uint64(3) {
		held := map[string]int{}
		replayCustomers(6, []simCustomer{{name: "stays", trainers: 6}, {name: "returns", trainers: 6, away: gone}}, seed, func(re *replay, at time.Duration) {
			if at < replayTime/2+2*time.Second {
				return
			}
			for _, en := range re.table.sortedEngines {
				for _, ir := range en.items {
					held[ir.step.step.Customer]++
				}
			}
		})
		fraction := float64(held["returns"]) / float64(held["returns"]+held["stays"])
		t.Logf("has %.3f of the slots after its return", fraction)
		assert.Assert(t, fraction > 0.35 && fraction < 0.65)
	}
}

// largeCustomerAhead returns a table on which a large customer has held all slots for two seconds while a
// small one waited, and the time at the end of it.
func largeCustomerAhead(t *testing.T) (ta *Table, end time.Time) {
	t.Helper()
	ta = tableOf(t, 1, "a")
	for _, customer := range []string{"large", "small"} {
		st := stepOf(customer, 8)
		st.Customer = customer
		ta.Accept(st, StoredStep{}, false, begin)
	}
	ta.Place(begin)
	end = begin.Add(2 * time.Second)
	for now := begin; !now.After(end); now = now.Add(tickInterval) {
		ta.ChargeUsage(now)
	}
	return ta, end
}

func TestNewSchedulerKeepsUsageAccounts(t *testing.T) {
	// Guards against losing the customers' usage accounts when another scheduler takes over.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var me keyvalue.Memory
		sc := schedulerOf(me.Client())
		ta, end := largeCustomerAhead(t)
		for _, sr := range ta.openSteps {
			assert.NilError(t, sc.Keeper.Accept(ctx, sr.step))
		}
		done, err := sc.Keeper.Write(ctx, keyvalue.Expectation{Key: "lease"}, WriteSet{Account: ta.usage.dueAccount(end)})
		assert.NilError(t, err)
		assert.Assert(t, done)

		te := &term{table: tableOf(t, 2, "a")}
		sc.term = te
		go sc.follow(ctx, te)
		synctest.Wait()
		sc.mu.Lock()
		te.table.ChargeUsage(begin)
		te.table.Place(begin)
		assert.Equal(t, len(te.table.engines["a"].items), 2)
		for _, ir := range te.table.engines["a"].items {
			assert.Equal(t, ir.step.step.Customer, "small")
		}
		sc.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

func TestCorruptAccountIsReset(t *testing.T) {
	// An account that can't be decoded must not keep a scheduler from reading the steps.
	var me keyvalue.Memory
	sc := schedulerOf(me.Client())
	_, err := me.Client().Put(t.Context(), accountKey, []byte{0xff, 1}, 0, 0)
	assert.NilError(t, err)
	te := &term{table: tableOf(t, 2, "a")}
	assert.NilError(t, sc.restoreAccount(t.Context(), te, []*Step{{Customer: "ada"}}))
	assert.Equal(t, len(te.table.Balances()), 0)
}

func TestAccountIsWrittenWithOtherWritesOnly(t *testing.T) {
	ta, end := largeCustomerAhead(t)
	assert.Assert(t, ta.NextWrites(end).empty())
	end = end.Add(2 * checkpointInterval)
	for item := range 2 {
		engine, key := keyOf(t, ta, "large", item)
		respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 25, 1), Key: key}}}, end)
	}
	up := ta.NextWrites(end)
	assert.Assert(t, len(up.Checkpoints) > 0 && len(up.Account) > 0)
	tx, err := up.transaction(keyvalue.Expectation{Key: "fence"})
	assert.NilError(t, err)
	assert.Equal(t, tx.Writes[len(tx.Writes)-1].Key, accountKey)
	ta.WritesApplied(up, end)
	assert.Equal(t, len(ta.usage.dueAccount(end.Add(accountInterval))), 0, "unchanged, it is not written again")
}

func TestOneCustomerHasNoRank(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 4), StoredStep{}, false, begin)
	ta.ChargeUsage(begin)
	assert.Equal(t, len(ta.customerRanks(ta.waitingCustomers())), 0)
	for range 40 {
		ta.ChargeUsage(begin)
	}
	assert.Equal(t, len(ta.usage.dueAccount(begin.Add(time.Hour))), 0)
}

// Six customers on 1,100 full engines, each with thousands of waiting items.
func BenchmarkShare(b *testing.B) {
	ta := NewTable(1, nil)
	var infos []EngineInfo
	for i := range 1100 {
		infos = append(infos, EngineInfo{ID: fmt.Sprintf("engine-%04d", i), Service: "service", Slots: 8, Tokens: 40000})
	}
	ta.SetEngines(infos, begin)
	for _, en := range ta.sortedEngines {
		respond(ta, en.id, runner.ExchangeResponse{}, begin)
	}
	for i := range 6 {
		sizes := make([]int, 180)
		for j := range sizes {
			sizes[j] = 16
		}
		st := stepOf(fmt.Sprint("step-", i), sizes...)
		st.Customer = fmt.Sprint("customer-", i)
		ta.Accept(st, StoredStep{}, false, begin)
	}
	ta.Place(begin)
	now := begin
	for b.Loop() {
		now = now.Add(tickInterval)
		ta.ChargeUsage(now)
	}
}

// Under overload, a customer within its share goes first. A lead of less than one step's
// work doesn't change the order of the others.
func TestRanksUnderOverload(t *testing.T) {
	sp := NewTable(1, nil).servicePlan("service")
	sp.withinShare = map[string]bool{"small": true}
	ranks := map[string]int{"large": ranksPerStep - 1, "other": 0, "small": 3, "far ahead": ranksPerStep}
	assert.DeepEqual(t, sp.adaptRanks(ranks), ranks) // no overload yet
	step := &overload.Step{Due: time.Second, Groups: []*overload.Group{{Work: time.Minute}}, Wanted: 1}
	sp.planner.Plan([]*overload.Step{step}, 1, begin)
	assert.DeepEqual(t, sp.adaptRanks(ranks), map[string]int{"large": 1, "other": 1, "far ahead": 2})
}
