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
	lagBehindBest float64 // see Table.lagBehindBest
	contextTokens float64 // see engineRow.contextTokens
	endTokens     int     // total tokens at the ends of its runs
	endsSoon      bool    // a run was about to end when an item was last started
	engine        *engineRow
	full          bool // takes no more items in this round
	openSlots     int  // number of items that it may still get
	released      bool // a reserved slot was released in this round
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
	indexes    []int // of candidates
}

// countOpenSlots returns how many items an engine may get now.
//
// A full engine with a run about to end gets one item in advance, so that the slot isn't idle
// until the scheduler learns of the end. This isn't done while a customer within its share
// competes, since the next free slot would already be taken when its step arrives.
func (pl *placement) countOpenSlots(ca *candidate) int {
	free := ca.engine.freeSlots()
	if free == 0 && ca.endsSoon && pl.table.prequeues(ca.engine.service) {
		return 1
	}
	return free
}

// refresh recomputes a candidate from the current state of its engine.
func (pl *placement) refresh(i int) {
	ca, ta := &pl.candidates[i], pl.table
	en := ca.engine
	now, end := en.memoryUse()
	ca.openSlots, ca.endTokens, ca.contextTokens = pl.countOpenSlots(ca), end, float64((now+end)/2)
	pl.summaries[i] = pl.summaryOf(ca, now)
	ca.lagBehindBest = ta.lagBehindBest(en)
	if !ca.full && ca.openSlots <= 0 && len(en.incoming) == 0 {
		ca.full = true
		if pl.openCount--; pl.openCount < len(pl.summaries)/2 && pl.openCount%compactEvery == 0 {
			pl.compactLists()
		}
	}
}

// compactEvery is the number of candidates that must become full between two compactions of the lists.
const compactEvery = 16

// summaryOf returns the summary of a candidate whose engine holds now tokens.
func (pl *placement) summaryOf(ca *candidate, now int) candidateSummary {
	en := ca.engine
	cs := candidateSummary{freeTokens: math.MaxInt, score: en.baseScore(pl.now)}
	switch {
	case ca.openSlots <= 0:
		cs.freeTokens = noFreeTokens
	case en.tokens > 0 && len(en.items) > 0:
		cs.freeTokens = int(math.Floor(maxMemoryFraction*float64(en.tokens))) - now
	}
	return cs
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
	cl := pl.candidateLists[key]
	if cl == nil {
		cl = &candidateList{lastChosen: -1, maxTokens: noFreeTokens}
		for i := range pl.candidates {
			ca := &pl.candidates[i]
			if ca.full || !pl.table.canRunStep(ca.engine, sr.step) {
				continue
			}
			cl.indexes = append(cl.indexes, i)
			cl.maxTokens = max(cl.maxTokens, pl.summaries[i].freeTokens)
		}
		pl.candidateLists[key] = cl
	}
	sr.placement, sr.candidates = pl, cl
	return cl
}

// resetBounds resets the bounds of all lists after memory of an engine was released. The next
// choice from a list computes its bound again.
func (pl *placement) resetBounds() {
	for _, cl := range pl.candidateLists {
		if len(cl.indexes) > 0 {
			cl.maxTokens = math.MaxInt
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
	de := itemDemand{item: ir, seconds: ir.expectedTime().Seconds()}
	de.tokens, de.endTokens = ir.tokenUse()
	if pl.now.Sub(ir.stateSince) < avoidEngineFor {
		de.avoidedEngine = ir.avoidedEngine
	}
	return de
}

// accepts reports whether an engine with enough free memory for an item can run it.
func (ca *candidate) accepts(de *itemDemand) bool {
	return (de.avoidedEngine == "" || ca.engine.id != de.avoidedEngine) && ca.engine.canContinue(de.item)
}

// score returns the score of a candidate for an item, given the part that doesn't depend on it.
func (ca *candidate) score(de *itemDemand, score float64) float64 {
	return score - paceCost(de.seconds, ca.contextTokens, ca.lagBehindBest) - ca.engine.overfillCost(ca.endTokens+de.endTokens)
}

// choose returns the index of the best candidate for an item, or -1, and updates the bound of the
// list.
//
// It skips candidates whose upper bound is below the best score, unless the table has a custom
// score, which has no such bound. Engines that run items of the same group are considered
// first, with their bonus.
func (pl *placement) choose(ir *itemRow) int {
	cl := pl.listOf(ir.step)
	de := pl.demandOf(ir)
	best, bestScore, maxTokens := -1, 0.0, noFreeTokens
	consider := func(i int, score float64) {
		ca := &pl.candidates[i]
		if !ca.accepts(&de) {
			return
		}
		score = pl.score(ca, &de, score)
		if best < 0 || score > bestScore || score == bestScore && ca.engine.id < pl.candidates[best].engine.id {
			best, bestScore = i, score
		}
	}
	// Likely good ones first, so that most of the others are skipped by their summaries.
	for _, peer := range ir.group.items {
		if peer.state != running {
			continue
		}
		if i := pl.indexOf(peer.run.engine); i >= 0 && de.tokens <= pl.summaries[i].freeTokens && pl.table.canRunStep(peer.run.engine, ir.step.step) {
			consider(i, pl.summaries[i].score+sameGroupBonus)
		}
	}
	if i := cl.lastChosen; i >= 0 && de.tokens <= pl.summaries[i].freeTokens {
		consider(i, pl.summaries[i].score)
	}
	for _, i := range cl.indexes {
		cs := &pl.summaries[i]
		maxTokens = max(maxTokens, cs.freeTokens)
		if de.tokens <= cs.freeTokens && (best < 0 || cs.score >= bestScore || pl.table.scoreFunc != nil) {
			consider(i, cs.score)
		}
	}
	cl.maxTokens = maxTokens
	if best >= 0 {
		cl.lastChosen = best
	}
	return best
}

// compactLists removes full candidates from all lists.
func (pl *placement) compactLists() {
	for _, cl := range pl.candidateLists {
		cl.indexes = slices.DeleteFunc(cl.indexes, func(i int) bool { return pl.candidates[i].full })
	}
}

// score returns the score of a candidate for an item, by the table's custom score if it has one.
func (pl *placement) score(ca *candidate, de *itemDemand, score float64) float64 {
	if scoreFunc := pl.table.scoreFunc; scoreFunc != nil {
		return scoreFunc(ca.engine, de.item, pl.now)
	}
	return ca.score(de, score)
}
