package step

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// A pattern is a load and what befalls it.
type pattern struct {
	name    string
	factors []float64 // of the engines' pace
	groups  int
	size    int
	each    func(re *replay, at time.Duration)
}

// patterns are the loads that placing was made for.
func patterns() []pattern {
	even := make([]float64, 12)
	for i := range even {
		even[i] = 1
	}
	mixed := []float64{1, 1, 1.3, 1, 1, 1.3, 1, 1, 1.3, 1, 1}
	return []pattern{
		{name: "engines of one pace", factors: even, groups: 26, size: 8},
		{name: "a third of the engines 1.3 times slower", factors: mixed, groups: 45, size: 4},
		{
			name: "two engines turn 3 times slower for 8 s", factors: mixed, groups: 45, size: 4,
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
			name: "two engines fall silent for 5 s", factors: even, groups: 26, size: 8,
			each: func(re *replay, at time.Duration) {
				for _, se := range re.engines[:2] {
					se.dead = at > 6*time.Second && at < 11*time.Second
				}
			},
		},
	}
}

// TestLoad replays loads at their worst, and holds what the policy makes of
// them against a baseline: the freest engine takes an item, and keeps it.
func TestLoad(t *testing.T) {
	const seeds = 4
	var out strings.Builder
	fmt.Fprintf(&out, "%-42s %-9s %8s %7s %8s\n", "load", "policy", "in-time", "steps", "mean")
	for _, pa := range patterns() {
		for _, baseline := range []bool{true, false} {
			var took []time.Duration
			inTime, asked := 0, 0
			for seed := range uint64(seeds) {
				re := newReplay(pa.factors)
				re.trainer = newTrainer(pa.groups, pa.size, seed)
				if baseline {
					re.baseline = true
					re.table.rank = func(en *engineRow, _ *itemRow, _ time.Time) float64 { return float64(en.free()) }
				}
				re.play(34*time.Second, func(at time.Duration) {
					if pa.each != nil {
						pa.each(re, at)
					}
				})
				took = append(took, re.trainer.took...)
				inTime += re.trainer.inTime
				asked += 9 * re.trainer.target // a step each 4 s
			}
			name := "chosen"
			if baseline {
				name = "baseline"
			}
			fmt.Fprintf(&out, "%-42s %-9s %8.3f %7d %7.2fs\n", pa.name, name,
				float64(inTime)/float64(asked), len(took), mean(took).Seconds())
		}
	}
	golden.Assert(t, out.String(), "load.golden")
}
