package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloaded returns a table of one engine with two places, and a step of as many items
// of the hint given as take twice the time that the step may.
func overloaded(t *testing.T, hint int) *Table {
	t.Helper()
	ta := tableOf(t, 1, "a")
	st := stepOf("large", 60)
	st.Customer = "large"
	for i := range st.Items {
		st.Items[i].Hint, st.Items[i].Tokens = hint, 4*hint
	}
	ta.Accept(st, StoredStep{}, false, begin)
	ta.engines["a"].tokens = 0 // memory is not what lacks
	return ta
}

// Load pattern: items wait for places everywhere, and half of all runs last less than a
// second, so that a place that stands empty between two runs is a tenth of the room.
func TestOneItemMoreIsSentAheadOfAnEnd(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hint  int
		small bool // another customer asks for less than its part
		want  int  // items at the engine
	}{
		{"runs end soon", 450, false, 3},
		{"runs last", 900, false, 2},
		{"a small customer may come", 450, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := overloaded(t, tc.hint)
			if tc.small {
				st := stepOf("small", 1)
				st.Customer = "small"
				ta.Accept(st, StoredStep{}, false, begin)
			}
			for now := begin; now.Before(begin.Add(time.Second)); now = now.Add(tickEvery) {
				ta.ChargeUsage(now)
				ta.Place(now)
			}
			assert.Assert(t, ta.crowded("service"))
			assert.Equal(t, len(ta.engines["a"].items), tc.want)
		})
	}
}

// Load pattern: a third of the engines are slow all day, and items wait for all places. A
// run that leaves a slow one takes a place that another item waits for.
func TestRunsMoveOnlyToBeInTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration // of the step
		want bool
	}{
		{"in time where it is", 0, false},
		{"in time elsewhere alone", 6500 * time.Millisecond, true},
		{"late anywhere", 7500 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta, irs := crowded(t, 40*time.Millisecond, 100)
			from, to := ta.engines["a"], ta.engines["b"]
			from.base, to.base = 100*time.Millisecond, 40*time.Millisecond
			now := begin.Add(tc.age)
			irs[0].item.Hint, irs[0].run.eventAt = 1000, now // 16 events to come
			assert.Equal(t, ta.saves(irs[0], from, to, now), tc.want)
		})
	}
}

// Load pattern: the room is given to one step after the other. A step whose model only its
// share of the engines has would leave the others to what is late.
func TestAllEnginesTakeAllModelsWhileCrowded(t *testing.T) {
	ta := overloaded(t, 900)
	addEngines(ta, begin, "a", "b", "c", "d")
	for _, en := range ta.sorted {
		en.versions = map[string]uint64{"model": 1, "other": 1}
	}
	ta.SetVersion("model", 2)
	ta.SetVersion("other", 2)
	before := ta.shares(ta.sorted)
	assert.Assert(t, before["model"]+before["other"] < 4.01, "with room, each has its share: %v", before)
	assert.Equal(t, ta.neededLag("service"), uint64(0))
	ta.planRoom(begin)
	assert.Assert(t, ta.crowded("service"))
	assert.DeepEqual(t, ta.shares(ta.sorted), map[string]float64{"model": 4, "other": 4})
	assert.Equal(t, ta.neededLag("service"), uint64(uselessLag-1), "what steps take can wait for what they don't")
}
