package step

import (
	"slices"
	"time"
)

// Parameters of estimating the tokens per event.
const (
	// defaultEventTokens is assumed before there is an estimate.
	defaultEventTokens = 62
	// estimatorMaxRatios is the number of recent items whose median is used.
	estimatorMaxRatios = 64
	// estimatorMinRatios is the minimum number of items for a median.
	estimatorMinRatios = 16
	// estimatorMinEvents is the minimum number of events of an item to be used. In short items the
	// last event, which is partly filled, distorts the ratio.
	estimatorMinEvents = 8
	// estimatorMinAtLimit is the number of items of maximum length from which they are assumed to
	// have been truncated at their token limit.
	estimatorMinAtLimit = 3
	// estimatorMaxDeviation is the factor from the median beyond which the ratio of those items is
	// rejected.
	estimatorMaxDeviation = 1.5
)

// A tokenEstimator estimates the number of tokens per event of a model, which determines the memory
// that runs take and their remaining times. The zero value has no observations.
type tokenEstimator struct {
	changes  *estimateChanges // counts changes of the estimate; may be nil
	estimate int              // the estimate; 0 means none

	ratios []float64 // hint per event, of items that ended
	next   int       // index of the oldest ratio
	median int       // of the ratios

	atLimit       int // number of items with the most events for their limit
	longestTokens int // their token limit
	longestEvents int // their events
}

// An estimateChanges counts changes of the estimates of all models, to invalidate caches.
type estimateChanges struct{ counted int }

// count returns the count, or 0 if gc is nil.
func (gc *estimateChanges) count() int {
	if gc == nil {
		return 0
	}
	return gc.counted
}

// update recomputes the estimate.
func (ga *tokenEstimator) update() {
	before := ga.eventTokens()
	ga.estimate = ga.fromLimits()
	if ga.estimate <= 0 {
		ga.estimate = ga.median
	}
	if ga.changes != nil && ga.eventTokens() != before {
		ga.changes.counted++
	}
}

// observeLimit records that an item with a token limit ended after some events.
//
// The longest items of a step are truncated at their limits and give the exact number of tokens
// per event. The median of the hints may be too low, so that the ends of long items would be
// expected too late.
func (ga *tokenEstimator) observeLimit(bound, events int) {
	if bound <= 0 || events < estimatorMinEvents {
		return
	}
	defer ga.update()
	switch more := events*ga.longestTokens - ga.longestEvents*bound; {
	case ga.longestTokens == 0, more > 0:
		ga.atLimit, ga.longestTokens, ga.longestEvents = 1, bound, events
	case more == 0:
		ga.atLimit++
	}
}

// observeHint records the number of events of an item with a hint. Hints are right at the
// median.
func (ga *tokenEstimator) observeHint(hint, events int) {
	if hint <= 0 || events < estimatorMinEvents {
		return
	}
	defer ga.update()
	ratio := float64(hint) / float64(events)
	if len(ga.ratios) < estimatorMaxRatios {
		ga.ratios = append(ga.ratios, ratio)
	} else {
		ga.ratios[ga.next] = ratio
		ga.next = (ga.next + 1) % estimatorMaxRatios
	}
	if len(ga.ratios) >= estimatorMinRatios {
		sorted := slices.Sorted(slices.Values(ga.ratios))
		ga.median = int(sorted[len(sorted)/2])
	}
}

// eventTokens returns the estimated tokens per event. The receiver may be nil.
func (ga *tokenEstimator) eventTokens() int {
	if ga == nil || ga.estimate <= 0 {
		return defaultEventTokens
	}
	return ga.estimate
}

// tokenTime returns the time per token of engines with the given median and best times per
// event, or 0 if unknown.
//
// Engines of other types may be several times slower or faster than defaultTokenTime, which would
// give wrong slack and work.
//
// Only items at their limits are used here. Hints would be biased, as the items that end first
// are those with far too high hints.
func (ga *tokenEstimator) tokenTime(median, best time.Duration) time.Duration {
	if ga == nil || ga.fromLimits() <= 0 || best <= 0 {
		return 0
	}
	tokens := ga.fromLimits()
	usual := float64(defaultTokenTime) * float64(tokens) // of an event
	if float64(best) > otherTypeFactor*usual || float64(median) < usual/otherTypeFactor {
		return median / time.Duration(tokens)
	}
	return defaultTokenTime
}

// otherTypeFactor is the factor by which the best engine must be slower, or the median one faster,
// than defaultTokenTime for it to be replaced. Prefill and weight loads may slow down most engines
// for a short time.
const otherTypeFactor = 2

// fromLimits returns the tokens per event according to items at their limits, or 0 if unknown.
func (ga *tokenEstimator) fromLimits() int {
	if ga.atLimit < estimatorMinAtLimit || ga.median <= 0 {
		return 0
	}
	exact := ga.longestTokens / ga.longestEvents
	if float64(exact) > estimatorMaxDeviation*float64(ga.median) || float64(ga.median) > estimatorMaxDeviation*float64(exact) {
		return 0 // items that ended early had the same length by chance
	}
	return exact
}
