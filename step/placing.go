package step

import (
	"slices"
	"time"
)

// A placing is one round of placement: the assignment of waiting items to engine slots.
//
// It evaluates each engine once, and again when a slot of it is taken or released. The order of
// items is that of bySpare or, under overload, of byRoom.
type placing struct {
	summaries []seatSummary // of seats
	live      int           // number of seats that aren't full
	lists     map[seatKey]*seatList
	now       time.Time
	seats     []seat
	steps     []*stepRow // open steps of the current service
	table     *Table
}

// newPlacing returns a round with the engines that have a free slot or one that is reserved
// for a moving item.
func (ta *Table) newPlacing(now time.Time) *placing {
	pl := &placing{lists: map[seatKey]*seatList{}, now: now, table: ta}
	for _, en := range ta.sorted {
		en.seat = -1
		free := en.free()
		if len(en.coming) == 0 && (free < 0 || free == 0 && !ta.sendsAhead(en.service)) {
			continue
		}
		en.refreshMemo()
		se := seat{endsSoon: en.memo.endsSoon, engine: en}
		if pl.countOpen(&se) <= 0 && len(en.coming) == 0 {
			continue
		}
		en.seat = len(pl.seats)
		pl.seats = append(pl.seats, se)
		pl.summaries = append(pl.summaries, seatSummary{})
		pl.live++
		pl.refresh(en.seat)
	}
	return pl
}

// give starts a waiting item if some engine can take it: the one with its reserved slot if it
// can still run the item, or else the best.
func (pl *placing) give(ir *itemRow) {
	ta := pl.table
	if ta.held(ir) || ta.rests(ir, pl.now) {
		return
	}
	kept := ta.engines[ir.target]
	pl.release(ir)
	if ta.tried(ir, pl.now) {
		if en := ta.chooseTrial(ir, pl.now); en != nil {
			ta.trials.begin(en.id, ir)
			pl.start(ir, pl.seatOf(en))
		}
		return
	}
	i := pl.seatOf(kept)
	if i < 0 || pl.seats[i].open <= 0 || !ta.usable(kept, ir) || pl.seats[i].trying {
		i = pl.choose(ir)
	}
	if i >= 0 {
		pl.start(ir, i)
	}
}

// release releases the reserved slot of an item, if any.
func (pl *placing) release(ir *itemRow) {
	if ir.target == "" {
		return
	}
	i := pl.seatOf(pl.table.engines[ir.target])
	pl.table.unreserve(ir)
	if i >= 0 {
		pl.seats[i].released = true
		pl.refresh(i)
		pl.dropBounds()
	}
}

// start starts an item on the engine of a seat. It doesn't update endsSoon of an engine that
// released a reserved slot in this round.
func (pl *placing) start(ir *itemRow, i int) {
	se := &pl.seats[i]
	pl.table.start(ir, se.engine, pl.now)
	if se.engine.refreshMemo(); !se.released {
		se.endsSoon = se.engine.memo.endsSoon
	}
	pl.refresh(i)
}

// mayTake reports whether an item of a step may get a slot: one with held tokens may fit some
// engine, or moving items may release reserved slots.
func (pl *placing) mayTake(sr *stepRow, held, moving int) bool {
	return moving > 0 || pl.listOf(sr).most >= held
}

// idle reports whether no item of any step can get or release a slot.
func (pl *placing) idle() bool {
	return !slices.ContainsFunc(pl.steps, func(sr *stepRow) bool {
		return sr.waits > 0 && pl.mayTake(sr, sr.least, sr.moving)
	})
}

// rankSteps sets the index and the customer's rank of each step. It returns the distinct ranks
// of steps with waiting items in ascending order.
func (pl *placing) rankSteps(ranks map[string]int) []int {
	var all []int
	for i, sr := range pl.steps {
		sr.place, sr.rank = i, ranks[sr.step.Customer]
		if sr.waits > 0 {
			all = append(all, sr.rank)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
