package step

import (
	"cmp"
	"slices"
	"time"
)

// A passItem is an item to be placed in the current pass.
type passItem struct {
	item  *itemRow
	slack time.Duration
}

func comparePassItems(a, b passItem) int {
	return cmp.Or(
		cmp.Compare(a.slack, b.slack), cmp.Compare(a.item.step.orderIndex, b.item.step.orderIndex), cmp.Compare(a.item.index, b.item.index),
	)
}

// placeByPlan places items by the capacity plan, in the order of customers' ranks: first urgent items
// of groups with reserved capacity, then other items of these groups, and last items of other
// groups.
func (pl *placement) placeByPlan(sp *servicePlan, ranks map[string]int) {
	sp.sortGroups(pl.steps)
	for _, rank := range pl.rankSteps(ranks) {
		for kind, groups := range [][]*groupRow{sp.reserved, sp.reserved, sp.unreserved} {
			if pl.exhausted() {
				return
			}
			pl.runPass(groups, rank, passKind(kind))
		}
	}
}

// runPass places the items of one pass of customers with the given rank. Groups must be ordered
// by position. Items of groups with the same position, such as those of steps that came after
// the last plan, are merged by slack.
func (pl *placement) runPass(groups []*groupRow, rank int, kind passKind) {
	var items []passItem
	for i, gr := range groups {
		if pl.openCount == 0 {
			return
		}
		if gr.step.customerRank == rank && gr.step.waitingCount > 0 && pl.mayFit(gr.step, gr.step.leastTokens, gr.step.movingCount) &&
			pl.mayFit(gr.step, gr.summary.leastTokens, gr.summary.movingCount) && gr.mayHaveItems(kind, pl.now) {
			items = gr.appendItems(items, kind, pl.now)
		}
		if i+1 < len(groups) && groups[i+1].plan.Position() == gr.plan.Position() {
			continue
		}
		slices.SortFunc(items, comparePassItems)
		for _, pi := range items {
			if pl.openCount == 0 {
				return
			}
			if pi.item.moveTarget != "" || pi.item.tokensNow() <= pl.listOf(pi.item.step).maxTokens {
				pl.assign(pi.item)
			}
		}
		items = items[:0]
	}
}

// A passKind is one of three passes over the groups.
type passKind int

const (
	urgentPass    passKind = iota // items with less slack than urgentSlack in groups with reserved capacity
	plannedPass                   // other items in groups with reserved capacity
	unplannedPass                 // items in groups without reserved capacity
)

// mayHaveItems reports whether a group may have items for a pass, by the bounds in its summary.
func (gr *groupRow) mayHaveItems(kind passKind, now time.Time) bool {
	left := gr.step.step.Due - gr.step.age(now)
	switch kind {
	case urgentPass:
		return gr.summary.needsScore || left-gr.summary.longest < urgentSlack
	case plannedPass:
		return left-gr.summary.shortest >= urgentSlack
	default:
		return true
	}
}

// appendItems appends the waiting items of a group that belong to a pass.
func (gr *groupRow) appendItems(items []passItem, kind passKind, now time.Time) []passItem {
	for _, ir := range gr.summary.waiting {
		if ir.state != waiting {
			continue
		}
		slack := ir.slack(now)
		if kind == unplannedPass || (kind == urgentPass) == (slack < urgentSlack) {
			items = append(items, passItem{item: ir, slack: slack})
		}
	}
	return items
}
