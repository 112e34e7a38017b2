package runner

import (
	"slices"
	"time"
)

const (
	// paceGaps is the number of newest gaps between two events that are kept: about a quarter of a second of an
	// engine with full slots.
	paceGaps = 48
	// paceWindow is the maximum age of a gap. A longer window detects a slowdown later: an engine with one run that
	// becomes 3.6 times slower shows within this one.
	paceWindow = 800 * time.Millisecond
)

// A gap is the time between two events of a run.
type gap struct {
	at       time.Time
	duration time.Duration
}

// A pacer measures the gaps between an engine's events. The zero value is ready to use.
//
// The attendant measures them as events arrive, since the scheduler's exchanges are
// too coarse to compare the pace of engines.
type pacer struct {
	gaps []gap
	next int
}

// observe adds a gap.
func (pa *pacer) observe(duration time.Duration, now time.Time) {
	if len(pa.gaps) < paceGaps {
		pa.gaps = append(pa.gaps, gap{at: now, duration: duration})
		return
	}
	pa.gaps[pa.next] = gap{at: now, duration: duration}
	pa.next = (pa.next + 1) % paceGaps
}

// median returns the median and the number of the gaps within paceWindow. The median
// ignores the one long gap that a weight load causes in each run.
func (pa *pacer) median(now time.Time) (time.Duration, int) {
	var durations []time.Duration
	for _, ga := range pa.gaps {
		if now.Sub(ga.at) < paceWindow {
			durations = append(durations, ga.duration)
		}
	}
	if len(durations) == 0 {
		return 0, 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2], len(durations)
}
