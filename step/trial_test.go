package step

import (
	"fmt"
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

// A deadlyItem is an item that ends each engine that runs it, in a simulation of engines that are down for a while after.
type deadlyItem struct {
	alone bool // nothing else ran on the engine that ended last
	back  map[string]time.Time
	down  time.Duration
	ends  int
	item  *itemRow
	wave  int // ends with which all other engines end too
}

// run runs a table with the item for a while.
func (de *deadlyItem) run(ta *Table, ids []string, length time.Duration) {
	de.back = map[string]time.Time{}
	for at := begin; at.Before(begin.Add(length)); at = at.Add(100 * time.Millisecond) {
		for id, en := range ta.engines {
			en.unreachable = at.Before(de.back[id])
		}
		ta.Place(at)
		deadly := ta.engines[de.item.run.engineID]
		ended := de.item.state == running
		if ended {
			de.ends++
			de.alone = len(deadly.items) == 1
			de.back[deadly.id] = at.Add(de.down)
		}
		respondAll(ta, ids, at, 15, func(en *engineRow) bool { return ended && (en == deadly || de.ends <= de.wave) })
	}
}

func idsOf(count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprint("engine-", i))
	}
	return ids
}

// Guards against an item whose own ends of engines are taken for a wave of crashes with another cause: it took six engines.
func TestItemThatEndsItsEnginesIsNoWave(t *testing.T) {
	for _, engines := range []int{4, 5, 6, 8, 12} {
		t.Run(fmt.Sprint(engines, " engines"), func(t *testing.T) {
			ids := idsOf(engines)
			ta := tableOf(t, 1, ids...)
			ta.Accept(stepOf("s", 4, 4), StoredStep{}, false, begin)
			items := ta.steps["s"].items
			de := &deadlyItem{down: 700 * time.Millisecond, item: items[2]}
			de.run(ta, ids, 20*time.Second)
			assert.Assert(t, de.ends <= 3, "it took %d engines", de.ends)
			assert.Assert(t, ta.quarantined(de.item, begin.Add(time.Hour)), "it is barred")
			for _, ir := range items {
				assert.Equal(t, ir.state == complete, ir != de.item, "%s", ir.item.ID)
			}
		})
	}
}

// Guards against an item that is placed beside others after its cooldown, in which it had to wait longer than for a trial.
func TestItemIsTriedAloneAfterItsCooldown(t *testing.T) {
	ids := idsOf(6)
	ta := tableOf(t, 1, ids...)
	ta.Accept(stepOf("s", 4, 4, 4, 4), StoredStep{}, false, begin)
	de := &deadlyItem{item: ta.steps["s"].items[2], wave: 3}
	de.run(ta, ids, 20*time.Second)
	assert.Equal(t, de.ends, 4, "the first three count as a wave")
	assert.Assert(t, de.alone)
	assert.Assert(t, ta.quarantined(de.item, begin.Add(time.Hour)), "it is barred")
}

// Guards against an item that takes an engine during its cooldown: it was moving to that engine when its own ended.
func TestMovedItemKeepsItsCooldown(t *testing.T) {
	ta := tableOf(t, 1, "a", "b")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	engine, key := keyOf(t, ta, "s", 0)
	ir := ta.steps["s"].items[0]
	for _, other := range []string{"c", "d"} {
		ta.quarantine.RecordCrash(ir.digest, other, begin)
	}
	ir.run.stopping, ir.moveTarget = true, map[string]string{"a": "b", "b": "a"}[engine]
	respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{EngineEnded: true, Key: key, State: runner.Broken}}}, begin)
	assert.Assert(t, ta.quarantined(ir, begin), "it has three strikes")
	assert.Equal(t, len(ta.restartStopped(begin)), 0)
	assert.Equal(t, ir.state, waiting)
	assert.Equal(t, ir.moveTarget, "", "its place is free for others")
}
