package step

import (
	"cmp"
	"slices"
	"time"
)

// Weights of telling slow engines.
const (
	// paceGaps is how many gaps between events it takes to judge an engine: four
	// of one run that is 3.6 times slower than usual, or one each of four runs.
	paceGaps = 4
	// slowFactor is by how much an engine's pace may exceed the median before
	// its runs are moved. Full engines are a little slower than empty ones.
	slowFactor = 1.6
	// slowSince is for how long an engine must be slower before its runs are
	// moved. While it reads the prompts of a dozen new runs, it makes events
	// at two thirds of its pace for some 200 ms.
	slowSince = 400 * time.Millisecond
	// verySlowFactor and verySlowSince are the same for an engine that is slower
	// than reading prompts ever makes it.
	verySlowFactor = 2.5
	verySlowSince  = 100 * time.Millisecond
	// slowFor is for how long an engine that was slow gets work only if no
	// other can: without runs it shows no pace.
	slowFor = 3 * time.Second
	// stallTime is how long a run may be without an event. Events come each
	// 40 ms, and a load of weights takes about a second.
	stallTime = 1500 * time.Millisecond
	// firstEventTime is how long a run may wait for its first event.
	firstEventTime = 2 * time.Second
	// minMoveEvents is how many events a run has made before it is moved to a
	// faster engine: half of all items end before, and what has made so many is
	// expected to make as many again.
	minMoveEvents = 20
	// sparePlaces is how many places a faster engine keeps free for new items.
	sparePlaces = 1
	// moveCost is how much sooner a run must end elsewhere to be moved: the move
	// itself takes some 150 ms, and its prompt holds up the others there.
	moveCost = 400 * time.Millisecond
	// crowdedMemory and roomyMemory are the parts of an engine's memory above which
	// a run is moved away, and below which it may come. Between the two is room for what
	// runs add in the time that a move takes.
	crowdedMemory = 0.88
	roomyMemory   = 0.6
	// movedPart is the part of an engine's memory that a run must hold to be moved
	// for want of memory: less frees too little.
	movedPart = 0.05
	// memoryReason is why a run leaves an engine that is short of memory.
	memoryReason = "short of memory"
	// maxMoves bounds how often an item is moved: a moved run reads its whole
	// text again.
	maxMoves = 4
)

// MeasurePace finds the pace of the median engine of each service, the engines that are much
// slower, and what a token takes.
func (ta *Table) MeasurePace(now time.Time) {
	byService := map[string][]time.Duration{}
	for _, en := range ta.sorted {
		if en.report.PaceGaps >= paceGaps {
			byService[en.service] = append(byService[en.service], en.report.Pace)
		}
	}
	for service, paces := range byService {
		ta.paces[service] = median(paces)
	}
	bases := map[string][]time.Duration{}
	for _, en := range ta.sorted {
		ta.judgePace(en, now)
		if en.base > 0 {
			bases[en.service] = append(bases[en.service], en.base)
		}
	}
	clear(ta.bests)
	for service, all := range bases {
		ta.bases[service], ta.bests[service] = median(all), slices.Min(all)
	}
	for _, sr := range ta.order {
		ta.setTokenTime(sr, sr.gauge.tokenTime(ta.bases[sr.step.Service], ta.bests[sr.step.Service]))
	}
}

// setTokenTime sets how long a token of a step takes, unless that differs little from what
// is known: each change makes all that was worked out from it stale.
func (ta *Table) setTokenTime(sr *stepRow, each time.Duration) {
	if off := each - sr.tokenTime; each > 0 && off.Abs() <= sr.tokenTime/tokenTimeParts {
		return
	}
	if each != sr.tokenTime {
		sr.tokenTime = each
		ta.gaugeChanges.counted++
	}
}

// tokenTimeParts is into how many parts a token's time is divided, of which a change by one
// makes no difference: hints of lengths are off by more.
const tokenTimeParts = 10

