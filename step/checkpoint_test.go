package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

func TestCheckpointsBoundLostText(t *testing.T) {
	// Guards against a run that generates slightly more slowly than usual missing every other checkpoint, so that a
	// power failure loses the text of up to two intervals.
	for _, pace := range []time.Duration{36 * time.Millisecond, 49 * time.Millisecond, 53 * time.Millisecond} {
		ta := tableOf(t, 1, "a")
		ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
		ta.Place(begin)
		engine, key := keyOf(t, ta, "s", 0)
		made, most := 0, time.Duration(0)
		for at := tickInterval; at < 7*time.Second; at += tickInterval {
			now := begin.Add(at)
			count := int(at / pace)
			if count > made {
				respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{
					Events: events(made+1, count, 1), First: made, Key: key,
				}}}, now)
				made = count
			}
			if at > 2*time.Second {
				most = max(most, time.Duration(ta.steps["s"].items[0].unsaved())*pace)
			}
			ta.CheckpointsSaved(ta.Checkpoints(now))
		}
		assert.Assert(t, most <= 700*time.Millisecond, "pace %v: text of %v is in no checkpoint", pace, most)
	}
}

func TestShortTextIsNotCheckpointed(t *testing.T) {
	// Most items end soon: checkpointing runs that have just started would cost more than generating them again.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, minFirstEvents-1, 1), Key: key}}}, begin)
	assert.Equal(t, len(ta.Checkpoints(begin.Add(time.Minute))), 0)
}
