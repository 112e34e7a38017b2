package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
)

func TestItemRestsAfterItsEnginesEnded(t *testing.T) {
	// Each engine that ran an item ended at once. The item was placed again each
	// time, with one "run given up ... broken: read the answer: EOF" after the
	// other, until no engine was left for the rest of its step.
	for _, tc := range []struct {
		name  string
		ended bool
		runs  int // within a second
	}{
		{"its engines end", true, 3},
		{"its connections break", false, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := tableOf(t, 1, "a", "b", "c")
			ta.Accept(stepOf("s", 1, 1), Kept{}, false, begin)
			runs := 0
			for at := begin; at.Before(begin.Add(time.Second)); at = at.Add(50 * time.Millisecond) {
				ta.Place(at)
				ir := ta.steps["s"].items[0]
				if ir.state != running {
					continue
				}
				runs++
				hear(ta, ir.run.engine, runner.ExchangeResponse{Runs: []runner.Progress{{
					EngineEnded: tc.ended, Key: ir.run.key, State: runner.Broken,
				}}}, at)
			}
			assert.Equal(t, runs, tc.runs)
			keyOf(t, ta, "s", 1) // the other item runs all the while
		})
	}
}

func TestItemStaysAtRestUnderTheNextScheduler(t *testing.T) {
	// The scheduler is lost, or the item's group comes again in a later step.
	shared := &quarantine.Table{}
	for _, step := range []string{"s", "t"} {
		ta := tableOf(t, 1, "a", "b", "c")
		ta.quarantine = shared
		st := stepOf("s", 1)
		st.ID = step
		ta.Accept(st, Kept{}, false, begin)
		ir := ta.steps[step].items[0]
		for shared.JudgeItem(ir.digest, begin).Strikes < 6 {
			shared.Strike(ir.digest, string(rune('0'+shared.JudgeItem(ir.digest, begin).Strikes)), begin)
		}
		ta.Place(begin.Add(time.Hour))
		assert.Equal(t, ir.state, waiting)
		assert.Equal(t, len(shared.Records(begin)), 6, "it is the same item")
	}
}
