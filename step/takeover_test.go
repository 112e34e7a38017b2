package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

func TestTakeOver(t *testing.T) {
	// Guards against a new scheduler starting items again before all attendants have reported the runs of its
	// predecessor.
	ta := NewTable(2, nil)
	addEngines(ta, begin, "a", "b")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	old := func(item string) runner.Key { return runner.Key{Attempt: 7, Item: item, Step: "s"} }
	respond(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 4, 1), Key: old("s-0-0")}}}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[1].state, waiting, "b has not responded")
	respond(ta, "b", runner.ExchangeResponse{Runs: []runner.Progress{
		{Events: events(1, 2, 1), Key: old("s-0-1"), State: runner.Complete},
	}}, begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
	assert.Equal(t, len(ta.steps["s"].items[0].events), 4)
	assert.Equal(t, ta.steps["s"].items[1].state, complete)
	ta.Place(begin)
	rq, _ := ta.Request("a")
	assert.Equal(t, len(rq.Launches), 0)
}

func TestSilentAttendantDoesNotBlockPlacement(t *testing.T) {
	ta := NewTable(2, nil)
	addEngines(ta, begin, "a", "b")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	respond(ta, "a", runner.ExchangeResponse{}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, waiting)
	ta.Place(begin.Add(maxEngineWait + 1))
	assert.Equal(t, ta.steps["s"].items[0].state, running)
}

func TestCheckpoints(t *testing.T) {
	// Guards against losing the text of unfinished runs when all instances lose power.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	_, other := keyOf(t, ta, "s", 1)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{
		{Events: events(1, 25, 1), Key: key}, {Events: events(1, 5, 1), Key: other},
	}}, begin)
	cps := ta.Checkpoints(begin.Add(checkpointInterval))
	assert.Equal(t, len(cps), 1)
	assert.Equal(t, len(cps[0].Partials), 1, "five events are cheap to generate again")
	ta.CheckpointsSaved(cps)
	assert.Equal(t, len(ta.Checkpoints(begin.Add(2*checkpointInterval))), 0, "nothing new")

	next := tableOf(t, 2, "a")
	next.Accept(stepOf("s", 2), StoredStep{Checkpoints: cps}, false, begin)
	next.Place(begin)
	rq, _ := next.Request("a")
	assert.Equal(t, len(rq.Launches[0].Prior)+len(rq.Launches[1].Prior), 25)
	next.End("s")
	assert.DeepEqual(t, next.ObsoleteKeys(), []string{checkpointKey("s", 0)})
}

func TestCheckpointsCoverAllItems(t *testing.T) {
	// Guards against items at the end of a step never being checkpointed when there is more text per interval than
	// one value holds.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	ta.Place(begin)
	big := func(from, to int) []runner.Event {
		evs := events(from, to, 1)
		for i := range evs {
			evs[i].Data = make([]byte, partSize/minFirstEvents)
		}
		return evs
	}
	saved := map[string]bool{}
	for second := range 2 {
		var prs []runner.Progress
		for item := range 2 {
			_, key := keyOf(t, ta, "s", item)
			prs = append(prs, runner.Progress{Events: big(1, (second+1)*minFirstEvents), Key: key})
		}
		respond(ta, "a", runner.ExchangeResponse{Runs: prs}, begin)
		cps := ta.Checkpoints(begin.Add(time.Duration(second+1) * checkpointInterval))
		assert.Equal(t, len(cps[0].Partials), 1)
		saved[cps[0].Partials[0].Item] = true
		ta.CheckpointsSaved(cps)
	}
	assert.Equal(t, len(saved), 2)
}

func TestTextReuse(t *testing.T) {
	// When a later step repeats an incomplete group, text of an allowed version is reused. Other text only gives a
	// minimum length of the item.
	for _, tc := range []struct {
		name  string
		min   uint64
		prior int
	}{
		{"allowed version", 1, 3},
		{"version too old", 2, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := tableOf(t, 1, "a")
			ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
			ta.Place(begin)
			engine, key := keyOf(t, ta, "s", 0)
			respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 3, 1), Key: key}}}, begin)
			ta.End("s")
			again := stepOf("t", 1)
			again.Items[0].ID, again.MinVersion = "s-0-0", tc.min
			ta.Accept(again, StoredStep{}, false, begin)
			ir := ta.steps["t"].items[0]
			assert.Equal(t, len(ir.events), tc.prior)
			assert.Equal(t, ir.knownEvents, 3)
		})
	}
}

