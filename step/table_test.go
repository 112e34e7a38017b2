package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tableOf returns a table of an epoch with engines that have been heard from.
func tableOf(t *testing.T, epoch uint64, engines ...string) *Table {
	t.Helper()
	ta := NewTable(epoch, nil)
	addEngines(ta, begin, engines...)
	for _, id := range engines {
		hear(ta, id, runner.ExchangeResponse{}, begin)
	}
	return ta
}

func addEngines(ta *Table, now time.Time, engines ...string) {
	var infos []EngineInfo
	for _, id := range engines {
		infos = append(infos, EngineInfo{ID: id, Service: "service", Slots: 2, Tokens: 10000})
	}
	ta.SetEngines(infos, now)
}

// hear makes an engine's attendant answer, at version 1 unless the answer says
// more.
func hear(ta *Table, id string, re runner.ExchangeResponse, now time.Time) {
	re.Boot, re.Reachable = "boot", true
	if re.Report.Versions == nil {
		re.Report.Versions = map[string]uint64{"model": 1}
	}
	for i := range re.Runs {
		if re.Runs[i].Endpoint == "" {
			re.Runs[i].Endpoint = id
		}
	}
	rq, _ := ta.Request(id)
	ta.Heard(id, rq, re, now)
}

// stepOf returns a step with groups of the sizes given.
func stepOf(id string, sizes ...int) *Step {
	st := &Step{
		Accepted: begin, Due: 7500 * time.Millisecond, Groups: len(sizes), ID: id, MaxAttempts: 2, MinVersion: 1,
		Model: "model", Service: "service",
	}
	for group, size := range sizes {
		for i := range size {
			st.Items = append(st.Items, Item{
				Body: []byte("body"), Group: fmt.Sprint("g", group), ID: fmt.Sprintf("%s-%d-%d", id, group, i), Tokens: 1000,
			})
		}
	}
	return st
}

func events(from, to int, version uint64) []runner.Event {
	var evs []runner.Event
	for i := from; i <= to; i++ {
		evs = append(evs, runner.Event{Data: fmt.Append(nil, "e", i), ID: int64(i), Version: version})
	}
	return evs
}

// keyOf returns the run of a step's item, which must be placed.
func keyOf(t *testing.T, ta *Table, step string, item int) (engine string, key runner.Key) {
	t.Helper()
	ir := ta.steps[step].items[item]
	assert.Equal(t, ir.state, running)
	return ir.run.engine, ir.run.key
}

func end(ta *Table, t *testing.T, step string, item int, state runner.State, evs []runner.Event, now time.Time) {
	t.Helper()
	engine, key := keyOf(t, ta, step, item)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: evs, Key: key, State: state}}}, now)
}

func TestListing(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), Kept{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 2, 1), begin)
	assert.Equal(t, len(ta.Due(begin)), 0, "half a group")
	end(ta, t, "s", 1, runner.Complete, events(1, 1, 1), begin)
	chunks := ta.Due(begin)
	assert.DeepEqual(t, chunks, []Chunk{{Step: "s", Results: []Result{
		{Item: "s-0-0", Text: []byte("e1\ne2"), Versions: []uint64{1}},
		{Item: "s-0-1", Text: []byte("e1"), Versions: []uint64{1}},
	}}})
	assert.DeepEqual(t, ta.Due(begin), chunks) // until it is known to be written
	ta.Listed(chunks)
	assert.Equal(t, len(ta.Due(begin.Add(time.Hour))), 0)
	assert.Equal(t, len(ta.steps["s"].listing(1).Results), 1)
}

