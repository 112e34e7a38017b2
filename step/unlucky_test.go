package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// Failure: engines crash by chance under a sound item again and again, and it is never placed again.
func TestItemUnderWhichEnginesCrashedIsPlacedAgain(t *testing.T) {
	for name, age := range map[string]time.Duration{"just placed": 50 * time.Millisecond, "at work for a while": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			ta := tableOf(t, 1, "a", "b", "c", "d")
			ta.Accept(stepOf("s", 1, 1), StoredStep{}, false, begin)
			at := begin
			for crash := range 40 {
				ta.Place(at)
				engine, key := keyOf(t, ta, "s", 0)
				at = at.Add(age)
				respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{
					EngineEnded: true, Key: key, State: runner.Broken,
				}}}, at)
				at = at.Add(tickInterval)
				assert.Equal(t, ta.steps["s"].items[0].state, waiting, fmt.Sprint("crash ", crash))
			}
			ta.Place(at)
			keyOf(t, ta, "s", 0)
			end(ta, t, "s", 0, runner.Complete, events(1, 3, 1), at)
			assert.Equal(t, ta.steps["s"].items[0].state, complete)
		})
	}
}
