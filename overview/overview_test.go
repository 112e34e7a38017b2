package overview

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/hold"
)

const second = time.Second

// stepOf returns a step with the items in open, each in its own group unless set.
func stepOf(id, customer string, age time.Duration, open ...ItemRow) StepRow {
	sr := StepRow{Open: open, Service: "llm", Step: Step{Age: age, Customer: customer, Due: 8 * second, ID: id, Model: "m", Wanted: len(open)}}
	for i := range sr.Open {
		if sr.Open[i].Group == "" {
			sr.Open[i].Group = fmt.Sprint("g", i)
		}
		switch sr.Open[i].Stand {
		case ItemWaiting:
			sr.Items.Waiting++
		case ItemRunning:
			sr.Items.Running++
		case ItemScoring:
			sr.Items.Scoring++
		}
	}
	return sr
}

func runs(engine string, left time.Duration) ItemRow {
	return ItemRow{Engine: engine, Left: left, Stand: ItemRunning}
}

func waits(why Reason, turn, takes time.Duration) ItemRow {
	return ItemRow{Left: takes, Turn: turn, Wait: why}
}

// TestReasons checks lateness, expected end and reason of a step.
func TestReasons(t *testing.T) {
	engines := []Engine{
		{ID: "fast", Places: 2, Runs: 2, Service: "llm", State: Serving},
		{ID: "slow", Places: 2, Runs: 2, Service: "llm", State: Slow},
		{ID: "silent", Places: 2, Runs: 2, Service: "llm", State: Silent},
	}
	for name, tc := range map[string]struct {
		step   StepRow
		late   bool
		end    time.Duration
		reason Reason
		via    string
	}{
		"in time":             {stepOf("s", "", second, runs("fast", 3*second)), false, 4 * second, "", ""},
		"long item":           {stepOf("s", "", second, runs("fast", second), runs("fast", 9*second)), true, 10 * second, OwnLength, "fast"},
		"slow engine":         {stepOf("s", "", second, runs("fast", second), runs("slow", 9*second)), true, 10 * second, EngineSlow, "slow"},
		"silent attendant":    {stepOf("s", "", second, runs("silent", 9*second)), true, 10 * second, AttendantSilent, "silent"},
		"places in time":      {stepOf("s", "", second, runs("fast", second), waits(NoPlace, 0, 2*second)), false, 4 * second, NoPlace, ""},
		"places too late":     {stepOf("s", "", second, runs("fast", 4*second), waits(NoPlace, 0, 4*second)), true, 9 * second, NoPlace, ""},
		"scores":              {stepOf("s", "", 8*second, ItemRow{Left: second, Stand: ItemScoring}), true, 9 * second, Scoring, ""},
		"no version, in time": {stepOf("s", "", second, waits(NoVersion, 0, second)), false, 0, NoVersion, ""},
		"no version, late":    {stepOf("s", "", 9*second, waits(NoVersion, 0, second)), true, 0, NoVersion, ""},
		"held":                {stepOf("s", "", 9*second, waits(HeldByOperator, 0, second)), true, 0, HeldByOperator, ""},
		"others were first":   {stepOf("s", "", second, runs("fast", 8*second), waits(HeldBack, 0, second)), true, 10 * second, HeldBack, ""},
	} {
		t.Run(name, func(t *testing.T) {
			ov := Summarize(Snapshot{Engines: engines, Steps: []StepRow{tc.step}}, 0)
			got := ov.Steps[0]
			assert.Equal(t, got.Late, tc.late)
			assert.Equal(t, got.End, tc.end)
			assert.Equal(t, got.Reason, tc.reason)
			assert.Equal(t, got.Via, tc.via)
		})
	}
}

// A step needs as many groups as wanted, not all of them.
func TestUnwantedGroups(t *testing.T) {
	sr := stepOf("s", "", second, runs("a", second), runs("a", 2*second), runs("a", 30*second))
	sr.Wanted = 2
	got := Summarize(Snapshot{Steps: []StepRow{sr}}, 0).Steps[0]
	assert.Assert(t, !got.Late)
	assert.Equal(t, got.End, 3*second)
	sr.Wanted = 4
	got = Summarize(Snapshot{Steps: []StepRow{sr}}, 0).Steps[0]
	assert.Assert(t, got.Late)
	assert.Equal(t, got.Reason, ItemsLost)
	sr.Wanted, sr.Whole = 1, 1
	sr.Items.Whole = 8
	got = Summarize(Snapshot{Steps: []StepRow{sr}}, 0).Steps[0]
	assert.Equal(t, got.Reason, ToBeListed)
}

