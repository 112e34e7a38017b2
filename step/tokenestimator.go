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
	estimate int              // 0 means none

	ratios []float64 // hint per event, of items that ended
	next   int       // index of the oldest ratio
	median int       // of the ratios

	atLimit       int // number of items with the most events for their limit
	longestTokens int // their token limit
	longestEvents int // their events
}

// An estimateChanges counts changes of the estimates of all models, to invalidate caches.
type estimateChanges struct{ counted int }

// count returns the count, or 0 if ec is nil.
func (ec *estimateChanges) count() int {
	if ec == nil {
		return 0
	}
	return ec.counted
}

// update recomputes the estimate.
func (es *tokenEstimator) update() {
	before := es.eventTokens()
	es.estimate = es.fromLimits()
	if es.estimate <= 0 {
		es.estimate = es.median
	}
	if es.changes != nil && es.eventTokens() != before {
		es.changes.counted++
	}
}

// observeLimit records that an item with a token limit ended after some events.
//
// The longest items of a step are truncated at their limits and give the exact number of tokens
// per event. The median of the hints may be too low, so that the ends of long items would be
// expected too late.
func (es *tokenEstimator) observeLimit(limit, events int) {
	if limit <= 0 || events < estimatorMinEvents {
		return
	}
	defer es.update()
	switch more := events*es.longestTokens - es.longestEvents*limit; {
	case es.longestTokens == 0, more > 0:
		es.atLimit, es.longestTokens, es.longestEvents = 1, limit, events
	case more == 0:
		es.atLimit++
	}
}

// observeHint records the number of events of an item with a hint. Hints are right at the
// median.
func (es *tokenEstimator) observeHint(hint, events int) {
	if hint <= 0 || events < estimatorMinEvents {
		return
	}
	defer es.update()
	ratio := float64(hint) / float64(events)
	if len(es.ratios) < estimatorMaxRatios {
		es.ratios = append(es.ratios, ratio)
	} else {
		es.ratios[es.next] = ratio
		es.next = (es.next + 1) % estimatorMaxRatios
	}
	if len(es.ratios) >= estimatorMinRatios {
		sorted := slices.Sorted(slices.Values(es.ratios))
		es.median = int(sorted[len(sorted)/2])
	}
}

// eventTokens returns the estimated tokens per event. The receiver may be nil.
func (es *tokenEstimator) eventTokens() int {
	if es == nil || es.estimate <= 0 {
		return defaultEventTokens
	}
	return es.estimate
}

// tokenTime returns the time per token of engines with the given median and best times per
// event, or 0 if unknown.
//
// Engines of other types may be several times slower or faster than defaultTokenTime, which would
// give wrong slack and work.
//
// Only items at their limits are used here. Hints would be biased, as the items that end first
// are those with far too high hints.
func (es *tokenEstimator) tokenTime(median, best time.Duration) time.Duration {
	if es == nil || es.fromLimits() <= 0 || best <= 0 {
		return 0
	}
	tokens := es.fromLimits()
	assumed := float64(defaultTokenTime) * float64(tokens) // of an event
	if float64(best) > otherTypeFactor*assumed || float64(median) < assumed/otherTypeFactor {
		return median / time.Duration(tokens)
	}
	return defaultTokenTime
}

// otherTypeFactor is the factor by which the best engine must be slower, or the median one faster,
// than defaultTokenTime for it to be replaced. Prefill and weight loads may slow down most engines
// for a short time.
const otherTypeFactor = 2

// fromLimits returns the tokens per event according to items at their limits, or 0 if unknown.
func (es *tokenEstimator) fromLimits() int {
	if es.atLimit < estimatorMinAtLimit || es.median <= 0 {
		return 0
	}
	exact := es.longestTokens / es.longestEvents
	if float64(exact) > estimatorMaxDeviation*float64(es.median) || float64(es.median) > estimatorMaxDeviation*float64(exact) {
		return 0 // items that ended early had the same length by chance
	}
	return exact
}
