package runner

import (
	"slices"
	"time"
)

// Bounds of measuring an engine's pace.
const (
	// paceGaps is how many of the newest gaps between two events are kept:
	// about a quarter of a second of an engine with full places.
	paceGaps = 48
	// paceLife is how long a gap counts. An engine with one run that turns 3.6
	// times slower shows after 0.72 s; with a life of 1.5 s it took 1.26 s.
	paceLife = 800 * time.Millisecond
)

// A gap is the time between two events of a run.
type gap struct {
	at   time.Time
	took time.Duration
}

// A pacer holds the newest gaps of an engine. The zero pacer is empty.
//
// The gaps are measured here, where the events arrive: measured from the
// scheduler's exchanges, 100 ms apart, engines of the same pace differ by a
// factor of two, and a third of all runs was moved for nothing.
type pacer struct {
	gaps []gap
	next int
}

// observe adds a gap.
func (pa *pacer) observe(took time.Duration, now time.Time) {
	if len(pa.gaps) < paceGaps {
		pa.gaps = append(pa.gaps, gap{at: now, took: took})
		return
	}
	pa.gaps[pa.next] = gap{at: now, took: took}
	pa.next = (pa.next + 1) % paceGaps
}

// median returns the median of the gaps that count, and their number. A load of
// weights makes one long gap in each run; the median passes over it.
func (pa *pacer) median(now time.Time) (time.Duration, int) {
	var took []time.Duration
	for _, ga := range pa.gaps {
		if now.Sub(ga.at) < paceLife {
			took = append(took, ga.took)
		}
	}
	if len(took) == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return took[len(took)/2], len(took)
}
