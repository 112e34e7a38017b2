package step

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/runner"
)

func TestEndedStepsAreCut(t *testing.T) {
	// Guards against a slow failover: a new scheduler reads all stored steps, including the item bodies of ended ones
	// unless these are removed when a step ends.
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	ta := tableOf(t, 1, "a", "b")
	for _, id := range []string{"ended", "open"} {
		st := stepOf(id, 2)
		assert.NilError(t, sto.Accept(t.Context(), st))
		ta.Accept(st, StoredStep{}, false, begin)
	}
	ta.Place(begin)
	ta.End("ended")
	assert.Assert(t, ta.NextWrites(begin).empty(), "no write is made only to remove items")
	end(ta, t, "open", 0, runner.Complete, events(1, 1, 1), begin)
	ta.savedAt = begin.Add(-checkpointInterval)
	ta.steps["open"].items[1].events = events(1, minFirstEvents, 1)
	ws := ta.NextWrites(begin)
	assert.Equal(t, len(ws.Cuts), 1)
	for range 2 { // the write is idempotent
		_, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, ws)
		assert.NilError(t, err)
	}
	ta.WritesApplied(ws, begin)
	assert.Equal(t, len(ta.endedSteps), 0)

	ch, err := me.Client().Scan(t.Context(), intakePrefix)
	assert.NilError(t, err)
	var in intake
	accepted, _ := in.apply(ch.Items, true)
	assert.Equal(t, len(accepted), 2)
	assert.Equal(t, in.steps["ended"].Total(), 2)
	assert.Equal(t, len(in.steps["ended"].Items), 0)
	assert.Assert(t, in.ended["ended"], "without an end key")
	assert.Assert(t, !in.ended["open"])
	assert.Equal(t, len(in.steps["open"].Items), 2)

	next := NewTable(2, nil)
	next.Accept(in.steps["ended"], StoredStep{}, in.ended["ended"], begin)
	assert.Assert(t, !next.HasOpenWork())
	assert.Equal(t, len(next.endedSteps), 0)
	assert.Equal(t, next.steps["ended"].listingFrom(0).Total, 2)
	assert.DeepEqual(t, next.steps["ended"].step.body("ended-0-0"), BodyResponse{})
	assert.NilError(t, sto.Accept(t.Context(), stepOf("ended", 2)), "a repeated submission succeeds")
	li, err := sto.Read(t.Context(), ReadRequest{ID: "ended"})
	assert.NilError(t, err)
	assert.Equal(t, li.Total, 2)
}

func TestCutOfALargeStep(t *testing.T) {
	// Truncating a step that is stored in several values deletes all but the first. A step that has been dropped is
	// no longer truncated.
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	st := stepOf("s", 1)
	st.Items[0].Body = make([]byte, 2*partSize)
	assert.NilError(t, sto.Accept(t.Context(), st))
	st, err := sto.Load(t.Context(), "s")
	assert.NilError(t, err)
	assert.Equal(t, st.Parts, 3)
	_, err = sto.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{
		Chunks: []Chunk{{Step: "s"}}, Cuts: []*Step{st.withoutItems()},
	})
	assert.NilError(t, err)
	ch, err := me.Client().Scan(t.Context(), stepPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(ch.Items), 1)

	ta := NewTable(1, nil)
	ta.Accept(st, StoredStep{}, true, begin)
	assert.Equal(t, len(ta.endedSteps), 1)
	ta.DropOldSteps(0, begin.Add(1))
	assert.Equal(t, len(ta.endedSteps), 0)
}
