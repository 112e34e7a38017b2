package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLoad(t *testing.T) {
	// Ten slots per endpoint at 80% utilization.
	for name, tc := range map[string]struct {
		load Load
		want int
	}{
		"no load":                     {Load{}, 0},
		"two endpoints at target":     {Load{Begun: 160, Used: 16}, 2},
		"slightly above target":       {Load{Begun: 165, Used: 16.5}, 3},
		"some rejected":               {Load{Begun: 160, Refused: 80, Used: 16}, 3},
		"many retries":                {Load{Begun: 160, Refused: 9999, Used: 16}, 4},
		"some waiting":                {Load{Begun: 160, Used: 16, Waiting: 160}, 3},
		"all rejected":                {Load{Refused: 100}, 2},
		"long streams":                {Load{Used: 30}, 4},
		"long streams, some rejected": {Load{Refused: 1, Used: 30}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			se := serviceOf(1, 1)
			se.Work = tc.load.Work(se.Places)
			assert.Equal(t, se.Desired(), tc.want)
		})
	}
}

// A plainSimulation simulates the entries of a plain service whose requests take 100 ms. New
// endpoints serve after their startup time; removed ones stop at once. Rejected requests are
// retried five times a second.
type plainSimulation struct {
	loads   LoadAggregator
	cutOff  func(entry int, at time.Duration) bool // whether an entry is cut off from the holder
	entries int
	load    func(at time.Duration) float64 // mean demand in slots
	orders  []int                          // total target after each change
	change  time.Duration                  // when the holder changes; 0 means never
	span    time.Duration
	missing float64 // missing capacity, in slot seconds
	serving int
	targets map[string]int
	table   Table
}

// run runs the simulation with a number of endpoints at the start.
func (ps *plainSimulation) run(t *testing.T, start int) {
	t.Helper()
	type launch struct {
		at    time.Duration
		count int
	}
	ps.serving, ps.targets = start, map[string]int{"a": start / 2, "b": start - start/2}
	var launches []launch
	rng := rand.New(rand.NewPCG(1, 2))
	ps.loads.Begin(0, begin)
	for at := time.Duration(0); at < ps.span; at += second / 2 {
		now := begin.Add(at)
		for len(launches) > 0 && launches[0].at <= at {
			ps.serving, launches = ps.serving+launches[0].count, launches[1:]
		}
		if ps.change > 0 && at == ps.change {
			ps.replaceHolder(now)
		}
		demand := ps.load(at)
		used := min(demand, float64(ps.serving*10))
		ps.missing += (demand - used) / 2
		for entry := range ps.entries {
			if ps.cutOff != nil && ps.cutOff(entry, at) {
				continue
			}
			part := (0.9 + 0.2*rng.Float64()) / float64(ps.entries)
			ps.loads.Report(fmt.Sprint("entry-", entry), map[string]Observation{"desk": {
				Begun: int(math.Round(used * part * 10 / 2)), Busy: time.Duration(used * part * float64(second) / 2),
				Refused: int(math.Round((demand - used) * part * 10 * 5 / 2)), Span: second / 2,
			}}, now)
		}
		changed := ps.decide(now)
		if changed > 0 {
			launches = append(launches, launch{at: at + 3*second, count: changed})
		}
		ps.serving += min(changed, 0)
	}
}

// decide computes orders once, and returns the change of the total target.
func (ps *plainSimulation) decide(now time.Time) int {
	loads, known := ps.loads.Loads(now)
	se := serviceOf(ps.serving/2, ps.serving-ps.serving/2)
	se.Name, se.Slack, se.Unknown, se.Work = "desk", PlainSlack, !known, loads["desk"].Work(se.Places)
	changed := 0
	for _, or := range ps.table.Decide([]Service{se}, now) {
		changed += or.Target - ps.targets[or.Domain]
		ps.targets[or.Domain] = or.Target
	}
	if changed != 0 {
		ps.orders = append(ps.orders, ps.targets["a"]+ps.targets["b"])
	}
	return changed
}

// replaceHolder replaces the holder by one that has only the saved state.
func (ps *plainSimulation) replaceHolder(now time.Time) {
	count := ps.loads.EntryCount(now)
	ps.loads = LoadAggregator{}
	ps.loads.Begin(count, now)
	targets := map[Subject]int{}
	for domain, target := range ps.targets {
		targets[Subject{Domain: domain, Service: "desk"}] = target
	}
	ps.table = Table{}
	ps.table.Adopt(targets)
}

