package step

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// A pattern is a workload and the engine failures during it.
type pattern struct {
	name       string
	factors    []float64 // time per event of each engine, relative to the usual
	groups     int
	size       int
	trainers   int // 0 means one
	deployment simDeployment
	training   time.Duration // training time between steps; 0 means half a second
	short      int           // groups of an additional trainer with short items
	wide       int           // groups, of 16 items each, of another additional trainer
	each       func(re *replay, at time.Duration)
}

// mixedFactors returns the factors of engines of which every third is 1.3 times slower.
func mixedFactors(count int) []float64 {
	fas := factors(count)
	for i := 2; i < count; i += 3 {
		fas[i] = 1.3
	}
	return fas
}

// newReplay returns a replay of the pattern. Each trainer has its own model.
func (pa *pattern) newReplay(seed uint64) *replay {
	var trainers []*simTrainer
	if pa.short > 0 {
		trainers = append(trainers, newTrainer(shortDeployment, "short", pa.short, 16, 500*time.Millisecond, seed+50))
	}
	for i := range max(pa.trainers, 1) {
		trainers = append(trainers, newTrainer(pa.deployment, fmt.Sprintf("model-%d", i), pa.groups, pa.size, max(pa.training, 500*time.Millisecond), seed+uint64(100*i)))
	}
	if pa.wide > 0 {
		trainers = append(trainers, newTrainer(pa.deployment, "wide", pa.wide, 16, 500*time.Millisecond, seed+70))
	}
	return newReplay(pa.deployment, pa.factors, trainers)
}

// thirdSlower returns the factors of engines of which the last third is 1.27 times slower.
func thirdSlower(count int) []float64 {
	fas := factors(count)
	for i := range fas {
		fas[i] = 1.06
		if i >= count*2/3 {
			fas[i] = 1.35
		}
	}
	return fas
}

// factors returns the factors of engines of equal speed.
func factors(count int) []float64 {
	fas := make([]float64, count)
	for i := range fas {
		fas[i] = 1
	}
	return fas
}

// A policy selects how items are placed in a replay.
type policy string

// Placement policies.
const (
	baseline policy = "baseline" // the engine with the most free slots, without moves
	chosen   policy = "chosen"   // the production policy
	known    policy = "known"    // the production policy with exact item lengths and engine speeds
)

// patterns returns the workloads that placement is tested with.
func patterns() []pattern {
	even := factors(12)
	mixed := mixedFactors(11)
	return []pattern{
		{name: "engines of one pace", factors: even, groups: 26, size: 8, deployment: smallDeployment},
		{name: "a third of the engines 1.3 times slower", factors: mixed, groups: 45, size: 4, deployment: smallDeployment},
		{
			name: "two engines turn 3 times slower for 8 s", factors: mixed, groups: 45, size: 4, deployment: smallDeployment,
			each: func(re *replay, at time.Duration) {
				for _, se := range re.engines[:2] {
					se.factor = 1
					if at > 6*time.Second && at < 14*time.Second {
						se.factor = 3
					}
				}
			},
		},
		{
			name: "two engines fall silent for 5 s", factors: even, groups: 26, size: 8, deployment: smallDeployment,
			each: func(re *replay, at time.Duration) {
				for _, se := range re.engines[:2] {
					se.dead = at > 6*time.Second && at < 11*time.Second
				}
			},
		},
		{name: "long and short items before 62 engines", factors: factors(62), groups: 38, size: 8, short: 22, deployment: largeDeployment},
		{
			name: "long and short items, a fifth turn 4 times slower", factors: factors(62), groups: 38, size: 8, short: 22, deployment: largeDeployment,
			each: func(re *replay, at time.Duration) {
				for _, se := range re.engines[:12] {
					se.factor = 1
					if at > 5*time.Second && at < 13*time.Second {
						se.factor = 4
					}
				}
			},
		},
		{name: "four trainers share 46 engines", factors: factors(46), groups: 9, size: 16, trainers: 4, training: time.Second, deployment: grownDeployment},
		{
			name: "four trainers, little memory, slow engines", factors: mixedFactors(50), groups: 22, size: 8, trainers: 4,
			deployment: tightDeployment,
		},
		{
			name: "four trainers, a third of the engines slower", factors: thirdSlower(38), groups: 22, size: 8, trainers: 2,
			short: 12, wide: 12, deployment: mixedDeployment,
		},
		{
			name: "four trainers, nine engines turn 3.6 times slower", factors: factors(46), groups: 9, size: 16, trainers: 4,
			training: time.Second, deployment: grownDeployment,
			each: func(re *replay, at time.Duration) {
				for _, se := range re.engines[:9] {
					se.factor = 1
					if at > 5*time.Second && at < 13*time.Second {
						se.factor = 3.6
					}
				}
			},
		},
	}
}

