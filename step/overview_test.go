package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/hold"
	"wisteriacroft/overview"
	"wisteriacroft/runner"
)

// TestWaitReasons checks the reason that an overview gives for each condition that prevents placement.
func TestWaitReasons(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(ta *Table, st *Step)
		away    time.Duration // time since the last answer of the key-value service
		want    overview.Reason
	}{
		"free":                     {func(*Table, *Step) {}, 0, overview.ToBePlaced},
		"key-value service away":   {func(*Table, *Step) {}, time.Minute, overview.StoreAway},
		"no engine of the service": {func(_ *Table, st *Step) { st.Service = "other" }, 0, overview.NoEngine},
		"version":                  {func(_ *Table, st *Step) { st.MinVersion = 2 }, 0, overview.NoVersion},
		"leaving":                  {func(ta *Table, _ *Step) { ta.engines["a"].leaving = true }, 0, overview.NoneServes},
		"loading": {func(ta *Table, _ *Step) {
			ta.engines["a"].order = &runner.Order{Model: "model", Version: 2}
		}, 0, overview.WeightsLoad},
		"places": {func(ta *Table, _ *Step) { ta.engines["a"].foreignRequests = 2 }, 0, overview.NoPlace},
		"memory": {func(ta *Table, _ *Step) {
			ta.Accept(stepOf("u", 1), StoredStep{}, false, begin)
			ta.Place(begin)
			ta.engines["a"].report.Tokens = 9999
		}, 0, overview.NoMemory},
		"hold": {func(ta *Table, _ *Step) {
			sh, _, _ := (*hold.Set)(nil).Apply(hold.Change{
				Action: hold.Held, Record: hold.Record{By: "ada", Target: hold.Target{Kind: hold.Step, Name: "s"}, Why: "test"},
			})
			ta.SetHolds(sh, begin)
		}, 0, overview.HeldByOperator},
	} {
		t.Run(name, func(t *testing.T) {
			ta := tableOf(t, 1, "a")
			st := stepOf("s", 1)
			tc.prepare(ta, st)
			ta.Accept(st, StoredStep{}, false, begin)
			sn := ta.Snapshot(tc.away, begin)
			row := sn.Steps[len(sn.Steps)-1]
			assert.Equal(t, row.ID, "s")
			assert.Equal(t, row.Open[0].Wait, tc.want)
		})
	}
}

func TestHeldBackItem(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	sn := ta.Snapshot(0, begin.Add(maxPlacingDelay+1))
	assert.Equal(t, sn.Steps[0].Open[0].Wait, overview.HeldBack)
}

// TestStepOverview checks the overview of a step with listed, running and waiting items.
func TestStepOverview(t *testing.T) {
	ta := tableOf(t, 7, "a", "b")
	st := stepOf("s", 2, 2, 2)
	st.Customer, st.Groups = "bakery", 2
	ta.Accept(st, StoredStep{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 3, 1), begin)
	end(ta, t, "s", 1, runner.Complete, events(1, 3, 1), begin)
	ta.ChunksListed(ta.NextWrites(begin.Add(time.Second)).Chunks, begin)
	now := begin.Add(2 * time.Second)
	ov := overview.Summarize(ta.Snapshot(0, now), 0)
	assert.Equal(t, ov.Epoch, uint64(7))
	assert.Equal(t, len(ov.Steps), 1)
	got := ov.Steps[0]
	assert.Equal(t, got.Whole, 1)
	assert.Equal(t, got.Wanted, 2)
	assert.Equal(t, got.Age, 2*time.Second)
	assert.DeepEqual(t, got.Items, overview.Items{Listed: 2, Running: 2, Waiting: 2, Whole: 2})
	assert.Equal(t, ov.Customers[0].Part, 1.0)
	assert.Equal(t, ov.Customers[0].Had, 0.0, "nothing is counted yet")
	ta.ChargeUsage(now)
	ta.ChargeUsage(now.Add(time.Second))
	ov = overview.Summarize(ta.Snapshot(0, now.Add(time.Second)), 0)
	assert.Equal(t, ov.Customers[0].Had, 1.0)
	assert.Equal(t, ov.Customers[0].Name, "bakery")
	assert.Equal(t, len(ov.Engines), 2)
	assert.Equal(t, ov.Engines[0].State, overview.Silent, "no response for two seconds")
}

