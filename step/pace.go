package step

import (
	"slices"
	"time"
)

// Parameters of detecting slow engines and moving runs. The pace of an engine is its time per
// event.
const (
	// paceGaps is the number of intervals between events that a pace needs to be used: four of one run, or
	// one each of four runs.
	paceGaps = 4
	// slowFactor is the ratio to the median pace above which an engine is slow. Full engines
	// are somewhat slower than empty ones.
	slowFactor = 1.6
	// slowDelay is how long an engine must exceed slowFactor to be rated slow. Prefill of
	// a dozen new runs slows it down for some 200 ms.
	slowDelay = 400 * time.Millisecond
	// verySlowFactor and verySlowDelay are the same for a ratio that prefill can't cause.
	verySlowFactor = 2.5
	verySlowDelay  = 100 * time.Millisecond
	// slowDuration is how long an engine stays rated slow. Without runs it can't be measured.
	slowDuration = 3 * time.Second
	// stallTimeout is the longest time between events. It exceeds the time of a weight load, about a second.
	stallTimeout = 1500 * time.Millisecond
	// firstEventTimeout is the longest time to the first event of a run.
	firstEventTimeout = 2 * time.Second
	// minMoveEvents is the minimum number of events of a run that moves to a faster engine.
	// Half of all items end before, and one that has made so many is expected to make as many again.
	minMoveEvents = 20
	// slotsLeftFree is the number of slots that moved runs leave free on a target engine.
	slotsLeftFree = 1
	// moveCost is the minimum time that a move must save. A move takes some 150 ms, and its prompt delays the
	// other runs of the target.
	moveCost = 400 * time.Millisecond
	// highMemoryFraction is the fraction of an engine's memory above which a run is moved away,
	// and lowMemoryFraction the fraction up to which the target may be filled. The difference
	// leaves space for growth during the move.
	highMemoryFraction = 0.88
	lowMemoryFraction  = 0.6
	// minMovedFraction is the minimum fraction of the memory that a run moved for memory must hold.
	minMovedFraction = 0.05
	// memoryReason is the reason to move a run from an engine that is short of memory.
	memoryReason = "short of memory"
	// maxMoves limits the moves of an item, each of which recomputes its whole text.
	maxMoves = 4
)

// MeasurePace updates the median pace of each service, the ratings of slow engines, and the times
// per token.
func (ta *Table) MeasurePace(now time.Time) {
	byService := map[string][]time.Duration{}
	for _, en := range ta.sortedEngines {
		if en.report.PaceGaps >= paceGaps {
			byService[en.service] = append(byService[en.service], en.report.Pace)
		}
	}
	for service, paces := range byService {
		ta.medianPaces[service] = median(paces)
	}
	bases := map[string][]time.Duration{}
	for _, en := range ta.sortedEngines {
		ta.ratePace(en, now)
		if en.basePace > 0 {
			bases[en.service] = append(bases[en.service], en.basePace)
		}
	}
	clear(ta.bestBases)
	for service, all := range bases {
		ta.medianBases[service], ta.bestBases[service] = median(all), slices.Min(all)
	}
	for _, sr := range ta.openSteps {
		ta.setTokenTime(sr, sr.estimator.tokenTime(ta.medianBases[sr.step.Service], ta.bestBases[sr.step.Service]))
	}
}

// setTokenTime sets the time per token of a step, unless the change is small: each change
// invalidates everything computed from it.
func (ta *Table) setTokenTime(sr *stepRow, tokenTime time.Duration) {
	if off := tokenTime - sr.tokenTime; tokenTime > 0 && off.Abs() <= sr.tokenTime/tokenTimeToleranceDivisor {
		return
	}
	if tokenTime != sr.tokenTime {
		sr.tokenTime = tokenTime
		ta.estimateChanges.counted++
	}
}

// tokenTimeToleranceDivisor is the inverse of the relative change of a time per token that is ignored. Hints of
// lengths are off by more.
const tokenTimeToleranceDivisor = 10

// median sorts durations and returns their median.
func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// ratePace updates an engine's base pace, and rates it slow if it is much slower than the
// median.
func (ta *Table) ratePace(en *engineRow, now time.Time) {
	if en.report.PaceGaps >= paceGaps {
		used, _ := en.memoryUse()
		en.basePace = time.Duration(float64(en.report.Pace) / slowdown(len(en.items), used))
	}
	median := ta.medianPaces[en.service]
	if median == 0 || en.report.PaceGaps < paceGaps || float64(en.report.Pace) <= slowFactor*float64(median) {
		en.slowerSince = time.Time{}
		return
	}
	if en.slowerSince.IsZero() {
		en.slowerSince = en.respondedAt
	}
	since := slowDelay
	if float64(en.report.Pace) > verySlowFactor*float64(median) {
		since = verySlowDelay
	}
	if en.respondedAt.Sub(en.slowerSince) < since {
		return // one report counts no longer because the next one is late
	}
	if !en.slow(now) {
		ta.log("engine is slow", map[string]any{
			engineField: en.id, "gaps": en.report.PaceGaps, "median-ms": median.Milliseconds(),
			"pace-ms": en.report.Pace.Milliseconds(), "report-ms": now.Sub(en.respondedAt).Milliseconds(),
		})
	}
	en.slowAt = now
}

// slow reports whether an engine has recently been rated slow.
func (en *engineRow) slow(now time.Time) bool {
	return !en.slowAt.IsZero() && now.Sub(en.slowAt) < slowDuration
}
