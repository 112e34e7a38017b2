package step

import (
	"math"
	"slices"
)

// A candidate is a candidate engine in a round of placement, with precomputed inputs of its score.
//
// The values that exclude most candidates are kept in a compact candidateSummary, since every
// candidate is checked for every waiting item.
type candidate struct {
	lagBehindBest float64 // see Table.behind
	contextTokens float64 // see engineRow.context
	endTokens     int     // total tokens at the ends of its runs
	endsSoon      bool    // a run was about to end when an item was last started
	engine        *engineRow
	full          bool // takes no more items in this round
	openSlots     int  // number of items that it may still get
	released      bool // a reserved slot was released in this round
	runsTrial     bool // runs an isolated trial of an item
}

// A candidateSummary holds the values that exclude a candidate for most items.
type candidateSummary struct {
	freeTokens int     // maximum tokens of an item that fits; noFreeTokens if none does
	score      float64 // upper bound of the score: the part that depends on the item is only subtracted
}

// noFreeTokens marks an engine that takes no items.
const noFreeTokens = math.MinInt

// A candidateKey identifies steps whose items can run on the same engines. They share a
// candidateList.
type candidateKey struct {
	minVersion     uint64
	model, service string
}

// A candidateList holds the candidates that can run the items of some steps.
type candidateList struct {
	lastChosen int   // last chosen index, or -1
	maxTokens  int   // upper bound of the tokens of an item that fits
	indexes    []int // indexes
}

// countOpenSlots returns how many items an engine may get now.
//
// A full engine with a run about to end gets one item in advance, so that the slot isn't idle
// until the scheduler learns of the end. This isn't done while a customer within its share
// competes, since the next free slot would already be taken when its step arrives.
func (pl *placement) countOpenSlots(se *candidate) int {
	free := se.engine.freeSlots()
	if free == 0 && se.endsSoon && pl.table.prequeues(se.engine.service) {
		return 1
	}
	return free
}

// refresh recomputes a candidate from the current state of its engine.
func (pl *placement) refresh(i int) {
	se, ta := &pl.candidates[i], pl.table
	en := se.engine
	now, end := en.memoryUse()
	se.openSlots, se.endTokens, se.contextTokens = pl.countOpenSlots(se), end, float64((now+end)/2)
	se.runsTrial = ta.trials.runsTrial(en.id, pl.now)
	pl.summaries[i] = pl.summaryOf(se, now)
	se.lagBehindBest = ta.lagBehindBest(en)
	if !se.full && se.openSlots <= 0 && len(en.incoming) == 0 {
		se.full = true
		if pl.openCount--; pl.openCount < len(pl.summaries)/2 && pl.openCount%compactEvery == 0 {
			pl.compactLists()
		}
	}
}

// compactEvery is the number of candidates that must become full between two compactions of the lists.
const compactEvery = 16

// summaryOf returns the summary of a candidate whose engine holds now tokens.
func (pl *placement) summaryOf(se *candidate, now int) candidateSummary {
	en := se.engine
	su := candidateSummary{freeTokens: math.MaxInt, score: en.baseScore(pl.now)}
	switch {
	case se.openSlots <= 0 || se.runsTrial:
		su.freeTokens = noFreeTokens
	case en.tokens > 0 && len(en.items) > 0:
		su.freeTokens = int(math.Floor(maxMemoryFraction*float64(en.tokens))) - now
	}
	return su
}

// indexOf returns the index of an engine's candidate, or -1. The index stored in the engine may be of
// an earlier round.
func (pl *placement) indexOf(en *engineRow) int {
	if en != nil && en.candidateIndex >= 0 && en.candidateIndex < len(pl.candidates) && pl.candidates[en.candidateIndex].engine == en {
		return en.candidateIndex
	}
	return -1
}

// listOf returns the candidates that can run a step's items, cached for this round.
func (pl *placement) listOf(sr *stepRow) *candidateList {
	if sr.placement == pl {
		return sr.candidates
	}
	key := candidateKey{minVersion: sr.step.MinVersion, model: sr.step.Model, service: sr.step.Service}
	sl := pl.candidateLists[key]
	if sl == nil {
		sl = &candidateList{lastChosen: -1, maxTokens: noFreeTokens}
		for i := range pl.candidates {
			se := &pl.candidates[i]
			if se.full || !pl.table.canRunStep(se.engine, sr.step) {
				continue
			}
			sl.indexes = append(sl.indexes, i)
			sl.maxTokens = max(sl.maxTokens, pl.summaries[i].freeTokens)
		}
		pl.candidateLists[key] = sl
	}
	sr.placement, sr.candidates = pl, sl
	return sl
}

