package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloaded returns a table of one engine with two slots, and a step whose items, of the given hint, take longer
// than its due time allows.
func overloaded(t *testing.T, hint int) *Table {
	t.Helper()
	ta := tableOf(t, 1, "a")
	st := stepOf("large", 60)
	st.Customer = "large"
	for i := range st.Items {
		st.Items[i].Hint, st.Items[i].Tokens = hint, 4*hint
	}
	ta.Accept(st, StoredStep{}, false, begin)
	ta.engines["a"].tokens = 0 // memory is not the limit
	return ta
}

// With short runs, the idle time of a slot between two runs is a considerable part of the capacity. One more item is
// sent to a full engine when a run is about to end.
func TestItemIsSentAheadOfRunEnd(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hint  int
		small bool // another customer uses less than its share
		want  int  // items on the engine
	}{
		{"runs end soon", 450, false, 3},
		{"runs don't end soon", 900, false, 2},
		{"a small customer competes", 450, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := overloaded(t, tc.hint)
			if tc.small {
				st := stepOf("small", 1)
				st.Customer = "small"
				ta.Accept(st, StoredStep{}, false, begin)
			}
			for now := begin; now.Before(begin.Add(time.Second)); now = now.Add(tickInterval) {
				ta.ChargeUsage(now)
				ta.Place(now)
			}
			assert.Assert(t, ta.overloaded("service"))
			assert.Equal(t, len(ta.engines["a"].items), tc.want)
		})
	}
}

// While all slots are in use, a run moves to a faster engine only if its step is in time there and late otherwise:
// the slot could serve a waiting item instead.
func TestRunsMoveOnlyToBeInTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration // age of the step
		want bool
	}{
		{"in time on its engine", 0, false},
		{"in time only on the other engine", 6500 * time.Millisecond, true},
		{"late on both", 7500 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta, irs := fullEngine(t, 40*time.Millisecond, 100)
			from, to := ta.engines["a"], ta.engines["b"]
			from.basePace, to.basePace = 100*time.Millisecond, 40*time.Millisecond
			now := begin.Add(tc.age)
			irs[0].item.Hint, irs[0].run.eventAt = 1000, now // 16 events left
			assert.Equal(t, ta.makesInTime(irs[0], from, to, now), tc.want)
		})
	}
}

// Under overload, steps run one after the other, so every engine must hold every model: otherwise the engines without
// the model of the current step would run steps that are late anyway.
func TestAllEnginesLoadAllModelsUnderOverload(t *testing.T) {
	ta := overloaded(t, 900)
	addEngines(ta, begin, "a", "b", "c", "d")
	for _, en := range ta.sortedEngines {
		en.versions = map[string]uint64{"model": 1, "other": 1}
	}
	ta.SetVersion("model", 2)
	ta.SetVersion("other", 2)
	before := ta.engineShares(ta.sortedEngines)
	assert.Assert(t, before["model"]+before["other"] < 4.01, "without overload, each model has its share: %v", before)
	assert.Equal(t, ta.toleratedLag("service"), uint64(0))
	ta.planCapacity(begin)
	assert.Assert(t, ta.overloaded("service"))
	assert.DeepEqual(t, ta.engineShares(ta.sortedEngines), map[string]float64{"model": 4, "other": 4})
	assert.Equal(t, ta.toleratedLag("service"), uint64(unusableLag-1), "a version that steps still accept may wait for one that they don't")
}
