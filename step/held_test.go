package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/hold"
	"wisteriacroft/runner"
)

// sheetOf returns a sheet that holds some targets, newer than another.
func sheetOf(t *testing.T, after *hold.Set, targets ...hold.Target) *hold.Set {
	t.Helper()
	var sh *hold.Set
	for _, ta := range targets {
		var err error
		sh, _, err = sh.Apply(hold.Change{Action: hold.Held, Record: hold.Record{By: "ada", Target: ta, Why: "test"}})
		assert.NilError(t, err)
	}
	return sh.WithVersion(after.Version() + 1)
}

func TestHeldStep(t *testing.T) {
	// Load pattern: one customer's steps take the places that another one's need. An
	// operator holds the first until the second is through.
	ta := tableOf(t, 1, "a")
	first, second := stepOf("s", 2), stepOf("t", 2)
	first.Customer, second.Customer = "bakery", "mill"
	sh := sheetOf(t, nil, hold.Target{Kind: hold.Customer, Name: "bakery"})
	ta.SetHolds(sh, begin)
	ta.Accept(first, StoredStep{}, false, begin)
	ta.Accept(second, StoredStep{}, false, begin)
	ta.Place(begin)
	for i := range 2 {
		assert.Equal(t, ta.steps["s"].items[i].state, waiting)
		assert.Equal(t, ta.steps["t"].items[i].state, running)
		end(ta, t, "t", i, runner.Complete, events(1, 3, 1), begin)
	}
	ta.Place(begin)
	assert.Equal(t, ta.heldItems(), 2)
	ta.SetHolds(sheetOf(t, sh), begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
	ta.SetHolds(sh, begin) // news that was overtaken
	assert.Equal(t, ta.heldItems(), 0)
}

func TestNoRoomIsKeptForWhatIsHeld(t *testing.T) {
	// Symptom: steps are taken for late, and runs are refused their moves, while half of
	// the places are free.
	// Sequence: an operator holds the customer that asks for most.
	// Cause: room was planned for what doesn't begin.
	ta := tableOf(t, 1, "a")
	large, small := stepOf("s", 40, 40, 40), stepOf("t", 1)
	large.Customer, small.Customer = "bakery", "mill"
	ta.Accept(large, StoredStep{}, false, begin)
	ta.Accept(small, StoredStep{}, false, begin)
	ta.planRoom(begin)
	assert.Assert(t, ta.crowded("service"))
	asked := ta.Rooms()["service"].Load
	ta.SetHolds(sheetOf(t, nil, hold.Target{Kind: hold.Customer, Name: "bakery"}), begin)
	ta.planRoom(begin.Add(planEvery))
	assert.Assert(t, ta.Rooms()["service"].Load < asked/10)
}

func TestHeldRunGoesOn(t *testing.T) {
	// Symptom: an operator holds a step, and what it had made is thrown away or never
	// ends.
	// Sequence: an item of the step runs; the step is held; the item's engine goes away.
	// Cause: an item that has begun was taken for new work as soon as it had to wait for
	// another engine.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 3), StoredStep{}, false, begin)
	ta.Place(begin)
	_, key := keyOf(t, ta, "s", 0)
	hear(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 5, 1), Key: key}}}, begin)
	ta.SetHolds(sheetOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
	addEngines(ta, begin, "b")
	hear(ta, "b", runner.ExchangeResponse{}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].run.engine, "b")
	assert.Equal(t, ta.steps["s"].items[0].run.prior, 5)
	assert.Equal(t, ta.steps["s"].items[1].state, waiting, "it had made nothing yet")
	assert.Equal(t, ta.steps["s"].items[2].state, waiting, "it never began")
}

func TestHeldResultsAreListed(t *testing.T) {
	// A hold keeps items from beginning, and not what is whole from being listed.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1, 1), StoredStep{}, false, begin)
	ta.Place(begin)
	ta.SetHolds(sheetOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 3, 1), begin)
	end(ta, t, "s", 1, runner.Complete, events(1, 3, 1), begin)
	up := ta.Update(begin.Add(time.Second))
	assert.Equal(t, len(up.Chunks), 1)
	assert.Equal(t, len(up.Chunks[0].Results), 2)
}

func TestHeldItemIsGivenUpInTime(t *testing.T) {
	// A hold doesn't lengthen how long a trainer waits: the route's bound counts.
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 1)
	st.MaxWait = 10 * time.Second
	ta.SetHolds(sheetOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
	ta.Accept(st, StoredStep{}, false, begin)
	ta.DropExpired(begin.Add(st.MaxWait))
	assert.Equal(t, ta.steps["s"].items[0].state, waiting)
	ta.DropExpired(begin.Add(st.MaxWait + giveUpSlack))
	assert.Equal(t, ta.steps["s"].items[0].state, lost)
}

func TestMovingHeldRunKeepsItsPlace(t *testing.T) {
	// Symptom: a run without an event stops for good.
	// Sequence: it is moved off an engine that shows nothing, and its step is held
	// before it begins at the other one.
	// Cause: between the two engines it looked like an item that never began.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	ir := ta.steps["s"].items[0]
	addEngines(ta, begin, "a", "b")
	late := begin.Add(firstEventTime + time.Second)
	hear(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Key: ir.run.key}}}, late)
	hear(ta, "b", runner.ExchangeResponse{}, late)
	ta.MoveStragglers(late)
	assert.Equal(t, ir.target, "b")
	ta.SetHolds(sheetOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), late)
	hear(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Key: ir.run.key, State: runner.Stopped}}}, late)
	ta.Place(late)
	assert.Equal(t, ir.run.engine, "b")
}
