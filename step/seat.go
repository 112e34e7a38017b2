package step

import (
	"math"
	"slices"
)

// A seat is an engine in a round of placing: one that has a free place, or keeps one for an
// item that moves. It holds what choosing an engine needs, worked out once.
//
// For each item that waits, choosing looks at all seats. What rules most of them out stands
// apart, in a seatSummary, so that little memory is read.
type seat struct {
	behind   float64 // as Table.behind returns it
	context  float64 // tokens that its runs are expected to hold
	end      int     // tokens that it would hold at the ends of its runs
	endsSoon bool    // one of its runs was about to end when it was last given an item
	engine   *engineRow
	full     bool // no item can come in this round
	open     int  // items that it may be given
	released bool // it gave back a place that it kept
	trying   bool // it tries an item alone
}

// A seatSummary holds what rules a seat out for most items.
type seatSummary struct {
	room  int     // tokens that an item may hold now to fit; fullRoom if none may come
	score float64 // upper bound: the part that depends on the item is only subtracted
}

// fullRoom is the room of an engine that takes no item now.
const fullRoom = math.MinInt

// A seatKey is what decides which engines can run a step's items: steps with the same key
// share one list of seats.
type seatKey struct {
	minVersion     uint64
	model, service string
}

// A seatList holds the seats that can run the items of some steps.
type seatList struct {
	last  int   // the one that was chosen last, or -1
	most  int   // tokens: an item that holds more fits none of them
	seats []int // their numbers
}

// countOpen returns how many items an engine may be given now.
//
// After a run ends, its place is empty until the scheduler has heard of the end and the next
// item has reached the engine. Where runs are short, that is much of the time. So a full
// engine of which a run is about to end is sent one item more, which waits there.
//
// That is not done while a customer that asks for no more than its part competes for the
// room: its step may come a moment later, and the next free place would be taken already.
func (pl *placing) countOpen(se *seat) int {
	free := se.engine.free()
	if free == 0 && se.endsSoon && pl.table.sendsAhead(se.engine.service) {
		return 1
	}
	return free
}

// refresh works a seat out anew, by what its engine runs now.
func (pl *placing) refresh(i int) {
	se, ta := &pl.seats[i], pl.table
	en := se.engine
	now, end := en.memoryUse()
	se.open, se.end, se.context = pl.countOpen(se), end, float64((now+end)/2)
	se.trying = ta.trials.tries(en.id, pl.now)
	pl.summaries[i] = pl.summaryOf(se, now)
	se.behind = ta.behind(en)
	if !se.full && se.open <= 0 && len(en.coming) == 0 {
		se.full = true
		if pl.live--; pl.live < len(pl.summaries)/2 && pl.live%dropEvery == 0 {
			pl.dropFull()
		}
	}
}

// dropEvery is how many seats more must be full before full ones are dropped from all lists
// again: each time looks at all seats.
const dropEvery = 16

// summaryOf returns the summary of a seat, by how many tokens its engine holds now.
func (pl *placing) summaryOf(se *seat, now int) seatSummary {
	en := se.engine
	su := seatSummary{room: math.MaxInt, score: en.baseScore(pl.now)}
	switch {
	case se.open <= 0 || se.trying:
		su.room = fullRoom
	case en.tokens > 0 && len(en.items) > 0:
		su.room = int(math.Floor(memoryPart*float64(en.tokens))) - now
	}
	return su
}

// seatOf returns the number of an engine's seat, or -1. The number that an engine holds may
// be of an earlier round.
func (pl *placing) seatOf(en *engineRow) int {
	if en != nil && en.seat >= 0 && en.seat < len(pl.seats) && pl.seats[en.seat].engine == en {
		return en.seat
	}
	return -1
}

