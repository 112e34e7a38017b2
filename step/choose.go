package step

import "time"

// rankOf returns how good an engine is for an item, in free places.
func (ta *Table) rankOf(en *engineRow, ir *itemRow, now time.Time) float64 {
	if ta.rank != nil {
		return ta.rank(en, ir, now)
	}
	return ta.score(en, ir, now)
}

// score returns how good an engine is for an item, in free places.
func (ta *Table) score(en *engineRow, ir *itemRow, now time.Time) float64 {
	score := en.baseScore(now)
	for _, other := range en.items {
		if other.step == ir.step && other.item.Group == ir.item.Group {
			score += matePlaces
			break
		}
	}
	_, end := en.memoryUse()
	_, added := ir.tokenUse()
	return score - paceCost(ir.expectedTime().Seconds(), float64(en.context()), ta.behind(en)) - en.crowding(end+added)
}

// baseScore returns how good an engine is for any item, in free places. One on which a run
// failed, or that is slow, gets items only if no other can take them.
func (en *engineRow) baseScore(now time.Time) float64 {
	score := float64(en.free())
	if now.Sub(en.failed) < failedFor {
		score -= float64(en.slots)
	}
	if en.slow(now) {
		score -= float64(2 * en.slots)
	}
	return score
}

// paceCost returns what an engine's pace costs an item that takes so many seconds, in
// places, by the tokens that the engine's runs are expected to hold and by what part it is
// behind the best engine.
//
// On an engine that is always slower than others a long item would be late, while a short
// one still ends in time. Each run also slows the others of its engine down by its context.
func paceCost(took, context, behind float64) float64 {
	cost := took * placesPerSecond * context * slowdownPerToken
	if behind > 0 {
		cost += behind * took * placesPerSecond
	}
	return cost
}

// behind returns by what part an engine is slower than the best one of its service, or 0 if
// that is less than paceTolerance or not known.
func (ta *Table) behind(en *engineRow) float64 {
	best := ta.bests[en.service]
	if best <= 0 || en.base <= 0 {
		return 0
	}
	if behind := float64(en.base)/float64(best) - 1; behind >= paceTolerance {
		return behind
	}
	return 0
}

// context returns how many tokens an engine's runs are expected to hold.
func (en *engineRow) context() int {
	now, end := en.memoryUse()
	return (now + end) / 2
}

const (
	// paceTolerance is by how much an engine may be slower than the best one
	// before it counts.
	paceTolerance = 0.1
	// placesPerSecond is how many free places a second of lateness is worth: an
	// item that would be late by one goes to a fast engine that is full but for
	// one place.
	placesPerSecond = 12
	// slowdownPerToken and slowdownPerRun are the parts by which a token of
	// context and a run slow an engine down: what each adds to the engine's time for
	// one round of all runs, by that time, in us.
	slowdownPerToken = 0.00163 / 592
	slowdownPerRun   = 0.00172 / 0.592
)

// slowdown returns by how much runs and their context slow an engine down.
func slowdown(runs, tokens int) float64 {
	return 1 + slowdownPerRun*float64(runs) + slowdownPerToken*float64(tokens)
}

// paceWith returns how long an event is expected to take at an engine, beside
// what it runs and, if not nil, a run that comes to it. It returns 0 if no
// engine of the service has been seen.
//
// The pace that an engine last showed is of what it ran then. Taken as it is, an
// engine that was nearly empty looks faster than a full one, all long runs move
// to it at once, and leave it again.
func (ta *Table) paceWith(en *engineRow, added *itemRow) time.Duration {
	base := en.base
	if base == 0 {
		base = ta.bases[en.service]
	}
	runs, tokens := len(en.items)+len(en.coming), en.context()
	if added != nil {
		now, end := added.tokenUse()
		runs, tokens = runs+1, tokens+(now+end)/2
	}
	return time.Duration(float64(base) * slowdown(runs, tokens))
}
