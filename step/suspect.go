package step

import (
	"fmt"
	"maps"
	"time"

	"wisteriacroft/runner"
)

// Weights of finding out which item ends its engines.
const (
	// trialTime is for how long after its launch a run is the first to be suspected if
	// its engine ends: what ends an engine does so when the engine reads it or makes
	// its first events, and a prompt is read within 200 ms.
	trialTime = time.Second
	// youngStrikes and oldStrikes are what an engine's end counts against the runs
	// that it took with it. With twelve items of which one was to blame, all of them
	// had as many strikes as that one after two ends.
	youngStrikes = 2
	oldStrikes   = 1
	// trialEvents is how many events a tried run makes until it is cleared.
	trialEvents = 3
	// trialStrikes is after how many strikes an item is tried: two ends that it was
	// young at, or three in all. Of a step under whose young runs stepEnds engines
	// have ended, it is tried after stepStrikes: one that it was young at. It holds
	// more such items.
	trialStrikes = 3
	stepStrikes  = 2
	stepEnds     = 3
	// guiltyStrikes is what it counts that an engine ended under a tried item that
	// alone was young there: it is barred.
	guiltyStrikes = 6
	// trialPart is the part of a service's engines that try items at once, so that a
	// step full of them leaves the others their engines.
	trialPart = 8
	// waveEnds is how many other engines end within waveTime when the cause is rather
	// something that they share than one item each.
	waveEnds = 3
	waveTime = time.Second
)

// A trials knows which engines try an item alone. The zero trials is empty and ready
// to use.
type trials struct {
	byEngine map[string]*itemRow
	ends     map[string]time.Time // of engines, of late
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
	if ir.state == running && ir.run.engine == engine && now.Sub(ir.since) < trialTime && len(ir.events) < ir.run.prior+trialEvents {
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

// suspect notes that a run broke because its engine ended.
//
// An item may be what ends its engines. Placed again at once, it went through all
// of them until its step ended, 59 engines in 15 s in a fleet of four that start
// again within a second, each with the other items that ran there.
//
// Load pattern: a few items of one step, and of the next ones that bring them again,
// each end every engine that they reach, with up to a dozen others beside them. The
// one that began last is suspected first, and tried where no other begins: one that
// is to blame takes three engines, and not six with all that ran beside it.
func (ta *Table) suspect(ir *itemRow, pr runner.Progress, now time.Time) {
	if !pr.EngineEnded {
		return
	}
	others := ta.trials.end(ir.run.engine, now)
	weight := oldStrikes
	young := len(ir.events) == ir.run.prior || now.Sub(ir.since) < trialTime
	switch {
	case young && ta.trials.byEngine[ir.run.engine] == ir && others < waveEnds:
		weight = guiltyStrikes
	case young:
		weight = youngStrikes
	}
	if young {
		ir.step.noteEnd(ir.run.engine)
	}
	for i := range weight {
		// By the run, since the engine may have started again already.
		ta.quarantine.Strike(ir.digest, fmt.Sprintf("%s/%d/%d", ir.run.engine, ir.run.key.Attempt, i), now)
	}
	ve := ta.quarantine.JudgeItem(ir.digest, now)
	ta.log("engine ended under an item", map[string]any{
		attemptField: ir.run.key.Attempt, customerField: ir.step.step.Customer, "digest": ir.digest, engineField: ir.run.engine,
		"held-ms": ve.HeldFor.Milliseconds(), itemField: ir.item.ID, "others": others, stepField: ir.step.step.ID,
		"strikes": ve.Strikes, "weight": weight, "young": young,
	})
}

// rests reports whether an item must not be placed now.
func (ta *Table) rests(ir *itemRow, now time.Time) bool {
	return ta.quarantine.JudgeItem(ir.digest, now).Held()
}

// tried reports whether an item is to be tried alone.
func (ta *Table) tried(ir *itemRow, now time.Time) bool {
	strikes := ta.quarantine.JudgeItem(ir.digest, now).Strikes
	if len(ir.step.ends) >= stepEnds {
		return strikes >= stepStrikes
	}
	return strikes >= trialStrikes
}

// noteEnd notes that an engine ended under a young run of the step.
func (sr *stepRow) noteEnd(engine string) {
	if sr.ends == nil {
		sr.ends = map[string]bool{}
	}
	sr.ends[engine] = true
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