func TestResume(t *testing.T) {
	// Symptom: an item begins again, or its text has a hole.
	// Sequence: an engine breaks a run after three events; another goes on.
	// Cause: the text that was made was thrown away, or not told to the next.
	ta := tableOf(t, 1, "a", "b")
	ta.Accept(stepOf("s", 1), Kept{}, false, begin)
	ta.Place(begin)
	first, _ := keyOf(t, ta, "s", 0)
	end(ta, t, "s", 0, runner.Broken, events(1, 3, 1), begin)
	ta.Place(begin)
	second, _ := keyOf(t, ta, "s", 0)
	assert.Assert(t, first != second, "the engine that broke it comes last")
	rq, _ := ta.Request(second)
	assert.DeepEqual(t, rq.Launches[0].Prior, events(1, 3, 1))
	end(ta, t, "s", 0, runner.Complete, events(1, 5, 1), begin)
	assert.Equal(t, string(ta.steps["s"].items[0].result().Text), "e1\ne2\ne3\ne4\ne5")
}

func TestVersionsOfAText(t *testing.T) {
	// Symptom: a trainer gets a sample that is older than it allows.
	// Sequence: an item goes on under another version, or was made by an old one.
	// Cause: the version at the launch was taken for that of every event.
	for _, tc := range []struct {
		name     string
		single   bool
		versions []uint64
		usable   bool
	}{
		{"made by two versions", false, []uint64{2, 2, 3}, true},
		{"begun by an old one", false, []uint64{1, 2}, false},
		{"ended by an old one", false, []uint64{2, 1}, false},
		{"unnamed version", false, []uint64{0}, false},
		{"a single one", true, []uint64{2, 2}, true},
		{"two where one must be single", true, []uint64{2, 3}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := stepOf("s", 1)
			st.MinVersion, st.SingleVersion = 2, tc.single
			var evs []runner.Event
			for i, version := range tc.versions {
				evs = append(evs, runner.Event{ID: int64(i + 1), Version: version})
			}
			assert.Equal(t, st.fits(evs), tc.usable)
		})
	}
}

func TestOldEnginesGetNoItems(t *testing.T) {
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 1)
	st.MinVersion = 2
	ta.Accept(st, Kept{}, false, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, waiting)
	ta.SetVersion("model", 2)
	ta.Weights(begin)
	rq, _ := ta.Request("a")
	assert.Equal(t, rq.Order.Version, uint64(2))
	hear(ta, "a", runner.ExchangeResponse{Ordered: 2, Report: runner.Report{Busy: true}}, begin)
	hear(ta, "a", runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"model": 2}}}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
}

func TestGivenUpItems(t *testing.T) {
	// Symptom: an item runs for ever, or is given up while it may still be done.
	for _, tc := range []struct {
		name   string
		states []runner.State
		after  time.Duration
		want   itemState
	}{
		{"can never be done", []runner.State{runner.Impossible}, 0, lost},
		{"failed once of two", []runner.State{runner.Failed}, 0, waiting},
		{"failed twice", []runner.State{runner.Failed, runner.Failed}, 0, lost},
		{"broken often", []runner.State{runner.Broken, runner.Broken, runner.Broken}, 0, waiting},
		{"not run often", []runner.State{runner.NotRun, runner.NotRun, runner.NotRun}, 0, waiting},
		{"waited too long", nil, 44 * time.Second, lost},
		{"waited nearly too long", nil, 41 * time.Second, waiting},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := tableOf(t, 1, "a", "b")
			st := stepOf("s", 1)
			st.MaxWait = 40 * time.Second
			ta.Accept(st, Kept{}, false, begin)
			for _, state := range tc.states {
				ta.Place(begin.Add(time.Second))
				end(ta, t, "s", 0, state, nil, begin)
			}
			ta.GiveUp(begin.Add(tc.after))
			assert.Equal(t, ta.steps["s"].items[0].state, tc.want)
		})
	}
}