// median returns the median of some durations, which it sorts.
func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// judgePace tells whether an engine is much slower than the median.
func (ta *Table) judgePace(en *engineRow, now time.Time) {
	if en.report.PaceGaps >= paceGaps {
		held, _ := en.memoryUse()
		en.base = time.Duration(float64(en.report.Pace) / slowdown(len(en.items), held))
	}
	median := ta.paces[en.service]
	if median == 0 || en.report.PaceGaps < paceGaps || float64(en.report.Pace) <= slowFactor*float64(median) {
		en.slowerAt = time.Time{}
		return
	}
	if en.slowerAt.IsZero() {
		en.slowerAt = now
	}
	since := slowSince
	if float64(en.report.Pace) > verySlowFactor*float64(median) {
		since = verySlowSince
	}
	if now.Sub(en.slowerAt) < since {
		return
	}
	if !en.slow(now) {
		ta.log("engine is slow", map[string]any{
			engineField: en.id, "gaps": en.report.PaceGaps, "median-ms": median.Milliseconds(),
			"pace-ms": en.report.Pace.Milliseconds(), "report-ms": now.Sub(en.heardAt).Milliseconds(),
		})
	}
	en.slowAt = now
}

// slow reports whether an engine was much slower than the others of late.
func (en *engineRow) slow(now time.Time) bool {
	return !en.slowAt.IsZero() && now.Sub(en.slowAt) < slowFor
}

// MoveStragglers takes runs off engines that are slow or stalled, if another engine has
// places for them.
//
// Load pattern: an engine turns slow by a factor of 3 or goes silent while the
// others have free places. The step waits for its longest items, and one of
// them on such an engine is late for sure; moved, it reads its text again,
// which takes little time. A run is stopped before it goes on elsewhere, so that
// no two engines work on it, and a place elsewhere is kept for it: otherwise an item
// that waits could take that place, and the run would go from one slow engine to another.
func (ta *Table) MoveStragglers(now time.Time) {
	ta.gather()
	for _, sr := range ta.order {
		for _, le := range ta.leaving(sr, now) {
			ta.move(le.item, le.item.run.at, le.why, now)
		}
	}
}

// A leave is a run that would do better elsewhere.
type leave struct {
	item *itemRow
	why  string
}

// leaving returns the runs of a step that would do better elsewhere, by items.
func (ta *Table) leaving(sr *stepRow, now time.Time) []leave {
	var les []leave
	for _, gr := range sr.list {
		for _, ir := range gr.wait.running {
			if ir.run.stopping || !ir.run.confirmed || ir.moves >= maxMoves {
				continue
			}
			why := ir.run.at.reasonToMove(ir, now)
			if why == "" && ta.long(ir.run.at, ir) {
				why = "faster engine"
			}
			if why != "" {
				les = append(les, leave{item: ir, why: why})
			}
		}
	}
	if sr.interleaved {
		slices.SortFunc(les, func(a, b leave) int { return cmp.Compare(a.item.index, b.item.index) })
	}
	return les
}

// RelieveMemory moves a run off each engine whose memory is nearly full, if another
// engine has plenty.
//
// Load pattern: several long items grow on one engine. Out of memory, it stops
// its newest run and reads it again once there is room, each time a stall of a
// second or more. The run with the most time to spare is moved, one at a time: the
// one that holds most is the one that the step waits for.
func (ta *Table) RelieveMemory(now time.Time) {
	for _, en := range ta.sorted {
		if held, _ := en.memoryUse(); en.tokens == 0 || float64(held) < crowdedMemory*float64(en.tokens) {
			continue
		}
		if ir := en.mostSpare(now); ir != nil {
			ta.move(ir, en, memoryReason, now)
		}
	}
}

// mostSpare returns the run with the most time to spare among those that hold
// enough of an engine's memory and may be moved, or nil if one is on its way
// already.
func (en *engineRow) mostSpare(now time.Time) *itemRow {
	var best *itemRow
	most := time.Duration(0) // that it can wait
	for _, ir := range en.items {
		if ir.run.stopping {
			return nil
		}
		held, _ := ir.tokenUse()
		if !ir.run.confirmed || ir.moves >= maxMoves || float64(held) < movedPart*float64(en.tokens) {
			continue
		}
		spare := ir.timeToSpare(now)
		if best == nil || spare > most || spare == most && ir.item.ID < best.item.ID {
			best, most = ir, spare
		}
	}
	return best
}

