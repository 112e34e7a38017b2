package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

func TestTakeOver(t *testing.T) {
	// Symptom: after a change of scheduler, items run twice, and what was made of
	// them is lost.
	// Sequence: a scheduler dies; attendants go on with its runs, one of which
	// ends meanwhile; the next has heard from one attendant of two.
	// Cause: items that no attendant has spoken of yet looked as if they waited.
	ta := NewTable(2, nil)
	addEngines(ta, begin, "a", "b")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	old := func(item string) runner.Key { return runner.Key{Attempt: 7, Item: item, Step: "s"} }
	hear(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 4, 1), Key: old("s-0-0")}}}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[1].state, waiting, "b has not been heard from")
	hear(ta, "b", runner.ExchangeResponse{Runs: []runner.Progress{
		{Events: events(1, 2, 1), Key: old("s-0-1"), State: runner.Complete},
	}}, begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
	assert.Equal(t, len(ta.steps["s"].items[0].events), 4)
	assert.Equal(t, ta.steps["s"].items[1].state, complete)
	ta.Place(begin)
	rq, _ := ta.Request("a")
	assert.Equal(t, len(rq.Launches), 0)
}

func TestSilentAttendantDoesNotHoldPlacingUp(t *testing.T) {
	ta := NewTable(2, nil)
	addEngines(ta, begin, "a", "b")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	hear(ta, "a", runner.ExchangeResponse{}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, waiting)
	ta.Place(begin.Add(listenTime + 1))
	assert.Equal(t, ta.steps["s"].items[0].state, running)
}

func TestCheckpoints(t *testing.T) {
	// Symptom: after a loss of power, steps miss their time though half of their
	// text had been made.
	// Sequence: all instances lose power; the next scheduler finds the steps.
	// Cause: the text of runs that were under way was in memory alone.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	_, other := keyOf(t, ta, "s", 1)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{
		{Events: events(1, 25, 1), Key: key}, {Events: events(1, 5, 1), Key: other},
	}}, begin)
	cps := ta.Checkpoints(begin.Add(checkpointEvery))
	assert.Equal(t, len(cps), 1)
	assert.Equal(t, len(cps[0].Partials), 1, "five events are soon made again")
	ta.CheckpointsSaved(cps)
	assert.Equal(t, len(ta.Checkpoints(begin.Add(2*checkpointEvery))), 0, "nothing new")

	next := tableOf(t, 2, "a")
	next.Accept(stepOf("s", 2), StoredStep{Checkpoints: cps}, false, begin)
	next.Place(begin)
	rq, _ := next.Request("a")
	assert.Equal(t, len(rq.Launches[0].Prior)+len(rq.Launches[1].Prior), 25)
	next.End("s")
	assert.DeepEqual(t, next.Garbage(), []string{checkpointKey("s", 0)})
}

func TestCheckpointsTakeTurns(t *testing.T) {
	// Symptom: after a loss of power some long items go on from seconds ago, and
	// always the same ones from far back.
	// Sequence: more text is made in a second than one value holds.
	// Cause: items were taken in the order of their step, the last ones never.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	ta.Place(begin)
	big := func(from, to int) []runner.Event {
		evs := events(from, to, 1)
		for i := range evs {
			evs[i].Data = make([]byte, partSize/checkpointEvents)
		}
		return evs
	}
	saved := map[string]bool{}
	for second := range 2 {
		var prs []runner.Progress
		for item := range 2 {
			_, key := keyOf(t, ta, "s", item)
			prs = append(prs, runner.Progress{Events: big(1, (second+1)*checkpointEvents), Key: key})
		}
		hear(ta, "a", runner.ExchangeResponse{Runs: prs}, begin)
		cps := ta.Checkpoints(begin.Add(time.Duration(second+1) * checkpointEvery))
		assert.Equal(t, len(cps[0].Partials), 1)
		saved[cps[0].Partials[0].Item] = true
		ta.CheckpointsSaved(cps)
	}
	assert.Equal(t, len(saved), 2)
}

func TestReuse(t *testing.T) {
	// A group that was not whole comes again: text that the later step may have
	// is used, other text only tells how long the item is.
	for _, tc := range []struct {
		name  string
		min   uint64
		prior int
	}{
		{"text that the step may have", 1, 3},
		{"text that is too old", 2, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := tableOf(t, 1, "a")
			ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
			ta.Place(begin)
			engine, key := keyOf(t, ta, "s", 0)
			hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 3, 1), Key: key}}}, begin)
			ta.End("s")
			again := stepOf("t", 1)
			again.Items[0].ID, again.MinVersion = "s-0-0", tc.min
			ta.Accept(again, StoredStep{}, false, begin)
			ir := ta.steps["t"].items[0]
			assert.Equal(t, len(ir.events), tc.prior)
			assert.Equal(t, ir.known, 3)
		})
	}
}