func TestLoadIsLogged(t *testing.T) {
	// The log must show, for a later inquiry, that one customer's steps took all slots while another one's waited.
	ta := tableOf(t, 1, "a")
	lines := map[string][]map[string]any{}
	ta.log = func(event string, fields map[string]any) { lines[event] = append(lines[event], fields) }
	first, second := stepOf("s", 2), stepOf("t", 1)
	first.Customer, second.Customer = "bakery", "mill"
	ta.Accept(first, StoredStep{}, false, begin)
	ta.Place(begin)
	ta.LogLoad(0, begin)
	assert.Equal(t, len(lines["load"]), 0, "nothing waits")
	ta.Accept(second, StoredStep{}, false, begin)
	ta.LogLoad(0, begin.Add(time.Second))
	assert.Equal(t, lines["load"][0]["waiting"], 1)
	assert.Equal(t, lines["load"][0]["places"], 2)
	assert.Equal(t, len(lines["load of customer"]), 2)
	mill, bakery := lines["load of customer"][0], lines["load of customer"][1]
	assert.Equal(t, mill[customerField], "mill")
	assert.Equal(t, mill[whyField], string(overview.NoPlace))
	assert.Equal(t, mill["age-ms"], int64(1000))
	assert.Equal(t, bakery["part"], 1.0)
	for i := range 3 * maxLoadLines {
		st := stepOf(fmt.Sprint("u", i), 1)
		st.Customer = fmt.Sprint("c", i)
		ta.Accept(st, StoredStep{}, false, begin)
	}
	clear(lines)
	ta.LogLoad(0, begin.Add(time.Second))
	assert.Equal(t, len(lines["load of customer"]), maxLoadLines)
}

// BenchmarkLogLoad measures the periodic logging of the load, during which placement waits.
func BenchmarkLogLoad(b *testing.B) {
	ta := loadedTable(1100, 6)
	now := begin.Add(time.Second)
	for b.Loop() {
		ta.LogLoad(0, now)
	}
}

// BenchmarkSnapshot measures copying the data of an overview, during which placement waits, with all slots in use
// and as many items waiting.
func BenchmarkSnapshot(b *testing.B) {
	ta := loadedTable(1100, 6)
	now := begin.Add(time.Second)
	for b.Loop() {
		ta.Snapshot(0, now)
	}
}

// BenchmarkOverview measures summarizing the data that BenchmarkSnapshot copies.
func BenchmarkOverview(b *testing.B) {
	sn := loadedTable(1100, 6).Snapshot(0, begin.Add(time.Second))
	for b.Loop() {
		overview.Summarize(sn, 0)
	}
}

// loadedTable returns a table with all engine slots in use and as many items waiting.
func loadedTable(engines, trainers int) *Table {
	const slots = 16
	ta := NewTable(1, nil)
	var infos []EngineInfo
	for i := range engines {
		infos = append(infos, EngineInfo{ID: fmt.Sprint("i-", i), Service: "service", Slots: slots, Tokens: 100000})
	}
	ta.SetEngines(infos, begin)
	for _, in := range infos {
		rq, _ := ta.Request(in.ID)
		ta.HandleResponse(in.ID, rq, runner.ExchangeResponse{
			Boot: "boot", Reachable: true, Report: runner.Report{Versions: map[string]uint64{"model": 1}},
		}, begin)
	}
	sizes := make([]int, 2*engines*slots/trainers/8)
	for i := range sizes {
		sizes[i] = 8
	}
	for i := range trainers {
		ta.Accept(stepOf(fmt.Sprint("s", i), sizes...), StoredStep{}, false, begin)
	}
	ta.Place(begin)
	return ta
}
