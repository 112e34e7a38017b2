package step

import (
	"cmp"
	"slices"
	"time"
)

// A placeItem is an item that is to get a place in its turn.
type placeItem struct {
	item  *itemRow
	spare time.Duration // time to spare
}

func comparePlaceItems(a, b placeItem) int {
	return cmp.Or(
		cmp.Compare(a.spare, b.spare), cmp.Compare(a.item.step.place, b.item.step.place), cmp.Compare(a.item.index, b.item.index),
	)
}

// byRoom gives places by the plan of the room, customer by customer in the order of their
// ranks: first to urgent items of groups that room is kept for, then to the other items of
// these groups, and last to items of the other groups.
func (pl *placing) byRoom(rm *room, ranks map[string]int) {
	rm.order(pl.steps)
	for _, rank := range pl.rankSteps(ranks) {
		for turn, groups := range [][]*groupRow{rm.withRoom, rm.withRoom, rm.without} {
			if pl.idle() {
				return
			}
			pl.turn(groups, rank, placeTurn(turn))
		}
	}
}

// turn gives places to items whose turn it is, of customers of a rank. Groups come by their
// positions. Those with the same one, as those of steps that came after the last plan, go
// together, their items by time to spare.
func (pl *placing) turn(groups []*groupRow, rank int, turn placeTurn) {
	var items []placeItem
	for i, gr := range groups {
		if pl.live == 0 {
			return
		}
		if gr.step.rank == rank && gr.step.waits > 0 && pl.mayTake(gr.step, gr.step.least, gr.step.moving) &&
			pl.mayTake(gr.step, gr.wait.least, gr.wait.moving) && gr.mayHave(turn, pl.now) {
			items = gr.itemsOf(items, turn, pl.now)
		}
		if i+1 < len(groups) && groups[i+1].plan.Position() == gr.plan.Position() {
			continue
		}
		slices.SortFunc(items, comparePlaceItems)
		for _, pi := range items {
			if pl.live == 0 {
				return
			}
			if pi.item.target != "" || pi.item.tokensNow() <= pl.listOf(pi.item.step).most {
				pl.give(pi.item)
			}
		}
		items = items[:0]
	}
}

// A placeTurn is one of three passes over the groups, each for other items.
type placeTurn int

// The turns, the first one first.
const (
	urgent    placeTurn = iota // room is kept for its group, and it has less than urgentSpare
	planned                    // room is kept for its group, and it has more time to spare
	unplanned                  // no room is kept for its group
)

// mayHave reports whether a group may have items for a turn, by the bounds that it keeps of
// them: most groups need no look at their items.
func (gr *groupRow) mayHave(turn placeTurn, now time.Time) bool {
	left := gr.step.step.Due - gr.step.age(now)
	switch turn {
	case urgent:
		return gr.wait.rewarded || left-gr.wait.longest < urgentSpare
	case planned:
		return left-gr.wait.shortest >= urgentSpare
	default:
		return true
	}
}

// itemsOf appends to items those of a group that wait and whose turn it is.
func (gr *groupRow) itemsOf(items []placeItem, turn placeTurn, now time.Time) []placeItem {
	for _, ir := range gr.wait.waiting {
		if ir.state != waiting {
			continue
		}
		spare := ir.timeToSpare(now)
		if turn == unplanned || (turn == urgent) == (spare < urgentSpare) {
			items = append(items, placeItem{item: ir, spare: spare})
		}
	}
	return items
}