func TestWholeItemsOutliveTheScheduler(t *testing.T) {
	// Symptom: items that were whole are made again from the start.
	// Sequence: they end while the key-value service is away, so that they can't
	// be listed; the scheduler loses its lease.
	// Cause: attendants were let forget a run when it ended, not when it was
	// listed.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 2, 1), begin)
	key := runner.Key{Attempt: ta.attempt, Item: "s-0-0", Step: "s"}
	rq, _ := ta.Request("a")
	assert.DeepEqual(t, rq.Seen, []runner.Ack{{Ended: true, Events: 2, Key: key}})
	again := runner.ExchangeResponse{Runs: []runner.Progress{{First: 2, Key: key, State: runner.Complete}}}
	hear(ta, "a", again, begin)
	rq, _ = ta.Request("a")
	assert.Equal(t, len(rq.Forget), 0, "not listed")
	ta.Listed(ta.Due(begin.Add(time.Hour)), begin)
	rq, _ = ta.Request("a")
	assert.DeepEqual(t, rq.Forget, []runner.Key{key})
}

func TestReplacedEngine(t *testing.T) {
	// Symptom: an item waits for ever for a run that has ended.
	// Sequence: an engine starts again under another ID at the same address; for
	// a while both are known, and both are asked for at one attendant.
	// Cause: the exchange for the one took the other's runs for unknown, and had
	// the attendant forget them.
	ta := tableOf(t, 1, "old", "new")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	hear(ta, "old", runner.ExchangeResponse{Engine: "new"}, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	assert.Equal(t, engine, "new", "the old one is gone")
	hear(ta, "old", runner.ExchangeResponse{Runs: []runner.Progress{{Endpoint: "new", Key: key}}}, begin)
	rq, _ := ta.Request("old")
	assert.Equal(t, len(rq.Forget), 0)
}

func TestClocksThatDiffer(t *testing.T) {
	// Symptom: items are given up seconds after they came.
	// Sequence: a step is accepted by an entry whose time of day is a minute
	// behind; or the scheduler's own jumps a minute ahead.
	// Cause: the age of a step was taken from two clocks.
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 3)
	st.Accepted, st.MaxWait = begin.Add(-time.Minute), 40*time.Second
	ta.Accept(st, StoredStep{}, false, begin)
	ta.DropExpired(begin.Add(time.Second))
	for _, ir := range ta.steps["s"].items {
		assert.Equal(t, ir.state, waiting)
	}
}

func TestRequestsSayWhatIsNew(t *testing.T) {
	// A run is spoken of when the scheduler has more of it than it last said, until
	// an answer shows that this came.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 2, 1), Key: key}}}, begin)
	rq, _ := ta.Request(engine)
	assert.DeepEqual(t, rq.Seen, []runner.Ack{{Events: 2, Key: key}})
	rq, _ = ta.Request(engine)
	assert.Equal(t, len(rq.Seen), 1, "no answer yet")
	hear(ta, engine, runner.ExchangeResponse{}, begin)
	rq, _ = ta.Request(engine)
	assert.Equal(t, len(rq.Seen), 0)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{First: 2, Key: key, State: runner.Complete}}}, begin)
	rq, _ = ta.Request(engine)
	assert.DeepEqual(t, rq.Seen, []runner.Ack{{Ended: true, Events: 2, Key: key}})
	hear(ta, engine, runner.ExchangeResponse{}, begin)
	rq, _ = ta.Request(engine)
	assert.Equal(t, len(rq.Seen), 0)
}

func TestTakenOverTextStaysKept(t *testing.T) {
	// Symptom: results wait for 0.7 s after a change of scheduler.
	// Sequence: checkpoints hold most of the text of runs that go on; the next
	// scheduler takes the runs over and writes all of their text once more.
	// Cause: what was kept counted for nothing once a run was taken over.
	for _, tc := range []struct {
		name    string
		version uint64 // of the run's text
		kept    int
	}{
		{"the same text", 1, checkpointEvents},
		{"another run's text", 2, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := NewTable(2, nil)
			addEngines(ta, begin, "a")
			st := stepOf("s", 1)
			cp := Checkpoint{Partials: []Partial{{Events: events(1, checkpointEvents, 1), Item: st.Items[0].ID}}, Step: "s"}
			ta.Accept(st, StoredStep{Checkpoints: []Checkpoint{cp}}, false, begin)
			hear(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{
				{Events: events(1, checkpointEvents+5, tc.version), Key: runner.Key{Attempt: 7, Item: st.Items[0].ID, Step: "s"}},
			}}, begin)
			ir := ta.steps["s"].items[0]
			assert.Equal(t, ir.state, running)
			assert.Equal(t, len(ir.events), checkpointEvents+5)
			assert.Equal(t, ir.saved, tc.kept)
		})
	}
}

func TestAttendantNamesTheFormerEngine(t *testing.T) {
	// After eleven of twelve engines had crashed, two were given work for the rest of
	// the day and the items of three steps lay waiting. Each came back under another
	// ID. Its entry took the place of the former one's at once, while the attendant
	// still named the engine that had last ended a run there. That was not known any
	// more, so that it was taken for one that had come after:
	//
	//	19.7823 endpoint was replaced  by=i-e830f938d4 endpoint=i-c78cd98f56
	//	19.8135 engine joined          engine=i-e830f938d4
	//	19.8142 engine was replaced    engine=i-e830f938d4 by=i-c78cd98f56
	ta := tableOf(t, 1, "old")
	addEngines(ta, begin, "new")
	hear(ta, "new", runner.ExchangeResponse{Engine: "old"}, begin)
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, _ := keyOf(t, ta, "s", 0)
	assert.Equal(t, engine, "new")
}
