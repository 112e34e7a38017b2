package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

func TestListing(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 2, 1), begin)
	assert.Equal(t, len(ta.DueChunks(begin)), 0, "half a group")
	end(ta, t, "s", 1, runner.Complete, events(1, 1, 1), begin)
	chunks := ta.DueChunks(begin)
	assert.DeepEqual(t, chunks, []Chunk{{Step: "s", Results: []Result{
		{Item: "s-0-0", Text: []byte("e1\ne2"), Versions: []uint64{1}},
		{Item: "s-0-1", Text: []byte("e1"), Versions: []uint64{1}},
	}}})
	assert.DeepEqual(t, ta.DueChunks(begin), chunks) // until it is known to be written
	ta.ChunksListed(chunks, begin)
	assert.Equal(t, len(ta.DueChunks(begin.Add(time.Hour))), 0)
	assert.Equal(t, len(ta.steps["s"].listingFrom(1).Results), 1)
}

func TestResume(t *testing.T) {
	// Guards against losing the generated text, or a part of it, when a run breaks and
	// another engine resumes the item.
	ta := tableOf(t, 1, "a", "b")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	first, _ := keyOf(t, ta, "s", 0)
	end(ta, t, "s", 0, runner.Broken, events(1, 3, 1), begin)
	ta.Place(begin)
	second, _ := keyOf(t, ta, "s", 0)
	assert.Assert(t, first != second, "the engine that broke the run is avoided")
	rq, _ := ta.Request(second)
	assert.DeepEqual(t, rq.Launches[0].Prior, events(1, 3, 1))
	end(ta, t, "s", 0, runner.Complete, events(1, 5, 1), begin)
	assert.Equal(t, string(ta.steps["s"].items[0].result().Text), "e1\ne2\ne3\ne4\ne5")
}

func TestVersionsOfAText(t *testing.T) {
	// Guards against samples older than the trainer allows: the version is checked for
	// every event, not only at launch.
	for _, tc := range []struct {
		name     string
		single   bool
		versions []uint64
		usable   bool
	}{
		{"made by two versions", false, []uint64{2, 2, 3}, true},
		{"started by an old version", false, []uint64{1, 2}, false},
		{"ended by an old version", false, []uint64{2, 1}, false},
		{"unnamed version", false, []uint64{0}, false},
		{"a single version", true, []uint64{2, 2}, true},
		{"two versions where one is required", true, []uint64{2, 3}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := stepOf("s", 1)
			st.MinVersion, st.SingleVersion = 2, tc.single
			var evs []runner.Event
			for i, version := range tc.versions {
				evs = append(evs, runner.Event{ID: int64(i + 1), Version: version})
			}
			assert.Equal(t, st.allows(evs), tc.usable)
		})
	}
}

func TestOldEnginesGetNoItems(t *testing.T) {
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 1)
	st.MinVersion = 2
	ta.Accept(st, StoredStep{}, false, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, waiting)
	ta.SetVersion("model", 2)
	ta.OrderLoads(begin)
	rq, _ := ta.Request("a")
	assert.Equal(t, rq.Order.Version, uint64(2))
	respond(ta, "a", runner.ExchangeResponse{Ordered: 2, Report: runner.Report{Busy: true}}, begin)
	respond(ta, "a", runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"model": 2}}}, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
}

func TestAbandonedItems(t *testing.T) {
	// Guards against items that run for ever, and items abandoned too early.
	for _, tc := range []struct {
		name   string
		states []runner.State
		after  time.Duration
		want   itemState
	}{
		{"can never run", []runner.State{runner.Impossible}, 0, lost},
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
			ta.Accept(st, StoredStep{}, false, begin)
			for _, state := range tc.states {
				ta.Place(begin.Add(time.Second))
				end(ta, t, "s", 0, state, nil, begin)
			}
			ta.DropExpired(begin.Add(tc.after))
			assert.Equal(t, ta.steps["s"].items[0].state, tc.want)
		})
	}
}