func TestCompleteItemsSurviveFailover(t *testing.T) {
	// Guards against attendants releasing the text of a run when it ends rather than when it is listed: a new
	// scheduler would have to generate it again.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 2, 1), begin)
	key := runner.Key{Attempt: ta.attempt, Item: "s-0-0", Step: "s"}
	rq, _ := ta.Request("a")
	assert.DeepEqual(t, rq.Seen, []runner.Ack{{Ended: true, Events: 2, Key: key}})
	again := runner.ExchangeResponse{Runs: []runner.Progress{{First: 2, Key: key, State: runner.Complete}}}
	respond(ta, "a", again, begin)
	rq, _ = ta.Request("a")
	assert.Equal(t, len(rq.Forget), 0, "not listed")
	ta.ChunksListed(ta.DueChunks(begin.Add(time.Hour)), begin)
	rq, _ = ta.Request("a")
	assert.DeepEqual(t, rq.Forget, []runner.Key{key})
}

func TestReplacedEngine(t *testing.T) {
	// Guards against an item being stuck after its engine restarts under a new ID at the same address: the exchange
	// for one ID must not make the attendant discard the runs of the other.
	ta := tableOf(t, 1, "old", "new")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	respond(ta, "old", runner.ExchangeResponse{Engine: "new"}, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	assert.Equal(t, engine, "new", "the old one is gone")
	respond(ta, "old", runner.ExchangeResponse{Runs: []runner.Progress{{Endpoint: "new", Key: key}}}, begin)
	rq, _ := ta.Request("old")
	assert.Equal(t, len(rq.Forget), 0)
}

func TestClockSkew(t *testing.T) {
	// Guards against abandoning items early because the age of a step is computed from the clocks of two instances.
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 3)
	st.Accepted, st.MaxWait = begin.Add(-time.Minute), 40*time.Second
	ta.Accept(st, StoredStep{}, false, begin)
	ta.DropExpired(begin.Add(time.Second))
	for _, ir := range ta.steps["s"].items {
		assert.Equal(t, ir.state, waiting)
	}
}

func TestRequestsAcknowledgeProgress(t *testing.T) {
	// A request acknowledges a run's progress until a response confirms that the attendant received it.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 2, 1), Key: key}}}, begin)
	rq, _ := ta.Request(engine)
	assert.DeepEqual(t, rq.Seen, []runner.Ack{{Events: 2, Key: key}})
	rq, _ = ta.Request(engine)
	assert.Equal(t, len(rq.Seen), 1, "no answer yet")
	respond(ta, engine, runner.ExchangeResponse{}, begin)
	rq, _ = ta.Request(engine)
	assert.Equal(t, len(rq.Seen), 0)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{First: 2, Key: key, State: runner.Complete}}}, begin)
	rq, _ = ta.Request(engine)
	assert.DeepEqual(t, rq.Seen, []runner.Ack{{Ended: true, Events: 2, Key: key}})
	respond(ta, engine, runner.ExchangeResponse{}, begin)
	rq, _ = ta.Request(engine)
	assert.Equal(t, len(rq.Seen), 0)
}

func TestTakenOverTextStaysSaved(t *testing.T) {
	// Guards against a new scheduler writing text that earlier checkpoints already hold, which delays listing.
	for _, tc := range []struct {
		name    string
		version uint64 // weights version of the run's text
		kept    int
	}{
		{"the same text", 1, minFirstEvents},
		{"another run's text", 2, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := NewTable(2, nil)
			addEngines(ta, begin, "a")
			st := stepOf("s", 1)
			cp := Checkpoint{Partials: []Partial{{Events: events(1, minFirstEvents, 1), Item: st.Items[0].ID}}, Step: "s"}
			ta.Accept(st, StoredStep{Checkpoints: []Checkpoint{cp}}, false, begin)
			respond(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{
				{Events: events(1, minFirstEvents+5, tc.version), Key: runner.Key{Attempt: 7, Item: st.Items[0].ID, Step: "s"}},
			}}, begin)
			ir := ta.steps["s"].items[0]
			assert.Equal(t, ir.state, running)
			assert.Equal(t, len(ir.events), minFirstEvents+5)
			assert.Equal(t, ir.savedEvents, tc.kept)
		})
	}
}

func TestAttendantNamesTheFormerEngine(t *testing.T) {
	// Guards against marking a restarted engine as replaced when its attendant still names the former engine ID.
	ta := tableOf(t, 1, "old")
	addEngines(ta, begin, "new")
	respond(ta, "new", runner.ExchangeResponse{Engine: "old"}, begin)
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, _ := keyOf(t, ta, "s", 0)
	assert.Equal(t, engine, "new")
}
