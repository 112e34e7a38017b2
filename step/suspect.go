package step

import (
	"fmt"
	"maps"
	"time"

	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
)

// Weights of finding out which item ends its engines.
const (
	// trialTime is for how long after its launch a run is young, and the first to be
	// suspected if its engine ends: what ends an engine does so when the engine reads it
	// or makes its first events, and a prompt is read within 200 ms.
	trialTime = time.Second
	// trialEvents is how many events a tried run makes until it is cleared.
	trialEvents = 3
	// trialEnds is how many engines end under an item's young runs before it is tried.
	// One run of some thirty is as young when an engine ends for a reason of its own.
	trialEnds = 2
	// trialWait is how long an item waits to be tried. Beyond it, it is placed as
	// others are: crashes of many engines at the start of a step make suspects of all
	// its items.
	trialWait = 2 * time.Second
	// trialPart is the part of a service's engines that try items at once, so that a
	// step full of them leaves the others their engines.
	trialPart = 8
	// guiltyStrikes is what it counts that an engine ended under a tried item that
	// alone was young there: it is barred.
	guiltyStrikes = 6
	// leastWave and wavePart say how many other engines end within waveTime when the
	// cause is rather something that they share than one item each: two, or a quarter
	// of them.
	leastWave = 2
	wavePart  = 4
	waveTime  = time.Second
	// maxYoung bounds the items of which ends are remembered.
	maxYoung = 1000
)

// A trials knows which items may end their engines, and which engines try one alone.
// The zero trials is empty and ready to use.
type trials struct {
	byEngine map[string]*itemRow
	ends     map[string]time.Time      // of engines, of late
	young    map[quarantine.Digest]int // engines that ended under young runs of an item
}

// begin notes that an engine tries an item.
func (tr *trials) begin(engine string, ir *itemRow) {
	if tr.byEngine == nil {
		tr.byEngine = map[string]*itemRow{}
	}
	tr.byEngine[engine] = ir
}

// tries reports whether an engine tries an item, which no other may join.
func (tr *trials) tries(engine string, now time.Time) bool {
	ir := tr.byEngine[engine]
	if ir == nil {
		return false
	}
	if ir.state == running && ir.run.engine == engine && ir.young(now) && len(ir.events) < ir.run.prior+trialEvents {
		return true
	}
	delete(tr.byEngine, engine)
	return false
}

// count returns how many engines try an item.
func (tr *trials) count(now time.Time) int {
	count := 0
	for engine := range maps.Clone(tr.byEngine) {
		if tr.tries(engine, now) {
			count++
		}
	}
	return count
}

// end notes that an engine ended, and returns how many others did of late.
func (tr *trials) end(engine string, now time.Time) int {
	if tr.ends == nil {
		tr.ends = map[string]time.Time{}
	}
	tr.ends[engine] = now
	maps.DeleteFunc(tr.ends, func(_ string, at time.Time) bool { return now.Sub(at) > waveTime })
	return len(tr.ends) - 1
}

// note notes that an engine ended under a young run of an item.
func (tr *trials) note(di quarantine.Digest) {
	if tr.young == nil || len(tr.young) >= maxYoung {
		tr.young = map[quarantine.Digest]int{}
	}
	tr.young[di]++
}

// young reports whether an item's run has just begun.
func (ir *itemRow) young(now time.Time) bool { return now.Sub(ir.since) < trialTime }

// suspect notes that a run broke because its engine ended.
//
// An item may be what ends its engines. Placed again at once, it would go
// through all of them until its step ended, each with the other items that ran there.
//
// Load pattern: a few items of one step, and of the next ones that bring them again,
// each end every engine that they reach, with up to a dozen others beside them. The
// runs that have just begun are suspected first, and tried where no other begins: one
// that is to blame takes three engines, and not six with all that ran beside it.
func (ta *Table) suspect(ir *itemRow, pr runner.Progress, now time.Time) {
	if !pr.EngineEnded {
		return
	}
	others := ta.trials.end(ir.run.engine, now)
	weight, tried, young := 1, ta.trials.byEngine[ir.run.engine] == ir, ir.young(now)
	if young {
		ta.trials.note(ir.digest)
	}
	if young && tried && others < max(leastWave, len(ta.sorted)/wavePart) {
		weight = guiltyStrikes
	}
	for i := range weight {
		// By the run, since the engine may have started again already.
		ta.quarantine.RecordCrash(ir.digest, fmt.Sprintf("%s/%d/%d", ir.run.engine, ir.run.key.Attempt, i), now)
	}
	ve := ta.quarantine.CheckItem(ir.digest, now)
	ta.log("engine ended under an item", map[string]any{
		attemptField: ir.run.key.Attempt, customerField: ir.step.step.Customer, "digest": ir.digest, engineField: ir.run.engine,
		"held-ms": ve.HeldFor.Milliseconds(), itemField: ir.item.ID, "others": others, stepField: ir.step.step.ID,
		"strikes": ve.Strikes, "tried": tried, "young": young,
	})
}

// rests reports whether an item must not be placed now.
func (ta *Table) rests(ir *itemRow, now time.Time) bool {
	return ta.quarantine.CheckItem(ir.digest, now).Held()
}

// tried reports whether an item is to be tried alone.
func (ta *Table) tried(ir *itemRow, now time.Time) bool {
	return ta.trials.young[ir.digest] >= trialEnds && now.Sub(ir.since) < trialWait
}

// chooseTrial returns the engine that is to try an item, or nil: the one that runs the
// fewest others.
func (ta *Table) chooseTrial(ir *itemRow, now time.Time) *engineRow {
	if ta.trials.count(now) >= max(1, len(ta.sorted)/trialPart) {
		return nil
	}
	var best *engineRow
	for _, en := range ta.sorted {
		if en.free() <= 0 || !ta.usable(en, ir) || !en.fits(ir) || ta.trials.tries(en.id, now) {
			continue
		}
		if best == nil || len(en.items)+len(en.coming) < len(best.items)+len(best.coming) {
			best = en
		}
	}
	return best
}
