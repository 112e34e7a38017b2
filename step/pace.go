package step

import (
	"slices"
	"time"
)

// Weights of telling slow engines.
const (
	// paceWeight is the part of a new observation in an engine's pace.
	paceWeight = 0.3
	// paceSamples is how many observations it takes to judge an engine.
	paceSamples = 3
	// slowFactor is by how much an engine's pace may exceed the median before
	// its runs are moved. Full engines are some 4% slower than empty ones.
	slowFactor = 1.7
	// stallTime is how long a run may be without an event. Events come each
	// 40 ms, and a load of weights takes about a second.
	stallTime = 1500 * time.Millisecond
	// firstEventTime is how long a run may wait for its first event.
	firstEventTime = 2 * time.Second
	// maxMoves bounds how often an item is moved: a moved run reads its whole
	// text again.
	maxMoves = 4
)

// A pace is an engine's mean time for an event, in seconds. The zero pace knows
// nothing.
type pace struct {
	samples int
	mean    float64
}

// observe counts events that came within a time.
func (pa *pace) observe(count int, took time.Duration) {
	each := took.Seconds() / float64(count)
	if pa.samples == 0 {
		pa.mean = each
	} else {
		pa.mean += paceWeight * (each - pa.mean)
	}
	pa.samples++
}

// known returns the pace if enough was observed.
func (pa *pace) known() (float64, bool) { return pa.mean, pa.samples >= paceSamples }

// Paces finds the pace of the median engine of each service.
func (ta *Table) Paces(time.Time) {
	byService := map[string][]float64{}
	for _, en := range ta.engines {
		if mean, ok := en.pace.known(); ok {
			byService[en.service] = append(byService[en.service], mean)
		}
	}
	for service, means := range byService {
		slices.Sort(means)
		ta.loads[service] = means[len(means)/2]
	}
}

// slow reports whether an engine is much slower than the others.
func (ta *Table) slow(en *engineRow) bool {
	mean, ok := en.pace.known()
	median := ta.loads[en.service]
	return ok && median > 0 && mean > slowFactor*median
}

// Move takes runs off engines that are slow or stalled, if another engine has
// places for them.
//
// Load pattern: an engine turns slow by a factor of 3 or goes silent while the
// others have free places. The step waits for its longest items, and one of
// them on such an engine is late for sure; moved, it reads its text again,
// which takes some 10 ms. A run is stopped before it goes on elsewhere, so that
// no two engines work on it.
func (ta *Table) Move(now time.Time) {
	for _, en := range ta.engines {
		slow := ta.slow(en)
		for _, ir := range en.items {
			if ir.run.stopping || !ir.run.confirmed || ir.moves >= maxMoves {
				continue
			}
			why := ""
			switch quiet := now.Sub(ir.run.eventAt); {
			case en.sick && quiet > stallTime/2:
				why = "engine does not answer"
			case quiet > firstEventTime, quiet > stallTime && len(ir.events) > ir.run.prior:
				why = "no event"
			case slow:
				why = "slow engine"
			}
			if why == "" || !ta.roomElsewhere(ir, en) {
				continue
			}
			ir.moves++
			ir.run.stopping = true
			ta.log("run moved", map[string]any{
				"attempt": ir.run.key.Attempt, "engine": en.id, "events": len(ir.events), "item": ir.item.ID,
				"pace": en.pace.mean, "median": ta.loads[en.service], "step": ir.step.step.ID, "why": why,
			})
		}
	}
}

// roomElsewhere reports whether another engine could take an item.
func (ta *Table) roomElsewhere(ir *itemRow, from *engineRow) bool {
	for _, en := range ta.engines {
		if en != from && !ta.slow(en) && ta.usable(en, ir) && en.free() > 0 {
			return true
		}
	}
	return false
}
