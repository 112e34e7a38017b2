package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// fullEngine returns a table with two engines: a, with memory for 10,000 tokens, runs items with
// the given prompts, and b is empty and has the given time per event.
func fullEngine(t *testing.T, pace time.Duration, prompts ...int) (*Table, []*itemRow) {
	t.Helper()
	ta := tableOf(t, 1, "a")
	st := stepOf("s", len(prompts))
	ta.engines["a"].slots = len(prompts)
	for i, prompt := range prompts {
		st.Items[i].Prompt, st.Items[i].Tokens = prompt, prompt+1000
	}
	ta.Accept(st, StoredStep{}, false, begin)
	ta.engines["a"].tokens = 0 // no bound while they are placed
	ta.Place(begin)
	ta.engines["a"].tokens = 10000
	irs := ta.steps["s"].items
	re := runner.ExchangeResponse{Report: runner.Report{Pace: 40 * time.Millisecond, PaceGaps: paceGaps}}
	for _, ir := range irs {
		re.Runs = append(re.Runs, runner.Progress{Key: ir.run.key})
	}
	respond(ta, "a", re, begin)
	addEngines(ta, begin, "a", "b")
	ta.engines["a"].slots = len(prompts)
	respond(ta, "b", runner.ExchangeResponse{Report: runner.Report{Pace: pace, PaceGaps: paceGaps}}, begin)
	ta.MeasurePace(begin)
	return ta, irs
}

func TestRunWithMostSlackLeavesFullEngine(t *testing.T) {
	// An engine short of memory moves the run with the most slack, not the largest, which
	// is usually the last one of its step, and not to a slower engine.
	const usual = 40 * time.Millisecond
	ta, irs := fullEngine(t, usual, 4000, 3000, 2000, 100)
	irs[0].item.Hint, irs[1].item.Hint, irs[2].item.Hint = 900, 100, 800
	ta.RelieveMemory(begin)
	assert.Assert(t, irs[1].run.stopping, "it has the most slack")
	for _, i := range []int{0, 2, 3} {
		assert.Assert(t, !irs[i].run.stopping, "item %d", i)
	}
	ta.RelieveMemory(begin)
	assert.Assert(t, !irs[2].run.stopping, "one at a time")

	ta, irs = fullEngine(t, usual*13/10, 4000, 3000, 2000, 100)
	ta.RelieveMemory(begin)
	for i, ir := range irs {
		assert.Assert(t, !ir.run.stopping, "item %d goes to a slower engine", i)
	}
}

func TestIncomingRunsCount(t *testing.T) {
	// Incoming runs count as load of the target engine, so that it isn't overfilled.
	ta, irs := fullEngine(t, 40*time.Millisecond, 4000, 3000, 2000, 100)
	ta.moveRun(irs[0], ta.engines["a"], memoryReason, begin)
	assert.Equal(t, irs[0].moveTarget, "b")
	now, _ := ta.engines["b"].memoryUse()
	assert.Assert(t, now >= 4000, "%d", now)
	assert.Assert(t, !ta.engines["b"].hasSpareMemory(irs[1]))
	assert.Equal(t, ta.engines["b"].freeSlots(), 1)
}

func TestLoadOfEngineIsNoReasonToMove(t *testing.T) {
	// Guards against runs that move back and forth: engines are compared at equal load, not
	// by the last reported pace.
	ta, irs := fullEngine(t, 40*time.Millisecond, 2000, 2000, 2000, 2000)
	for i, ir := range irs {
		ir.events = events(1, minMoveEvents+1, 1)
		assert.Assert(t, !ta.isLongRun(ta.engines["a"], ir), "item %d", i)
	}
	full, empty := ta.engines["a"], ta.engines["b"]
	full.basePace, empty.basePace = 40*time.Millisecond, 40*time.Millisecond
	assert.Assert(t, ta.expectedPace(full, nil) > ta.expectedPace(empty, nil))
	full.basePace = 60 * time.Millisecond
	assert.Assert(t, ta.isLongRun(full, irs[0]), "its base pace is slower")
}

func TestLoadsAtOnce(t *testing.T) {
	// A fifth of the engines, rounded to the nearest, loads weights at the same time.
	for engines, loads := range map[int]int{4: 2, 11: 2, 12: 2, 38: 8, 46: 9, 47: 9, 50: 10} {
		assert.Equal(t, maxConcurrentLoads(engines), loads, "%d engines", engines)
	}
}

func TestStoppedRunIsReportedAtOnce(t *testing.T) {
	// The exchange waits for the end of a stopping run, and the item is restarted at once
	// rather than at the next tick.
	ta := tableOf(t, 1, "a", "b")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 3, 1), Key: key}}}, begin)
	assert.Assert(t, !ta.exchangeUrgent(engine))
	ir := ta.steps["s"].items[0]
	ir.run.stopping, ir.moveTarget = true, map[string]string{"a": "b", "b": "a"}[engine]
	assert.Assert(t, ta.exchangeUrgent(engine), "the stop interrupts an exchange that waits")
	rq, _ := ta.Request(engine)
	assert.DeepEqual(t, rq.Stops, []runner.Key{key})
	assert.Equal(t, rq.Await, minExchangeInterval-exchangePause, "until the run has stopped")
	assert.Assert(t, !ta.exchangeUrgent(engine), "the stop doesn't interrupt the exchange that carries it")
	rq, _ = ta.Request(engine)
	assert.DeepEqual(t, rq.Stops, []runner.Key{key}) // the first request may have been lost
	assert.Equal(t, len(ta.restartStopped(begin)), 0)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{First: 3, Key: key, State: runner.Stopped}}}, begin)
	engines := ta.restartStopped(begin)
	assert.DeepEqual(t, engines, []string{ir.run.engineID})
	assert.Equal(t, ir.state, running)
	assert.Assert(t, ir.run.engineID != engine)
}
