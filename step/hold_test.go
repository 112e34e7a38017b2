package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/hold"
	"wisteriacroft/runner"
)

// holdsOf returns a set of holds on the targets, one version newer than after.
func holdsOf(t *testing.T, after *hold.Set, targets ...hold.Target) *hold.Set {
	t.Helper()
	var hs *hold.Set
	for _, ta := range targets {
		var err error
		hs, _, err = hs.Apply(hold.Change{Action: hold.Held, Record: hold.Record{By: "ada", Target: ta, Why: "test"}})
		assert.NilError(t, err)
	}
	return hs.WithVersion(after.Version() + 1)
}

func TestHeldStep(t *testing.T) {
	// An operator holds one customer so that another one's step can run first.
	ta := tableOf(t, 1, "a")
	first, second := stepOf("s", 2), stepOf("t", 2)
	first.Customer, second.Customer = "bakery", "mill"
	hs := holdsOf(t, nil, hold.Target{Kind: hold.Customer, Name: "bakery"})
	ta.SetHolds(hs, begin)
	ta.Accept(first, StoredStep{}, false, begin)
	ta.Accept(second, StoredStep{}, false, begin)
	ta.Place(begin)
	for i := range 2 {
		assert.Equal(t, ta.steps["s"].items[i].state, waiting)
		assert.Equal(t, ta.steps["t"].items[i].state, running)
		end(ta, t, "t", i, runner.Complete, events(1, 3, 1), begin)
	}
	ta.Place(begin)
	assert.Equal(t, ta.heldItemCount(), 2)
	ta.SetHolds(holdsOf(t, hs), begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
	ta.SetHolds(hs, begin) // an outdated set
	assert.Equal(t, ta.heldItemCount(), 0)
}

func TestHeldStepsReserveNoCapacity(t *testing.T) {
	// Guards against capacity being reserved for held items, which cannot start, while other steps count as late.
	ta := tableOf(t, 1, "a")
	large, small := stepOf("s", 40, 40, 40), stepOf("t", 1)
	large.Customer, small.Customer = "bakery", "mill"
	ta.Accept(large, StoredStep{}, false, begin)
	ta.Accept(small, StoredStep{}, false, begin)
	ta.planCapacity(begin)
	assert.Assert(t, ta.overloaded("service"))
	asked := ta.ServiceLoads()["service"].Load
	ta.SetHolds(holdsOf(t, nil, hold.Target{Kind: hold.Customer, Name: "bakery"}), begin)
	ta.planCapacity(begin.Add(planInterval))
	assert.Assert(t, ta.ServiceLoads()["service"].Load < asked/10)
}

func TestHeldStepResumesStartedItem(t *testing.T) {
	// Guards against a held step losing a started item whose engine is removed: the item has text, so it resumes
	// elsewhere despite the hold.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 3), StoredStep{}, false, begin)
	ta.Place(begin)
	_, key := keyOf(t, ta, "s", 0)
	respond(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 5, 1), Key: key}}}, begin)
	ta.SetHolds(holdsOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
	addEngines(ta, begin, "b")
	respond(ta, "b", runner.ExchangeResponse{}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].run.engineID, "b")
	assert.Equal(t, ta.steps["s"].items[0].run.priorEvents, 5)
	assert.Equal(t, ta.steps["s"].items[1].state, waiting, "it has no text")
	assert.Equal(t, ta.steps["s"].items[2].state, waiting, "it has not started")
}

func TestHeldResultsAreListed(t *testing.T) {
	// A hold prevents items from starting, but not the listing of complete results.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1, 1), StoredStep{}, false, begin)
	ta.Place(begin)
	ta.SetHolds(holdsOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 3, 1), begin)
	end(ta, t, "s", 1, runner.Complete, events(1, 3, 1), begin)
	ws := ta.NextWrites(begin.Add(time.Second))
	assert.Equal(t, len(ws.Chunks), 1)
	assert.Equal(t, len(ws.Chunks[0].Results), 2)
}

func TestHeldItemExpires(t *testing.T) {
	// A hold doesn't extend the route's limit on how long a trainer waits.
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 1)
	st.MaxWait = 10 * time.Second
	ta.SetHolds(holdsOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
	ta.Accept(st, StoredStep{}, false, begin)
	ta.DropExpired(begin.Add(st.MaxWait))
	assert.Equal(t, ta.steps["s"].items[0].state, waiting)
	ta.DropExpired(begin.Add(st.MaxWait + expirySlack))
	assert.Equal(t, ta.steps["s"].items[0].state, lost)
}

func TestHeldItemCompletesMove(t *testing.T) {
	// Guards against an item without events getting stuck if its step is held while the item moves between engines.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	ir := ta.steps["s"].items[0]
	addEngines(ta, begin, "a", "b")
	late := begin.Add(firstEventTimeout + time.Second)
	respond(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Key: ir.run.key}}}, late)
	respond(ta, "b", runner.ExchangeResponse{}, late)
	ta.MoveStragglers(late)
	assert.Equal(t, ir.moveTarget, "b")
	ta.SetHolds(holdsOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), late)
	respond(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Key: ir.run.key, State: runner.Stopped}}}, late)
	ta.Place(late)
	assert.Equal(t, ir.run.engineID, "b")
}

func TestLaunchesWaitForNewsOfSteps(t *testing.T) {
	// Guards against an item that starts seconds after its step's end: a scheduler that is full hears of
	// no ends, and sends a launch that was not confirmed again and again.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	for _, tc := range []struct {
		held     bool
		launches int
	}{{false, 1}, {true, 0}, {false, 1}} {
		ta.launchesHeld = tc.held
		rq, _ := ta.Request("a")
		assert.Equal(t, len(rq.Launches), tc.launches)
		assert.Equal(t, ta.exchangeUrgent("a"), !tc.held)
		assert.Equal(t, rq.Await > 0, tc.held, "an exchange without a launch doesn't follow at once")
	}
	ta.End("s")
	ta.launchesHeld = false
	rq, _ := ta.Request("a")
	assert.Equal(t, len(rq.Launches), 0)
}
