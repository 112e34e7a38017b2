package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

func TestLittleTextIsLostWithAllPower(t *testing.T) {
	// Symptom: after a loss of all power the longest items go on from a second before it,
	// and from up to two seconds at some engines.
	// Sequence: an item has been under way for some seconds, at the usual pace, when the
	// power fails.
	// Cause: text was kept each second, and only if a run had as many new events as it
	// makes in just that time; one that had one fewer waited for a second more.
	for _, pace := range []time.Duration{36 * time.Millisecond, 49 * time.Millisecond, 53 * time.Millisecond} {
		ta := tableOf(t, 1, "a")
		ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
		ta.Place(begin)
		engine, key := keyOf(t, ta, "s", 0)
		made, most := 0, time.Duration(0)
		for at := tickEvery; at < 7*time.Second; at += tickEvery {
			now := begin.Add(at)
			count := int(at / pace)
			if count > made {
				hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{
					Events: events(made+1, count, 1), First: made, Key: key,
				}}}, now)
				made = count
			}
			if at > 2*time.Second {
				most = max(most, time.Duration(ta.steps["s"].items[0].unsaved())*pace)
			}
			ta.CheckpointsSaved(ta.Checkpoints(now))
		}
		assert.Assert(t, most <= 700*time.Millisecond, "pace %v: %v of text is in no checkpoint", pace, most)
	}
}

func TestShortTextIsNotKept(t *testing.T) {
	// Most items end soon. Keeping the text of each that has just begun would cost more than
	// making it again.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, checkpointEvents-1, 1), Key: key}}}, begin)
	assert.Equal(t, len(ta.Checkpoints(begin.Add(time.Minute))), 0)
}
