package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// crowded returns a table whose engine a, of 10,000 tokens, holds 9,000 in runs
// of the prompts given, beside the empty engine b of a pace.
func crowded(t *testing.T, pace time.Duration, prompts ...int) (*Table, []*itemRow) {
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
	hear(ta, "a", re, begin)
	addEngines(ta, begin, "a", "b")
	ta.engines["a"].slots = len(prompts)
	hear(ta, "b", runner.ExchangeResponse{Report: runner.Report{Pace: pace, PaceGaps: paceGaps}}, begin)
	ta.MeasurePace(begin)
	return ta, irs
}

func TestPatientRunLeavesCrowdedEngine(t *testing.T) {
	// Symptom: the longest item of a step moves three times, and is late.
	// Sequence: an engine fills up with long items and new short ones.
	// Cause: the run that held most had to leave, which is the one that the step
	// waits for, and it went to engines that are slower all day.
	const usual = 40 * time.Millisecond
	ta, irs := crowded(t, usual, 4000, 3000, 2000, 100)
	irs[0].item.Hint, irs[1].item.Hint, irs[2].item.Hint = 900, 100, 800
	ta.RelieveMemory(begin)
	assert.Assert(t, irs[1].run.stopping, "it has the most time to spare")
	for _, i := range []int{0, 2, 3} {
		assert.Assert(t, !irs[i].run.stopping, "item %d", i)
	}
	ta.RelieveMemory(begin)
	assert.Assert(t, !irs[2].run.stopping, "one at a time")

	ta, irs = crowded(t, usual*13/10, 4000, 3000, 2000, 100)
	ta.RelieveMemory(begin)
	for i, ir := range irs {
		assert.Assert(t, !ir.run.stopping, "item %d goes to a slower engine", i)
	}
}

func TestComingRunsCount(t *testing.T) {
	// Symptom: runs leave an engine as soon as they have come.
	// Sequence: the runs of several full engines see one empty engine at once.
	// Cause: what was on its way there was not counted.
	ta, irs := crowded(t, 40*time.Millisecond, 4000, 3000, 2000, 100)
	ta.move(irs[0], ta.engines["a"], memoryReason, begin)
	assert.Equal(t, irs[0].target, "b")
	now, _ := ta.engines["b"].memory()
	assert.Assert(t, now >= 4000, "%d", now)
	assert.Assert(t, !ta.engines["b"].roomy(irs[1]))
	assert.Equal(t, ta.engines["b"].free(), 1)
}

func TestPaceOfFullEngineIsNoReasonToMove(t *testing.T) {
	// Symptom: three runs leave a full engine for an empty one at the same tick,
	// which is then as full, and go on from there.
	// Sequence: engines of one pace, of which one has been empty for a while.
	// Cause: the pace that each showed last was compared, whatever it ran then.
	ta, irs := crowded(t, 40*time.Millisecond, 2000, 2000, 2000, 2000)
	for i, ir := range irs {
		ir.events = events(1, minMoveEvents+1, 1)
		assert.Assert(t, !ta.long(ta.engines["a"], ir), "item %d", i)
	}
	full, empty := ta.engines["a"], ta.engines["b"]
	full.base, empty.base = 40*time.Millisecond, 40*time.Millisecond
	assert.Assert(t, ta.paceWith(full, nil) > ta.paceWith(empty, nil))
	full.base = 60 * time.Millisecond
	assert.Assert(t, ta.long(full, irs[0]), "it is slower all day")
}

func TestLoadsAtOnce(t *testing.T) {
	// Load pattern: four trainers name a version every few seconds, each before 38
	// engines. The store of weights serves 8 loads at full speed, of which 7 were made:
	// steps began on the few engines that had their weights.
	for engines, loads := range map[int]int{4: 2, 11: 2, 12: 2, 38: 8, 46: 9, 47: 9, 50: 10} {
		assert.Equal(t, loadsAtOnce(engines), loads, "%d engines", engines)
	}
}

func TestMovedRunIsHeardAtOnce(t *testing.T) {
	// Symptom: a step's longest item makes nothing for a tenth of a second and more each
	// time it is moved.
	// Sequence: a run is asked to stop; it ends within milliseconds.
	// Cause: the scheduler heard of it with its next exchange, and placed the item at its
	// next tick.
	ta := tableOf(t, 1, "a", "b")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 3, 1), Key: key}}}, begin)
	rq, _ := ta.Request(engine)
	assert.Equal(t, rq.Await, time.Duration(0))
	ir := ta.steps["s"].items[0]
	ir.run.stopping, ir.target = true, map[string]string{"a": "b", "b": "a"}[engine]
	rq, _ = ta.Request(engine)
	assert.Equal(t, rq.Await, awaitEnd)
	assert.Equal(t, len(ta.placeStopped(begin)), 0)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{First: 3, Key: key, State: runner.Stopped}}}, begin)
	engines := ta.placeStopped(begin)
	assert.DeepEqual(t, engines, []string{ir.run.engine})
	assert.Equal(t, ir.state, running)
	assert.Assert(t, ir.run.engine != engine)
}
