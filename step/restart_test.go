package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/incarnation"
	"wisteriacroft/runner"
)

// reportOf returns an attendant's response that reports an engine's incarnation and weights version.
func reportOf(born incarnation.Number, version uint64) runner.ExchangeResponse {
	return runner.ExchangeResponse{Report: runner.Report{Incarnation: born, Versions: map[string]uint64{"model": version}}}
}

// setEntry updates the table with an engine's directory entry.
func setEntry(ta *Table, born incarnation.Number, version uint64) {
	ta.SetEngines([]EngineInfo{{
		ID: "a", Incarnation: born, Service: "service", Slots: 2, Versions: map[string]uint64{"model": version},
	}}, begin)
}

func TestEngineRestartsUnderSameID(t *testing.T) {
	// Guards against state of an engine's former process, such as slow, replaced or loaded versions, being applied to
	// its restart under the same ID, whatever the order of directory entries and reports.
	for _, tc := range []struct {
		name string
		tell func(ta *Table)
	}{
		{"report arrives first", func(ta *Table) { respond(ta, "a", reportOf(20, 2), begin) }},
		{"entry arrives first", func(ta *Table) { setEntry(ta, 20, 2) }},
		{"old report arrives later", func(ta *Table) {
			setEntry(ta, 20, 2)
			respond(ta, "a", reportOf(10, 5), begin)
		}},
		{"old entry arrives later", func(ta *Table) {
			respond(ta, "a", reportOf(20, 2), begin)
			setEntry(ta, 10, 5)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := NewTable(1, nil)
			setEntry(ta, 10, 5)
			respond(ta, "a", reportOf(10, 5), begin)
			en := ta.engines["a"]
			en.replaced, en.brokeRunAt, en.slowAt, en.basePace = true, begin, begin, time.Second
			tc.tell(ta)
			assert.Equal(t, en.incarnation, incarnation.Number(20))
			assert.Assert(t, !en.replaced && !en.slow(begin) && en.brokeRunAt.IsZero() && en.basePace == 0)
			assert.Equal(t, en.versions["model"], uint64(2))
		})
	}
}

func TestUnknownIncarnation(t *testing.T) {
	// A report or directory entry without an incarnation doesn't reset the state of the engine.
	ta := NewTable(1, nil)
	setEntry(ta, 10, 5)
	respond(ta, "a", reportOf(10, 5), begin)
	en := ta.engines["a"]
	en.slowAt = begin
	respond(ta, "a", reportOf(0, 6), begin)
	setEntry(ta, 0, 5)
	assert.Assert(t, en.slow(begin))
	assert.Equal(t, en.incarnation, incarnation.Number(10))
	assert.Equal(t, en.versions["model"], uint64(6), "reports take precedence over entries")
}

func TestRunsOfFormerIncarnation(t *testing.T) {
	// Guards against an item being stuck on an engine that restarted and whose attendant never responds again.
	ta := NewTable(1, nil)
	setEntry(ta, 10, 1)
	respond(ta, "a", reportOf(10, 1), begin)
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	assert.Equal(t, ta.steps["s"].items[0].state, running)
	setEntry(ta, 20, 1)
	ta.EvictSilent(begin.Add(responseTimeout + time.Millisecond))
	assert.Equal(t, ta.steps["s"].items[0].state, waiting)
}

func TestEngineRestartsAtOtherAddress(t *testing.T) {
	// After a restart at another address, exchanges use the new address.
	ta := NewTable(1, nil)
	ta.SetEngines([]EngineInfo{{Address: "one", ID: "a", Incarnation: 10}}, begin)
	ta.SetEngines([]EngineInfo{{Address: "two", ID: "a", Incarnation: 20}}, begin)
	assert.Equal(t, ta.attendantAddress("a"), "two")
	assert.Equal(t, ta.attendantAddress("b"), "")
}
