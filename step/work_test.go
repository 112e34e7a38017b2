package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/hold"
)

// Open work includes waiting and running items, due with their steps.
func TestOpenWork(t *testing.T) {
	ta := tableOf(t, 1, "a")
	first, second := stepOf("s", 2), stepOf("t", 1)
	second.Service = "other"
	ta.Accept(first, StoredStep{}, false, begin)
	ta.Accept(second, StoredStep{}, false, begin)
	ta.Place(begin)
	works := ta.openWork(begin.Add(time.Second))
	assert.Equal(t, len(works), 2)
	assert.Equal(t, works["service"][0].Due, first.Due-time.Second)
	assert.Equal(t, works["service"][0].Work, 2*ta.steps["s"].items[0].expectedTime())
	ta.End("s")
	ta.End("t")
	assert.Equal(t, len(ta.openWork(begin)), 0)
}

func TestOpenWorkExcludesBlockedItems(t *testing.T) {
	// Guards against scaling up for items that can't start: those held by an operator.
	for name, stop := range map[string]func(t *testing.T, ta *Table){
		"held": func(t *testing.T, ta *Table) {
			ta.SetHolds(holdsOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ta := tableOf(t, 1, "a")
			ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
			ta.Accept(stepOf("t", 1), StoredStep{}, false, begin)
			assert.Equal(t, len(ta.openWork(begin)["service"]), 2)
			stop(t, ta)
			assert.Equal(t, len(ta.openWork(begin)["service"]), 1)
		})
	}
}

// A running item counts as open work even if it is held.
func TestOpenWorkIncludesRunningHeldItems(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	ta.SetHolds(holdsOf(t, nil, hold.Target{Kind: hold.Step, Name: "s"}), begin)
	assert.Equal(t, len(ta.openWork(begin)["service"]), 1)
}