func TestReplacedEngine(t *testing.T) {
	// Symptom: an item waits for ever for a run that has ended.
	// Sequence: an engine starts again under another ID at the same address; for
	// a while both are known, and both are asked for at one attendant.
	// Cause: the exchange for the one took the other's runs for unknown, and had
	// the attendant forget them.
	ta := tableOf(t, 1, "old", "new")
	ta.Accept(stepOf("s", 1), Kept{}, false, begin)
	hear(ta, "old", runner.ExchangeResponse{Engine: "new"}, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	assert.Equal(t, engine, "new", "the old one is gone")
	hear(ta, "old", runner.ExchangeResponse{Runs: []runner.Progress{{Endpoint: "new", Key: key}}}, begin)
	rq, _ := ta.Request("old")
	assert.Equal(t, len(rq.Forget), 0)
}

func TestTakeOver(t *testing.T) {
	// Symptom: after a change of scheduler, items run twice, and what was made of
	// them is lost.
	// Sequence: a scheduler dies; attendants go on with its runs, one of which
	// ends meanwhile; the next has heard from one attendant of two.
	// Cause: items that no attendant has spoken of yet looked as if they waited.
	ta := NewTable(2, nil)
	addEngines(ta, begin, "a", "b")
	ta.Accept(stepOf("s", 2), Kept{}, false, begin)
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
	ta.Accept(stepOf("s", 1), Kept{}, false, begin)
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
	ta.Accept(stepOf("s", 2), Kept{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	_, other := keyOf(t, ta, "s", 1)
	hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{
		{Events: events(1, 25, 1), Key: key}, {Events: events(1, 5, 1), Key: other},
	}}, begin)
	cps := ta.Checkpoints(begin.Add(checkpointEvery))
	assert.Equal(t, len(cps), 1)
	assert.Equal(t, len(cps[0].Partials), 1, "five events are soon made again")
	ta.Saved(cps)
	assert.Equal(t, len(ta.Checkpoints(begin.Add(2*checkpointEvery))), 0, "nothing new")

	next := tableOf(t, 2, "a")
	next.Accept(stepOf("s", 2), Kept{Checkpoints: cps}, false, begin)
	next.Place(begin)
	rq, _ := next.Request("a")
	assert.Equal(t, len(rq.Launches[0].Prior)+len(rq.Launches[1].Prior), 25)
	next.End("s")
	assert.DeepEqual(t, next.Garbage(), []string{checkpointKey("s", 0)})
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
			ta.Accept(stepOf("s", 1), Kept{}, false, begin)
			ta.Place(begin)
			engine, key := keyOf(t, ta, "s", 0)
			hear(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 3, 1), Key: key}}}, begin)
			ta.End("s")
			again := stepOf("t", 1)
			again.Items[0].ID, again.MinVersion = "s-0-0", tc.min
			ta.Accept(again, Kept{}, false, begin)
			ir := ta.steps["t"].items[0]
			assert.Equal(t, len(ir.events), tc.prior)
			assert.Equal(t, ir.known, 3)
		})
	}
}

func TestEndedStepsStop(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), Kept{}, false, begin)
	ta.Place(begin)
	_, key := keyOf(t, ta, "s", 0)
	ta.End("s")
	rq, _ := ta.Request("a")
	assert.Equal(t, len(rq.Launches), 0)
	assert.Equal(t, len(rq.Forget), 2)
	hear(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Key: key, Events: events(1, 2, 1)}}}, begin)
	assert.Equal(t, len(ta.Due(begin.Add(time.Hour))), 0)
	assert.DeepEqual(t, ta.Forget(time.Minute, begin.Add(time.Hour)), []string{"s"})
}

func TestMovesKeepTheirPlace(t *testing.T) {
	// Symptom: a run goes to and fro between slow engines, and is late.
	// Sequence: an engine turns slow, its run is stopped, and items that waited
	// take the place for which it was.
	// Cause: nothing kept the place while the run stopped.
	ta := tableOf(t, 1, "a", "b", "c")
	long := stepOf("s", 1)
	long.Items[0].Tokens = 8000
	ta.Accept(long, Kept{}, false, begin)
	ta.Place(begin)
	from, key := keyOf(t, ta, "s", 0)
	now := begin
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, id := range []string{"a", "b", "c"} {
			re := runner.ExchangeResponse{Report: runner.Report{Pace: 40 * time.Millisecond, PaceGaps: paceGaps}}
			if id == from {
				re.Report.Pace = 160 * time.Millisecond
				re.Runs = []runner.Progress{{Events: events(1, 2, 1), Key: key}}
			}
			hear(ta, id, re, now)
		}
		ta.Paces(now)
		ta.Move(now)
	}
	ir := ta.steps["s"].items[0]
	assert.Assert(t, ir.run.stopping)
	to := ir.target
	ta.Accept(stepOf("t", 9), Kept{}, false, begin)
	ta.Place(now)
	hear(ta, from, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 2, 1), Key: key, State: runner.Stopped}}}, now)
	ta.Place(now)
	assert.Equal(t, ir.run.engine, to)
	for _, en := range ta.engines {
		assert.Equal(t, en.reserved, 0, en.id)
	}
}

