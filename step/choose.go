package step

import "time"

// engineScore returns the score of an engine for an item, in free slots.
func (ta *Table) engineScore(en *engineRow, ir *itemRow, now time.Time) float64 {
	if ta.scoreFunc != nil {
		return ta.scoreFunc(en, ir, now)
	}
	return ta.defaultScore(en, ir, now)
}

// defaultScore returns the default score of an engine for an item, in free slots.
func (ta *Table) defaultScore(en *engineRow, ir *itemRow, now time.Time) float64 {
	score := en.baseScore(now)
	for _, other := range en.items {
		if other.step == ir.step && other.item.Group == ir.item.Group {
			score += sameGroupBonus
			break
		}
	}
	_, end := en.memoryUse()
	_, added := ir.tokenUse()
	return score - paceCost(ir.expectedTime().Seconds(), float64(en.contextTokens()), ta.lagBehindBest(en)) - en.overfillCost(end+added)
}

// baseScore returns the part of an engine's score that doesn't depend on the item. An engine
// that recently broke a run, or is slow, gets items only if no other can take them.
func (en *engineRow) baseScore(now time.Time) float64 {
	score := float64(en.freeSlots())
	if now.Sub(en.brokeRunAt) < brokenRunPenalty {
		score -= float64(en.slots)
	}
	if en.slow(now) {
		score -= float64(2 * en.slots)
	}
	return score
}

// paceCost returns the cost, in slots, of an engine's pace for an item that takes the given
// seconds, by the context of the engine's runs in tokens and by how much slower the engine is
// than the best one.
//
// On a slower engine a long item would be late, while a short one still ends in time.
func paceCost(seconds, context, lag float64) float64 {
	cost := seconds * slotsPerSecond * context * slowdownPerToken
	if lag > 0 {
		cost += lag * seconds * slotsPerSecond
	}
	return cost
}

// lagBehindBest returns by which fraction an engine is slower than the best one of its service, or 0
// if that is less than paceTolerance or unknown.
func (ta *Table) lagBehindBest(en *engineRow) float64 {
	best := ta.bestBases[en.service]
	if best <= 0 || en.basePace <= 0 {
		return 0
	}
	if lag := float64(en.basePace)/float64(best) - 1; lag >= paceTolerance {
		return lag
	}
	return 0
}

// contextTokens returns the expected mean number of tokens that an engine's runs hold.
func (en *engineRow) contextTokens() int {
	now, end := en.memoryUse()
	return (now + end) / 2
}

const (
	// paceTolerance is the fraction by which an engine may be slower than the best one
	// without a cost.
	paceTolerance = 0.1
	// slotsPerSecond is the cost, in free slots, of each additional second of an item: one that would be late by
	// a second goes to a fast engine that is full but for one slot.
	slotsPerSecond = 12
	// slowdownPerToken and slowdownPerRun are the relative increases of a decoding step's
	// time by a token of context and by a run.
	slowdownPerToken = 0.00163 / 592
	slowdownPerRun   = 0.00172 / 0.592
)

// slowdown returns the factor by which runs and their context slow an engine down.
func slowdown(runs, tokens int) float64 {
	return 1 + slowdownPerRun*float64(runs) + slowdownPerToken*float64(tokens)
}

// expectedPace returns the expected time per event on an engine under its current load and, if not
// nil, one more item. It returns 0 if no engine of the service has been measured.
//
// The last reported pace depends on the load at that time: by it, an empty engine would look
// faster than a full one and attract all long runs at once.
func (ta *Table) expectedPace(en *engineRow, added *itemRow) time.Duration {
	base := en.basePace
	if base == 0 {
		base = ta.medianBases[en.service]
	}
	runs, tokens := len(en.items)+len(en.incoming), en.contextTokens()
	if added != nil {
		now, end := added.tokenUse()
		runs, tokens = runs+1, tokens+(now+end)/2
	}
	return time.Duration(float64(base) * slowdown(runs, tokens))
}