// resetBounds resets the bounds of all lists after memory of an engine was released. The next
// choice from a list computes its bound again.
func (pl *placement) resetBounds() {
	for _, sl := range pl.candidateLists {
		if len(sl.indexes) > 0 {
			sl.maxTokens = math.MaxInt
		}
	}
}

// An itemDemand holds precomputed properties of an item for the choice of an engine.
type itemDemand struct {
	item              *itemRow
	tokens, endTokens int     // tokens now and at the expected end
	seconds           float64 // expected seconds to complete
	avoidedEngine     string  // engine to avoid, or empty
}

func (pl *placement) demandOf(ir *itemRow) itemDemand {
	ne := itemDemand{item: ir, seconds: ir.expectedTime().Seconds()}
	ne.tokens, ne.endTokens = ir.tokenUse()
	if pl.now.Sub(ir.stateSince) < avoidEngineFor {
		ne.avoidedEngine = ir.avoidedEngine
	}
	return ne
}

// accepts reports whether an engine with enough free memory for an item can run it.
func (se *candidate) accepts(ne *itemDemand) bool {
	return (ne.avoidedEngine == "" || se.engine.id != ne.avoidedEngine) && se.engine.canContinue(ne.item)
}

// score returns the score of a candidate for an item, given the part that doesn't depend on it.
func (se *candidate) score(ne *itemDemand, score float64) float64 {
	return score - paceCost(ne.seconds, se.contextTokens, se.lagBehindBest) - se.engine.overfillCost(se.endTokens+ne.endTokens)
}

// choose returns the index of the best candidate for an item, or -1, and updates the bound of the
// list.
//
// It skips candidates whose upper bound is below the best score, unless the table has a custom
// score, which has no such bound. Engines that run items of the same group are considered
// first, with their bonus.
func (pl *placement) choose(ir *itemRow) int {
	sl := pl.listOf(ir.step)
	ne := pl.demandOf(ir)
	best, bestScore, most := -1, 0.0, noFreeTokens
	consider := func(i int, score float64) {
		se := &pl.candidates[i]
		if !se.accepts(&ne) {
			return
		}
		score = pl.score(se, &ne, score)
		if best < 0 || score > bestScore || score == bestScore && se.engine.id < pl.candidates[best].engine.id {
			best, bestScore = i, score
		}
	}
	// Likely good ones first, so that most of the others are skipped by their summaries.
	for _, mate := range ir.group.items {
		if mate.state != running {
			continue
		}
		if i := pl.indexOf(mate.run.engine); i >= 0 && ne.tokens <= pl.summaries[i].freeTokens && pl.table.canRunStep(mate.run.engine, ir.step.step) {
			consider(i, pl.summaries[i].score+sameGroupBonus)
		}
	}
	if i := sl.lastChosen; i >= 0 && ne.tokens <= pl.summaries[i].freeTokens {
		consider(i, pl.summaries[i].score)
	}
	for _, i := range sl.indexes {
		su := &pl.summaries[i]
		most = max(most, su.freeTokens)
		if ne.tokens <= su.freeTokens && (best < 0 || su.score >= bestScore || pl.table.scoreFunc != nil) {
			consider(i, su.score)
		}
	}
	sl.maxTokens = most
	if best >= 0 {
		sl.lastChosen = best
	}
	return best
}

// compactLists removes full candidates from all lists.
func (pl *placement) compactLists() {
	for _, sl := range pl.candidateLists {
		sl.indexes = slices.DeleteFunc(sl.indexes, func(i int) bool { return pl.candidates[i].full })
	}
}

// score returns the score of a candidate for an item, by the table's custom score if it has one.
func (pl *placement) score(se *candidate, ne *itemDemand, score float64) float64 {
	if rank := pl.table.scoreFunc; rank != nil {
		return rank(se.engine, ne.item, pl.now)
	}
	return se.score(ne, score)
}