// Demand triples within half a minute, stays, and falls.
func TestPlainRamp(t *testing.T) {
	ps := &plainSimulation{entries: 6, span: 100 * second, load: func(at time.Duration) float64 {
		switch s := at.Seconds(); {
		case s < 30:
			return 15 + s
		case s < 60:
			return 45
		default:
			return max(15, 45-(s-60)*2)
		}
	}}
	ps.run(t, 2)
	top := 0
	for i, count := range ps.orders {
		if count < top {
			for j := i + 1; j < len(ps.orders); j++ {
				assert.Assert(t, ps.orders[j] < ps.orders[j-1], "one rise and one fall: %v", ps.orders)
			}
			break
		}
		top = count
	}
	assert.Assert(t, top >= 6 && top <= 7, "%v", ps.orders)
	assert.Assert(t, ps.orders[len(ps.orders)-1] <= 4, "%v", ps.orders)
	assert.Assert(t, ps.missing < 5, "%v slot seconds", ps.missing)
}

// Guards against scaling up too far after a burst of demand, as retries of rejected requests inflate
// it.
func TestPlainBurst(t *testing.T) {
	ps := &plainSimulation{entries: 6, span: 60 * second, load: func(at time.Duration) float64 {
		if at < 10*second {
			return 10
		}
		return 60
	}}
	ps.run(t, 2)
	last := ps.orders[len(ps.orders)-1]
	assert.Assert(t, last == 8 || last == 9, "%v", ps.orders)
	for _, count := range ps.orders {
		assert.Assert(t, count <= 10, "%v", ps.orders)
	}
	assert.Assert(t, len(ps.orders) <= 4, "%v", ps.orders)
}

// Guards against flapping if the demand oscillates around the capacity of two endpoints.
func TestPlainOscillatingDemand(t *testing.T) {
	for _, period := range []float64{2, 3, 5, 8} {
		ps := &plainSimulation{entries: 6, span: 120 * second, load: func(at time.Duration) float64 {
			return 16 + 4*math.Sin(2*math.Pi*at.Seconds()/period)
		}}
		ps.run(t, 2)
		assert.Assert(t, len(ps.orders) <= 1, "%v s: %v", period, ps.orders)
	}
}

// Guards against scaling down because entries are cut off from the holder while they still serve
// callers.
func TestSilentEntries(t *testing.T) {
	for name, tc := range map[string]struct {
		change time.Duration // of the holder, during the partition
		cut    int
	}{
		"half":             {cut: 3},
		"all":              {cut: 6},
		"one":              {cut: 1},
		"half, new holder": {cut: 3, change: 40 * second},
		"none, new holder": {change: 40 * second},
	} {
		t.Run(name, func(t *testing.T) {
			ps := &plainSimulation{
				entries: 6, change: tc.change, span: 100 * second, load: func(time.Duration) float64 { return 44 },
				cutOff: func(entry int, at time.Duration) bool { return entry < tc.cut && at >= 30*second && at < 70*second },
			}
			ps.run(t, 6)
			assert.Equal(t, len(ps.orders), 0, "%v", ps.orders)
		})
	}
}

// Entries are removed while the holder changes. After entryTTL the new holder must scale by the
// load of the others.
func TestRemovedEntries(t *testing.T) {
	ps := &plainSimulation{
		entries: 6, change: 30 * second, span: 130 * second,
		cutOff: func(entry int, at time.Duration) bool { return entry < 3 && at >= 30*second },
		load: func(at time.Duration) float64 {
			if at < 30*second {
				return 44
			}
			return 20
		},
	}
	ps.run(t, 6)
	assert.Assert(t, len(ps.orders) > 0, "%v", ps.orders)
	assert.Equal(t, ps.orders[len(ps.orders)-1], 2, "%v", ps.orders) // the remaining entries report half of the load
}

func TestLoadAggregator(t *testing.T) {
	var la LoadAggregator
	known := func(at time.Duration) bool {
		_, ok := la.Loads(begin.Add(at))
		return ok
	}
	reportFrom := func(at time.Duration, count int) {
		for entry := range count {
			la.Report(fmt.Sprint(entry), map[string]Observation{"desk": {Begun: 1, Span: second}}, begin.Add(at))
		}
	}
	assert.Assert(t, !known(0), "no reports")
	la.Begin(4, begin)
	reportFrom(0, 4)
	assert.Assert(t, !known(second), "too early in the term")
	reportFrom(2*second, 4)
	assert.Assert(t, known(2*second))
	reportFrom(4*second, 3)
	assert.Assert(t, known(4*second), "three of four")
	reportFrom(6*second, 2)
	assert.Assert(t, !known(6*second), "two of four")
	loads, _ := la.Loads(begin.Add(6 * second))
	assert.Equal(t, loads["desk"].Begun, 4.0, "silent entries count with their last report")
	reportFrom(70*second, 2)
	assert.Assert(t, known(70*second), "the others have expired")
	assert.Equal(t, la.EntryCount(begin.Add(70*second)), 2)
}
