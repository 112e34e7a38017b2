package step

import (
	"cmp"
	"slices"
	"time"
)

// A placeItem is an item to be placed in the current pass.
type placeItem struct {
	item  *itemRow
	spare time.Duration // slack
}

func comparePlaceItems(a, b placeItem) int {
	return cmp.Or(
		cmp.Compare(a.spare, b.spare), cmp.Compare(a.item.step.place, b.item.step.place), cmp.Compare(a.item.index, b.item.index),
	)
}

// byRoom places items by the capacity plan, in the order of customers' ranks: first urgent items
// of groups with reserved capacity, then other items of these groups, and last items of other
// groups.
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

// turn places the items of one pass of customers with the given rank. Groups must be ordered
// by position. Items of groups with the same position, such as those of steps that came after
// the last plan, are merged by slack.
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
			if pi.item.target != "" || pi.item.holdsNow() <= pl.listOf(pi.item.step).most {
				pl.give(pi.item)
			}
		}
		items = items[:0]
	}
}

// A placeTurn is one of three passes over the groups.
type placeTurn int

const (
	urgent    placeTurn = iota // items with less slack than urgentSpare in groups with reserved capacity
	planned                    // other items in groups with reserved capacity
	unplanned                  // items in groups without reserved capacity
)

// mayHave reports whether a group may have items for a pass, by the bounds in its summary.
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

// itemsOf appends the waiting items of a group that belong to a pass.
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
