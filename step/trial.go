package step

import (
	"fmt"
	"maps"
	"time"

	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
)

// Parameters of finding items that crash engines.
const (
	// youngTime is the age up to which a run is young. Items that crash their engine do so during
	// prefill or the first events, so young runs are suspected first.
	youngTime = time.Second
	// trialEvents is the number of events after which a trial has passed.
	trialEvents = 3
	// minSuspectEnds is the number of engines that must end during young runs of an item before
	// the item is tried alone.
	minSuspectEnds = 2
	// maxTrialWait is how long an item waits for a trial before it is placed as others are.
	// Crashes of many engines may make all items of a step suspects.
	maxTrialWait = 2 * time.Second
	// enginesPerTrial is the number of engines per concurrent trial.
	enginesPerTrial = 8
	// trialStrikes is the number of strikes for an item whose engine ended during its trial.
	// It quarantines the item at once.
	trialStrikes = 6
	// minCrashWave and the fraction 1/crashWaveDivisor of all engines are the numbers of other engines
	// that end within crashWaveTime from which on a common cause is assumed.
	minCrashWave     = 2
	crashWaveDivisor = 4
	crashWaveTime    = time.Second
	// maxYoung limits the items whose engine ends are remembered.
	maxYoung = 1000
)

// A trials tracks items that may crash engines, and the engines that try one alone. The zero
// value is ready to use.
type trials struct {
	byEngine map[string]*itemRow
	ends     map[string]engineEnd      // recent ends of engines
	young    map[quarantine.Digest]int // engines that ended during young runs, by item
}

// An engineEnd is the last end of an engine.
type engineEnd struct {
	at    time.Time
	items map[quarantine.Digest]bool // that ran there
}

// start records that an engine tries an item.
func (tr *trials) start(engine string, ir *itemRow) {
	if tr.byEngine == nil {
		tr.byEngine = map[string]*itemRow{}
	}
	tr.byEngine[engine] = ir
}

// runsTrial reports whether an engine is running a trial, so that no other item may start there.
func (tr *trials) runsTrial(engine string, now time.Time) bool {
	ir := tr.byEngine[engine]
	if ir == nil {
		return false
	}
	if ir.state == running && ir.run.engineID == engine && ir.young(now) && len(ir.events) < ir.run.priorEvents+trialEvents {
		return true
	}
	delete(tr.byEngine, engine)
	return false
}

// count returns the number of current trials.
func (tr *trials) count(now time.Time) int {
	count := 0
	for engine := range maps.Clone(tr.byEngine) {
		if tr.runsTrial(engine, now) {
			count++
		}
	}
	return count
}

// recordEnd records the end of an engine that ran an item, and returns how many engines that did not run it ended within
// crashWaveTime. Those that ran it may have ended because of it, and don't show that there is another cause.
func (tr *trials) recordEnd(engine string, di quarantine.Digest, now time.Time) int {
	maps.DeleteFunc(tr.ends, func(_ string, ee engineEnd) bool { return now.Sub(ee.at) > crashWaveTime })
	if tr.ends == nil {
		tr.ends = map[string]engineEnd{}
	}
	ee := tr.ends[engine]
	if ee.items == nil {
		ee.items = map[quarantine.Digest]bool{}
	}
	ee.at, ee.items[di] = now, true
	tr.ends[engine] = ee
	others := 0
	for _, ee := range tr.ends {
		if !ee.items[di] {
			others++
		}
	}
	return others
}

// recordYoung records that an engine ended during a young run of an item.
func (tr *trials) recordYoung(di quarantine.Digest) {
	if tr.young == nil || len(tr.young) >= maxYoung {
		tr.young = map[quarantine.Digest]int{}
	}
	tr.young[di]++
}

// young reports whether an item's run has started within youngTime.
func (ir *itemRow) young(now time.Time) bool { return now.Sub(ir.stateSince) < youngTime }

// recordEngineEnd records that a run broke because its engine ended, which the item may have caused.
//
// Without quarantine, an item that crashes engines would take down one after the other, with
// all other runs there. Items with young runs are tried alone first, so that the others beside
// them aren't quarantined as well.
func (ta *Table) recordEngineEnd(ir *itemRow, pr runner.Progress, now time.Time) {
	if !pr.EngineEnded {
		return
	}
	others := ta.trials.recordEnd(ir.run.engineID, ir.digest, now)
	weight, tried, young := 1, ta.trials.byEngine[ir.run.engineID] == ir, ir.young(now)
	if young {
		ta.trials.recordYoung(ir.digest)
	}
	if young && tried && others < max(minCrashWave, len(ta.sortedEngines)/crashWaveDivisor) {
		weight = trialStrikes
	}
	for i := range weight {
		// Keyed by run, since the engine may have restarted already.
		ta.quarantine.RecordCrash(ir.digest, fmt.Sprintf("%s/%d/%d", ir.run.engineID, ir.run.key.Attempt, i), now)
	}
	ve := ta.quarantine.CheckItem(ir.digest, now)
	ta.log("engine ended under an item", map[string]any{
		attemptField: ir.run.key.Attempt, customerField: ir.step.step.Customer, "digest": ir.digest, engineField: ir.run.engineID,
		"held-ms": ve.HeldFor.Milliseconds(), itemField: ir.item.ID, "others": others, stepField: ir.step.step.ID,
		"strikes": ve.Strikes, "tried": tried, "young": young,
	})
}

// quarantined reports whether an item is quarantined.
func (ta *Table) quarantined(ir *itemRow, now time.Time) bool {
	return ta.quarantine.CheckItem(ir.digest, now).Held()
}

// needsTrial reports whether an item must be tried alone. Its wait for a trial counts from when it could be placed: a
// cooldown or an operator's hold is no part of it.
func (ta *Table) needsTrial(ir *itemRow, now time.Time) bool {
	if ta.trials.young[ir.digest] < minSuspectEnds {
		return false
	}
	since := ir.stateSince
	for _, at := range []time.Time{ta.quarantine.CheckItem(ir.digest, now).FreeSince, ir.step.holdChangedAt} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) < maxTrialWait
}

// trialEngine returns the engine for a trial of an item, or nil: the one with the fewest runs.
func (ta *Table) trialEngine(ir *itemRow, now time.Time) *engineRow {
	if ta.trials.count(now) >= max(1, len(ta.sortedEngines)/enginesPerTrial) {
		return nil
	}
	var best *engineRow
	for _, en := range ta.sortedEngines {
		if en.freeSlots() <= 0 || !ta.canRunItem(en, ir) || !en.hasMemoryFor(ir) || ta.trials.runsTrial(en.id, now) {
			continue
		}
		if best == nil || len(en.items)+len(en.incoming) < len(best.items)+len(best.incoming) {
			best = en
		}
	}
	return best
}