// replayTime is the simulated time of a replay: eight scheduled steps and the run time of the last one.
const replayTime = 36 * time.Second

// seeds is the number of random seeds that each workload is replayed with.
var seeds = flag.Int("load-seeds", 4, "seeds of each load that is replayed")

// An outcome holds the results of a workload under a policy.
type outcome struct {
	started, scheduled int // steps started, and steps planned
	inTime, wanted     int // groups completed in time, and groups wanted
	took, tails        []time.Duration
}

// run replays the pattern with one seed.
func (pa *pattern) run(seed uint64, po policy) outcome {
	re := pa.newReplay(seed)
	re.exactPaces = po == known
	for _, tr := range re.trainers {
		tr.exact = po == known
	}
	if po == baseline {
		re.baseline = true
		re.table.scoreFunc = func(en *engineRow, _ *itemRow, _ time.Time) float64 { return float64(en.freeSlots()) }
	}
	re.run(replayTime, func(at time.Duration) {
		if pa.each != nil {
			pa.each(re, at)
		}
	})
	var oc outcome
	for _, tr := range re.trainers {
		steps := int(replayTime / tr.every)
		oc.took = append(oc.took, tr.took...)
		oc.tails = append(oc.tails, tr.tails...)
		oc.inTime += tr.inTime
		oc.wanted += steps * tr.target
		oc.started += tr.next
		oc.scheduled += steps
	}
	return oc
}

// runAll replays the pattern with all seeds and returns its line of the golden table.
func (pa *pattern) runAll(po policy) string {
	outcomes := make([]outcome, *seeds)
	var wg sync.WaitGroup
	for seed := range outcomes {
		wg.Go(func() { outcomes[seed] = pa.run(uint64(seed), po) })
	}
	wg.Wait()
	var all outcome
	for _, oc := range outcomes {
		all.started += oc.started
		all.scheduled += oc.scheduled
		all.inTime += oc.inTime
		all.wanted += oc.wanted
		all.took = append(all.took, oc.took...)
		all.tails = append(all.tails, oc.tails...)
	}
	return fmt.Sprintf("%-50s %-9s %8.3f %7.3f %7d %7.2fs %7.2fs\n", pa.name, po, float64(all.inTime)/float64(all.wanted),
		float64(all.started)/float64(all.scheduled), len(all.took), mean(all.took).Seconds(), mean(all.tails).Seconds())
}

// TestLoad replays peak workloads and compares the results of the production policy, of a baseline, and of an upper
// bound with the golden table.
func TestLoad(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-50s %-9s %8s %7s %7s %8s %8s\n", "load", "policy", "in-time", "asked", "steps", "mean", "tail")
	for _, pa := range patterns() {
		for _, po := range []policy{baseline, chosen, known} {
			out.WriteString(pa.runAll(po))
		}
	}
	if *seeds != 4 {
		t.Log("\n" + out.String())
		return
	}
	golden.Assert(t, out.String(), "load.golden")
}