func TestEnginesAreSharedByWork(t *testing.T) {
	// Load pattern: three trainers with models of their own share the engines;
	// baseline: each engine loads every version of each, and is never done.
	ta := NewTable(1, nil)
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("engine-", i))
	}
	addEngines(ta, begin, ids...)
	for _, id := range ids {
		hear(ta, id, runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"x": 1, "y": 1, "z": 1}}}, begin)
	}
	for model, size := range map[string]int{"x": 60, "y": 30, "z": 10} {
		st := stepOf("step-"+model, size)
		st.Model = model
		ta.Accept(st, Kept{}, false, begin)
		ta.SetVersion(model, 2)
	}
	ta.Weights(begin)
	have := map[string]int{}
	ordered := 0
	for _, en := range ta.sorted {
		have[en.model]++
		if en.order != nil {
			ordered++
			assert.Equal(t, en.order.Model, en.model)
		}
	}
	assert.DeepEqual(t, have, map[string]int{"x": 6, "y": 3, "z": 1})
	assert.Assert(t, ordered >= leastAtOnce)
}

func TestOldResultsLeaveMemory(t *testing.T) {
	// Symptom: a scheduler runs out of memory after half a minute of four trainers.
	// Sequence: steps end one after the other, and all their results are held.
	// Cause: nothing but the end of the time for which they can be read freed them.
	ta := tableOf(t, 1, "a")
	for i := range 4 {
		id := fmt.Sprint("step-", i)
		st := stepOf(id, 1)
		st.Accepted = begin.Add(time.Duration(i) * time.Second)
		ta.Accept(st, Kept{}, false, begin)
		ta.Listed([]Chunk{{Step: id, Results: []Result{{Item: id + "-0-0", Text: make([]byte, cachedResults/2)}}}})
		ta.End(id)
	}
	ta.Forget(time.Hour, begin)
	held := map[string]int{}
	for id, sr := range ta.steps {
		held[id] = len(sr.results)
	}
	assert.DeepEqual(t, held, map[string]int{"step-0": 0, "step-1": 0, "step-2": 1, "step-3": 1})
}

func TestCheckpointsTakeTurns(t *testing.T) {
	// Symptom: after a loss of power some long items go on from seconds ago, and
	// always the same ones from far back.
	// Sequence: more text is made in a second than one value holds.
	// Cause: items were taken in the order of their step, the last ones never.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), Kept{}, false, begin)
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
		ta.Saved(cps)
	}
	assert.Equal(t, len(saved), 2)
}

func TestWholeItemsOutliveTheScheduler(t *testing.T) {
	// Symptom: items that were whole are made again from the start.
	// Sequence: they end while the key-value service is away, so that they can't
	// be listed; the scheduler loses its lease.
	// Cause: attendants were let forget a run when it ended, not when it was
	// listed.
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), Kept{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 2, 1), begin)
	key := runner.Key{Attempt: ta.attempt, Item: "s-0-0", Step: "s"}
	again := runner.ExchangeResponse{Runs: []runner.Progress{{First: 2, Key: key, State: runner.Complete}}}
	hear(ta, "a", again, begin)
	rq, _ := ta.Request("a")
	assert.Equal(t, len(rq.Forget), 0, "not listed")
	assert.DeepEqual(t, rq.Seen, []runner.Seen{{Events: 2, Key: key}})
	ta.Listed(ta.Due(begin.Add(time.Hour)))
	rq, _ = ta.Request("a")
	assert.DeepEqual(t, rq.Forget, []runner.Key{key})
}