// listOf returns the seats that can run a step's items. The step holds it for this round.
func (pl *placing) listOf(sr *stepRow) *seatList {
	if sr.round == pl {
		return sr.seats
	}
	key := seatKey{minVersion: sr.step.MinVersion, model: sr.step.Model, service: sr.step.Service}
	sl := pl.lists[key]
	if sl == nil {
		sl = &seatList{last: -1, most: fullRoom}
		for i := range pl.seats {
			se := &pl.seats[i]
			if se.full || !pl.table.runsStep(se.engine, sr.step) {
				continue
			}
			sl.seats = append(sl.seats, i)
			sl.most = max(sl.most, pl.summaries[i].room)
		}
		pl.lists[key] = sl
	}
	sr.round, sr.seats = pl, sl
	return sl
}

// dropBounds drops the bounds on what fits, since an engine has got room. The next choice
// from a list works its bound out again.
func (pl *placing) dropBounds() {
	for _, sl := range pl.lists {
		if len(sl.seats) > 0 {
			sl.most = math.MaxInt
		}
	}
}

// An itemNeeds holds what choosing an engine needs to know of an item, worked out once.
type itemNeeds struct {
	item     *itemRow
	now, end int     // tokens that it holds now, and at its expected end
	took     float64 // seconds that the rest of it is expected to take
	unwanted string  // engine that it may not go to yet
}

func (pl *placing) needsOf(ir *itemRow) itemNeeds {
	ne := itemNeeds{item: ir, took: ir.expectedTime().Seconds()}
	ne.now, ne.end = ir.tokenUse()
	if pl.now.Sub(ir.since) < againAfter {
		ne.unwanted = ir.unwanted
	}
	return ne
}

// takes reports whether an engine that has room for an item takes it.
func (se *seat) takes(ne *itemNeeds) bool {
	return (ne.unwanted == "" || se.engine.id != ne.unwanted) && se.engine.goesOnWith(ne.item)
}

// scoreOf returns how good an engine is for an item, in free places, by its score before
// what depends on the item.
func (se *seat) scoreOf(ne *itemNeeds, score float64) float64 {
	return score - paceCost(ne.took, se.context, se.behind) - se.engine.crowding(se.end+ne.end)
}

// choose returns the seat that is best for an item, or -1. On the way it works out anew what
// fits the list of seats at most.
//
// A seat whose score before the item is below the best one can't be better, and isn't
// looked at further; another rule in the table's rank knows no such bound. Engines that run
// items of the same group are looked at once more, with what that adds.
func (pl *placing) choose(ir *itemRow) int {
	sl := pl.listOf(ir.step)
	ne := pl.needsOf(ir)
	best, bestScore, most := -1, 0.0, fullRoom
	consider := func(i int, score float64) {
		se := &pl.seats[i]
		if !se.takes(&ne) {
			return
		}
		score = pl.rankOf(se, &ne, score)
		if best < 0 || score > bestScore || score == bestScore && se.engine.id < pl.seats[best].engine.id {
			best, bestScore = i, score
		}
	}
	// A good one first, so that most of the others are passed over by their summaries.
	for _, mate := range ir.group.items {
		if mate.state != running {
			continue
		}
		if i := pl.seatOf(mate.run.at); i >= 0 && ne.now <= pl.summaries[i].room && pl.table.runsStep(mate.run.at, ir.step.step) {
			consider(i, pl.summaries[i].score+matePlaces)
		}
	}
	if i := sl.last; i >= 0 && ne.now <= pl.summaries[i].room {
		consider(i, pl.summaries[i].score)
	}
	for _, i := range sl.seats {
		su := &pl.summaries[i]
		most = max(most, su.room)
		if ne.now <= su.room && (best < 0 || su.score >= bestScore || pl.table.rank != nil) {
			consider(i, su.score)
		}
	}
	sl.most = most
	if best >= 0 {
		sl.last = best
	}
	return best
}

// dropFull drops the seats that are full from all lists.
func (pl *placing) dropFull() {
	for _, sl := range pl.lists {
		sl.seats = slices.DeleteFunc(sl.seats, func(i int) bool { return pl.seats[i].full })
	}
}

// rankOf returns how good a seat is for an item, by the table's rank if it has one.
func (pl *placing) rankOf(se *seat, ne *itemNeeds, score float64) float64 {
	if rank := pl.table.rank; rank != nil {
		return rank(se.engine, ne.item, pl.now)
	}
	return se.scoreOf(ne, score)
}