func TestEndedStepsStop(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 2), StoredStep{}, false, begin)
	ta.Place(begin)
	_, key := keyOf(t, ta, "s", 0)
	ta.End("s")
	rq, _ := ta.Request("a")
	assert.Equal(t, len(rq.Launches), 0)
	assert.Equal(t, len(rq.Forget), 2)
	respond(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Key: key, Events: events(1, 2, 1)}}}, begin)
	assert.Equal(t, len(ta.DueChunks(begin.Add(time.Hour))), 0)
	assert.DeepEqual(t, ta.DropOldSteps(time.Minute, begin.Add(time.Hour)), []string{"s"})
}

// Guards against a memory leak: the wait queue and the group order of a step that has ended
// must not reference its items.
func TestEndedStepsReleaseItems(t *testing.T) {
	for _, due := range []time.Duration{0, 7500 * time.Millisecond} { // without and with planned capacity
		ta := tableOf(t, 1, "a")
		st := stepOf("s", 100, 100)
		st.Due = due
		ta.Accept(st, StoredStep{}, false, begin)
		ta.Place(begin)
		assert.Equal(t, ta.overloaded(st.Service), due > 0)
		assert.Equal(t, ta.steps["s"].queue.built, due == 0)
		ta.End("s")
		ta.Place(begin.Add(tickInterval))
		sr := ta.steps["s"]
		assert.Equal(t, len(sr.items)+len(sr.groupList)+len(ta.staleGroups), 0)
		if sp := ta.servicePlans[st.Service]; sp != nil {
			assert.Equal(t, len(sp.reserved)+len(sp.unreserved), 0)
		}
		assert.DeepEqual(t, sr.queue.built, false)
		for _, wq := range sr.queue.queues {
			assert.Equal(t, len(wq.entries), 0)
		}
	}
}

func TestMovedRunKeepsReservedSlot(t *testing.T) {
	// Guards against losing the target slot of a moved run to a waiting item while the
	// run stops.
	ta := tableOf(t, 1, "a", "b", "c")
	long := stepOf("s", 1)
	long.Items[0].Tokens = 8000
	ta.Accept(long, StoredStep{}, false, begin)
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
			respond(ta, id, re, now)
		}
		ta.MeasurePace(now)
		ta.MoveStragglers(now)
	}
	ir := ta.steps["s"].items[0]
	assert.Assert(t, ir.run.stopping)
	to := ir.moveTarget
	ta.Accept(stepOf("t", 9), StoredStep{}, false, begin)
	ta.Place(now)
	respond(ta, from, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, 2, 1), Key: key, State: runner.Stopped}}}, now)
	ta.Place(now)
	assert.Equal(t, ir.run.engineID, to)
	for _, en := range ta.engines {
		assert.Equal(t, len(en.incoming), 0, en.id)
	}
}

func TestEnginesAreSharedByWork(t *testing.T) {
	// Three models share the engines in proportion to their work. Without shares every
	// engine would load every version of every model.
	ta := NewTable(1, nil)
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("engine-", i))
	}
	addEngines(ta, begin, ids...)
	for _, id := range ids {
		respond(ta, id, runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"x": 1, "y": 1, "z": 1}}}, begin)
	}
	for model, size := range map[string]int{"x": 60, "y": 30, "z": 10} {
		st := stepOf("step-"+model, size)
		st.Model = model
		ta.Accept(st, StoredStep{}, false, begin)
		ta.SetVersion(model, 2)
	}
	have := map[string]int{}
	for range len(ids) {
		ta.OrderLoads(begin)
		for _, en := range ta.sortedEngines {
			if en.order != nil {
				have[en.order.Model]++
				respond(ta, en.id, runner.ExchangeResponse{
					Report: runner.Report{Versions: map[string]uint64{en.order.Model: en.order.Version}},
				}, begin)
			}
		}
	}
	assert.DeepEqual(t, have, map[string]int{"x": 6, "y": 3, "z": 1})
}

