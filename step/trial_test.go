package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
)

func TestItemIsQuarantinedAfterEngineCrashes(t *testing.T) {
	// An item that crashes its engines must be quarantined before it takes down all of them.
	for _, tc := range []struct {
		name  string
		ended bool
		runs  int // within a second
	}{
		{"its engines end", true, 3},
		{"its connections break", false, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := tableOf(t, 1, "a", "b", "c")
			ta.Accept(stepOf("s", 1, 1), StoredStep{}, false, begin)
			runs := 0
			for at := begin; at.Before(begin.Add(time.Second)); at = at.Add(50 * time.Millisecond) {
				ta.Place(at)
				ir := ta.steps["s"].items[0]
				if ir.state != running {
					continue
				}
				runs++
				respond(ta, ir.run.engineID, runner.ExchangeResponse{Runs: []runner.Progress{{
					EngineEnded: tc.ended, Key: ir.run.key, State: runner.Broken,
				}}}, at)
			}
			assert.Equal(t, runs, tc.runs)
			keyOf(t, ta, "s", 1) // the other item still runs
		})
	}
}

func TestQuarantineIsKeptByNextScheduler(t *testing.T) {
	// Strikes are kept for the next scheduler and for later steps with the same item.
	shared := &quarantine.Table{}
	for _, step := range []string{"s", "t"} {
		ta := tableOf(t, 1, "a", "b", "c")
		ta.quarantine = shared
		st := stepOf("s", 1)
		st.ID = step
		ta.Accept(st, StoredStep{}, false, begin)
		ir := ta.steps[step].items[0]
		for shared.CheckItem(ir.digest, begin).Strikes < 6 {
			shared.RecordCrash(ir.digest, string(rune('0'+shared.CheckItem(ir.digest, begin).Strikes)), begin)
		}
		ta.Place(begin.Add(time.Hour))
		assert.Equal(t, ir.state, waiting)
		assert.Equal(t, len(shared.Records(begin)), 6, "it is the same item")
	}
}

// respondAll delivers responses of all attendants: each run makes one event and completes after
// length events, unless ends reports that its engine has ended.
func respondAll(ta *Table, ids []string, now time.Time, length int, ends func(en *engineRow) bool) {
	for _, id := range ids {
		en := ta.engines[id]
		ended := ends(en)
		var re runner.ExchangeResponse
		for key, ir := range en.items {
			pr := runner.Progress{First: len(ir.events), Key: key}
			switch {
			case ended:
				pr.EngineEnded, pr.State = true, runner.Broken
			case len(ir.events) < length:
				pr.Events = events(len(ir.events)+1, len(ir.events)+1, 1)
			default:
				pr.State = runner.Complete
			}
			re.Runs = append(re.Runs, pr)
		}
		respond(ta, id, re, now)
	}
}

// Items that crash their engines are tried alone, so that each takes at most three engines
// and the items beside it aren't quarantined.
func TestItemsThatCrashEnginesAreTriedAlone(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	ta := tableOf(t, 1, ids...)
	for _, en := range ta.engines {
		en.slots = 5
	}
	ta.Accept(stepOf("s", 8, 8, 8, 8, 8), StoredStep{}, false, begin)
	items := ta.steps["s"].items
	deadly := map[*itemRow]int{items[3]: 0, items[20]: 0}
	for at := begin; at.Before(begin.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
		ta.Place(at)
		respondAll(ta, ids, at, 15, func(en *engineRow) bool {
			ends := false
			for ir := range deadly {
				if ir.run.engineID == en.id && ir.state == running {
					ends = true
					deadly[ir]++
				}
			}
			return ends
		})
	}
	for ir, ends := range deadly {
		assert.Assert(t, ends <= 3, "%s took %d engines", ir.item.ID, ends)
		assert.Assert(t, ta.quarantined(ir, begin.Add(time.Hour)), "it is barred")
	}
	for _, ir := range items {
		_, ended := deadly[ir]
		assert.Equal(t, ir.state == complete, !ended, "%s", ir.item.ID)
	}
}

// Guards against crashes of many engines that turn all items of a step into suspects, which
// would then be tried one after the other.
func TestCrashesOfManyEnginesDelayNoItem(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	ta := tableOf(t, 1, ids...)
	for _, en := range ta.engines {
		en.slots = 6
	}
	ta.Accept(stepOf("s", 8, 8, 8, 8), StoredStep{}, false, begin)
	lastRun := map[*itemRow]time.Time{}
	for at := begin; at.Before(begin.Add(8 * time.Second)); at = at.Add(50 * time.Millisecond) {
		ta.Place(at)
		crash := at.Equal(begin.Add(150*time.Millisecond)) || at.Equal(begin.Add(650*time.Millisecond))
		respondAll(ta, ids, at, 60, func(en *engineRow) bool { return crash && en.id < "e" })
		for _, ir := range ta.steps["s"].items {
			if ir.state != waiting {
				lastRun[ir] = at
			}
			assert.Assert(t, at.Sub(lastRun[ir]) < 3*time.Second || lastRun[ir].IsZero(), "%s waits since %s", ir.item.ID, lastRun[ir].Sub(begin))
		}
	}
	for _, ir := range ta.steps["s"].items {
		assert.Equal(t, ir.state, complete)
	}
}

// Crashes of half of the engines at once make no item a suspect.
func TestWavesOfCrashesMakeNoSuspects(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	ta := tableOf(t, 1, ids...)
	ta.Accept(stepOf("s", 4, 4), StoredStep{}, false, begin)
	at := begin
	for range 2 {
		ta.Place(at)
		for _, id := range ids {
			var re runner.ExchangeResponse
			for key, ir := range ta.engines[id].items {
				re.Runs = append(re.Runs, runner.Progress{Key: key, First: len(ir.events), Events: events(len(ir.events)+1, len(ir.events)+3, 1)})
			}
			respond(ta, id, re, at)
		}
		at = at.Add(3 * time.Second)
		for _, id := range ids[:4] {
			var re runner.ExchangeResponse
			for key, ir := range ta.engines[id].items {
				re.Runs = append(re.Runs, runner.Progress{EngineEnded: true, First: len(ir.events), Key: key, State: runner.Broken})
			}
			respond(ta, id, re, at)
		}
	}
	for _, ir := range ta.steps["s"].items {
		assert.Assert(t, !ta.needsTrial(ir, at) && !ta.quarantined(ir, at))
	}
}