// overloadedSnapshot returns an overload: ten steps of one customer are ahead of those of three others, and of four
// engines one is slow, one drained and one silent.
func overloadedSnapshot() Snapshot {
	sn := Snapshot{
		Engines: []Engine{
			{Address: "10.0.0.1:80", Heard: second / 10, ID: "i-1", Median: 40 * time.Millisecond, Memory: 1000, Pace: 41 * time.Millisecond, Places: 4, Runs: 4, Service: "llm", State: Serving, Tokens: 700},
			{Address: "10.0.0.2:80", Heard: second / 10, ID: "i-2", Median: 40 * time.Millisecond, Memory: 1000, Pace: 120 * time.Millisecond, Places: 4, Runs: 4, Service: "llm", State: Slow, Tokens: 900},
			{Address: "10.0.0.3:80", Heard: second / 10, ID: "i-3", Median: 40 * time.Millisecond, Memory: 1000, Places: 4, Service: "llm", State: Drained},
			{Address: "10.0.0.4:80", Heard: -1, ID: "i-4", Places: 4, Service: "llm", State: Silent},
		},
		Shares: map[string]Share{
			"bakery": {Ahead: 4.5, Had: 0.7, Rank: 9}, "butcher": {Had: 0.1}, "mill": {Had: 0.05, Rank: 1}, "smithy": {Ahead: 1, Had: 0.15, Rank: 2}, "tailor": {},
		},
		Epoch: 3, Now: time.Date(2026, 1, 1, 0, 0, 9, 0, time.UTC), StoreHeard: second,
		Holds: []hold.Record{
			{At: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), By: "ada", Target: hold.Target{Kind: hold.Customer, Name: "mill"}, Why: "asks for too much"},
			{At: time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC), By: "bob", Target: hold.Target{Kind: hold.Endpoint, Name: "i-3"}, Why: "to be replaced"},
		},
	}
	for i := range 10 {
		sr := stepOf(fmt.Sprint("bakery:s", i), "bakery", time.Duration(i)*second, waits(NoPlace, second, 2*second), waits(NoPlace, second, 2*second))
		if i < 4 {
			sr = stepOf(sr.ID, "bakery", sr.Age, runs("i-1", second), runs("i-2", time.Duration(4+i)*second))
			sr.Tokens = 400
		}
		sn.Steps = append(sn.Steps, sr)
	}
	for _, customer := range []string{"butcher", "dairy"} {
		sn.Steps = append(sn.Steps, stepOf(customer+":s", customer, 2*second, waits(NoPlace, 5*second, 2*second)))
	}
	held := stepOf("mill:s", "mill", second, waits(HeldByOperator, second, second))
	held.Held = true
	sn.Steps = append(sn.Steps, held)
	return sn
}

// TestOverload checks that the overview shows which customer uses the capacity and whose steps are late.
func TestOverload(t *testing.T) {
	data, err := json.MarshalIndent(Summarize(overloadedSnapshot(), 0), "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(data)+"\n", "crowd.golden")
}

// The overview is bounded in size and omits the least troubled rows.
func TestOverviewBounds(t *testing.T) {
	sn := overloadedSnapshot()
	for i := range 2 * MaxRows {
		sn.Engines = append(sn.Engines, Engine{ID: fmt.Sprint("e", i), Service: "llm", State: Serving})
		sn.Steps = append(sn.Steps, stepOf(fmt.Sprint("c:s", i), fmt.Sprint("c", i), 0))
	}
	ov := Summarize(sn, 0)
	assert.Equal(t, len(ov.Engines), DefaultRows)
	assert.Equal(t, ov.Omitted.Engines, 2*MaxRows+4-DefaultRows)
	assert.Equal(t, ov.Engines[0].ID, "i-4")
	assert.Assert(t, ov.Steps[0].Late)
	assert.Equal(t, len(Summarize(sn, 10*MaxRows).Steps), MaxRows)
}

func TestEmptySnapshot(t *testing.T) {
	data, err := json.Marshal(Summarize(Snapshot{}, 0))
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"at":"0001-01-01T00:00:00Z","customers":[],"engines":[],"epoch":0,"holds":[],`+
		`"omitted":{"customers":0,"engines":0,"steps":0},"steps":[],"store-heard":0}`)
}
