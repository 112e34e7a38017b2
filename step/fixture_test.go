package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tableOf returns a table with engines whose attendants have responded.
func tableOf(t *testing.T, epoch uint64, engines ...string) *Table {
	t.Helper()
	ta := NewTable(epoch, nil)
	addEngines(ta, begin, engines...)
	for _, id := range engines {
		respond(ta, id, runner.ExchangeResponse{}, begin)
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

// respond delivers an exchange response of an engine's attendant, with version 1 of the weights
// unless the response reports versions.
func respond(ta *Table, id string, re runner.ExchangeResponse, now time.Time) {
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
	ta.HandleResponse(id, rq, re, now)
}

// stepOf returns a step with groups of the given sizes.
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

// keyOf returns the engine and key of an item's run, which must exist.
func keyOf(t *testing.T, ta *Table, step string, item int) (engine string, key runner.Key) {
	t.Helper()
	ir := ta.steps[step].items[item]
	assert.Equal(t, ir.state, running)
	return ir.run.engineID, ir.run.key
}

func end(ta *Table, t *testing.T, step string, item int, state runner.State, evs []runner.Event, now time.Time) {
	t.Helper()
	engine, key := keyOf(t, ta, step, item)
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: evs, Key: key, State: state}}}, now)
}