// move stops a run if another engine would end it sooner.
func (ta *Table) move(ir *itemRow, from *engineRow, why string, now time.Time) {
	to := ta.target(ir, from, why, now)
	if to == nil {
		return
	}
	ir.moves++
	ir.run.stopping = true
	ir.target = to.id
	to.coming[ir] = true
	to.invalidateMemo()
	ta.log("run moved", map[string]any{
		attemptField: ir.run.key.Attempt, engineField: from.id, "events": len(ir.events), itemField: ir.item.ID,
		"pace-ms": from.report.Pace.Milliseconds(), "quiet-ms": now.Sub(ir.run.eventAt).Milliseconds(),
		stepField: ir.step.step.ID, "to": to.id, whyField: why,
	})
}

// target returns the engine that a run is best moved to, or nil.
func (ta *Table) target(ir *itemRow, from *engineRow, why string, now time.Time) *engineRow {
	var best *engineRow
	for _, en := range ta.sorted {
		if en == from || ta.trials.tries(en.id, now) || en.free() <= sparePlaces || en.slow(now) || !ta.usable(en, ir) || !en.fits(ir) {
			continue
		}
		switch {
		case why == memoryReason:
			if !en.roomy(ir) || float64(en.base) > (1+paceTolerance)*float64(from.base) {
				continue
			}
		case from.stalled(ir, now):
		case ta.gain(ir, from, en) < moveCost, ta.crowded(en.service) && !ta.saves(ir, from, en, now):
			continue
		}
		if best == nil || ta.rankOf(en, ir, now) > ta.rankOf(best, ir, now) {
			best = en
		}
	}
	return best
}

// roomy reports whether an engine would have plenty of memory beside an item.
func (en *engineRow) roomy(ir *itemRow) bool {
	now, _ := en.memoryUse()
	added, _ := ir.tokenUse()
	return float64(now+added) <= roomyMemory*float64(en.tokens)
}

// gain returns how much sooner a run would end at another engine.
func (ta *Table) gain(ir *itemRow, from, to *engineRow) time.Duration {
	if from.base == 0 {
		return 0
	}
	events := float64(ir.left()) / float64(ir.step.gauge.eventTokens())
	return time.Duration(events * float64(ta.paceWith(from, nil)-ta.paceWith(to, ir)))
}

// unreserve gives the place back that was kept for a moved item.
func (ta *Table) unreserve(ir *itemRow) {
	if en, ok := ta.engines[ir.target]; ok && ir.target != "" {
		delete(en.coming, ir)
		en.invalidateMemo()
	}
	if ir.target != "" {
		ir.group.markStale(ta)
	}
	ir.target = ""
}

// reasonToMove returns why a run would do better elsewhere, or "".
func (en *engineRow) reasonToMove(ir *itemRow, now time.Time) string {
	quiet := now.Sub(ir.run.eventAt)
	switch {
	case en.sick && quiet > stallTime/2:
		return "engine does not answer"
	case quiet > firstEventTime, quiet > stallTime && len(ir.events) > ir.run.prior:
		return "no event"
	case en.slow(now):
		return "slow engine"
	default:
		return ""
	}
}

// stalled reports whether a run has made nothing for too long.
func (en *engineRow) stalled(ir *itemRow, now time.Time) bool {
	return en.reasonToMove(ir, now) != "" && !en.slow(now)
}

// long reports whether a run has proved long, on an engine whose base is slower than
// the best one's. What else the engine runs does not count: a run that left a full
// engine for an emptier one would find that one full as soon as other items came.
func (ta *Table) long(en *engineRow, ir *itemRow) bool {
	return len(ir.events)-ir.run.prior >= minMoveEvents && float64(ta.bests[en.service]) < (1-paceTolerance)*float64(en.base)
}