func TestOldResultsLeaveMemory(t *testing.T) {
	// Guards against unbounded memory: results of ended steps beyond maxCachedResults bytes
	// are dropped before their retention period ends.
	ta := tableOf(t, 1, "a")
	for i := range 4 {
		id := fmt.Sprint("step-", i)
		st := stepOf(id, 1)
		st.Accepted = begin.Add(time.Duration(i) * time.Second)
		ta.Accept(st, StoredStep{}, false, begin)
		ta.ChunksListed([]Chunk{{Step: id, Results: []Result{{Item: id + "-0-0", Text: make([]byte, maxCachedResults/2)}}}}, begin)
		ta.End(id)
	}
	ta.DropOldSteps(time.Hour, begin)
	held := map[string]int{}
	for id, sr := range ta.steps {
		held[id] = len(sr.results)
	}
	assert.DeepEqual(t, held, map[string]int{"step-0": 0, "step-1": 0, "step-2": 1, "step-3": 1})
}

func TestNoModelIsStarvedOfLoads(t *testing.T) {
	// Guards against starving the model that sorts last when versions are published
	// faster than the weight store can serve all engines.
	ta := NewTable(1, nil)
	var ids []string
	models := []string{"a", "b", "c", "d"}
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("engine-%02d", i))
	}
	addEngines(ta, begin, ids...)
	for _, id := range ids {
		respond(ta, id, runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1}}}, begin)
	}
	loads := map[string]int{}
	for round := range 40 { // four loads each; the versions need twenty
		if round%4 == 0 {
			for _, model := range models {
				ta.SetVersion(model, uint64(2+round/4))
			}
		}
		ta.OrderLoads(begin)
		for _, en := range ta.sortedEngines {
			if en.order != nil {
				loads[en.order.Model]++
				respond(ta, en.id, runner.ExchangeResponse{
					Report: runner.Report{Versions: map[string]uint64{en.order.Model: en.order.Version}},
				}, begin)
			}
		}
	}
	assert.DeepEqual(t, loads, map[string]int{"a": 40, "b": 40, "c": 40, "d": 40})
}

func TestLoadingEngineBeginsOtherModels(t *testing.T) {
	// An engine that loads weights of one model still starts runs of other models.
	ta := tableOf(t, 1, "a")
	respond(ta, "a", runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"model": 1, "other": 1}}}, begin)
	ta.SetVersion("other", 2)
	ta.OrderLoads(begin)
	respond(ta, "a", runner.ExchangeResponse{Ordered: 2, Report: runner.Report{Busy: true}}, begin)
	st := stepOf("other-step", 1)
	st.Model = "other"
	ta.Accept(st, StoredStep{}, false, begin)
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
	assert.Equal(t, ta.steps["other-step"].items[0].state, waiting)
}

func TestLengthOfUnreadGroup(t *testing.T) {
	// The length of an item is also remembered if its group was complete but not read
	// before the step ended: the group may come again in a later step.
	for _, listed := range []bool{false, true} {
		ta := tableOf(t, 1, "a")
		ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
		ta.Place(begin)
		end(ta, t, "s", 0, runner.Complete, events(1, 40, 1), begin)
		if listed {
			ta.ChunksListed(ta.DueChunks(begin.Add(time.Hour)), begin)
		}
		ta.End("s")
		again := stepOf("s", 1)
		again.ID, again.MinVersion = "again", 2
		ta.Accept(again, StoredStep{}, false, begin)
		assert.Equal(t, ta.steps["again"].items[0].knownEvents, 40)
		ta.End("again")
		ta.DropOldSteps(time.Hour, begin.Add(reuseRetention+1))
		assert.Equal(t, len(ta.knownLengths), 0)
	}
}
