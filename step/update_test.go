package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

func TestFinalResultsPrecedeCheckpoints(t *testing.T) {
	// Guards against a step's final results sharing a write with megabytes of checkpoints, which delays them.
	ta := tableOf(t, 1, "a", "b")
	ta.Accept(stepOf("whole", 1), StoredStep{}, false, begin)
	ta.Accept(stepOf("open", 1, 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "open", 0)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, minFirstEvents, 1), Key: key}}}, begin)
	now := begin.Add(2 * checkpointInterval)
	end(ta, t, "whole", 0, runner.Complete, events(1, 3, 1), now)
	ws := ta.NextWrites(now)
	assert.Equal(t, len(ws.Chunks), 1)
	assert.Equal(t, ws.Chunks[0].Step, "whole")
	assert.Equal(t, len(ws.Checkpoints), 0)
	ta.WritesApplied(ws, now)
	now = now.Add(10 * time.Millisecond)
	ws = ta.NextWrites(now)
	assert.Equal(t, len(ws.Checkpoints), 1, "the checkpoint is in the next write")
	assert.Equal(t, ws.Checkpoints[0].Step, "open")
}
