package step

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wisteriacroft/overview"
)

// maxLoadLines bounds the customers whose load is logged at once. Those with the most waiting items come first.
const maxLoadLines = 10

// A customerLoad counts a customer's open steps and their items.
type customerLoad struct {
	items  overview.Items
	oldest *stepRow // oldest step with waiting items; nil if none
	steps  int
}

// LogLoad logs the share of the engines and the waiting items of each customer, if any items wait. The entries
// explain afterwards why a step was late. The key-value service last answered storeHeard ago.
func (ta *Table) LogLoad(storeHeard time.Duration, now time.Time) {
	loads, total := ta.customerLoads()
	if total.Waiting == 0 {
		return
	}
	slots, troubled := 0, 0
	for _, en := range ta.sortedEngines {
		slots += en.slots
		if st := ta.engineState(en, now); st != overview.Serving && st != overview.Loading {
			troubled++
		}
	}
	names := slices.SortedFunc(maps.Keys(loads), func(a, b string) int {
		return cmp.Or(cmp.Compare(loads[b].items.Waiting, loads[a].items.Waiting), cmp.Compare(a, b))
	})
	ta.log("load", map[string]any{
		"customers": len(names), "engines": len(ta.sortedEngines), "held": ta.heldItemCount(), "open": len(ta.openSteps), "places": slots,
		"running": total.Running, "store-heard-ms": storeHeard.Milliseconds(), "troubled": troubled, "waiting": total.Waiting,
	})
	for _, name := range names[:min(len(names), maxLoadLines)] {
		ta.logCustomerLoad(name, loads[name], total, storeHeard, now)
	}
}

func (ta *Table) logCustomerLoad(name string, cu *customerLoad, total overview.Items, storeHeard time.Duration, now time.Time) {
	fields := map[string]any{
		customerField: name, "part": roundedShare(cu.items.Running, total.Running), "running": cu.items.Running,
		"steps": cu.steps, "waiting": cu.items.Waiting,
	}
	if sr := cu.oldest; sr != nil {
		first := sr.items[slices.IndexFunc(sr.items, func(ir *itemRow) bool { return ir.state == waiting })]
		wait := ta.engineWaitReason(first, storeHeard >= intakeWait+intakeSlack)
		fields["age-ms"], fields["due-ms"] = sr.age(now).Milliseconds(), sr.step.Due.Milliseconds()
		fields[stepField], fields[whyField] = sr.step.ID, string(ta.itemWaitReason(first, wait, now))
	}
	ta.log("load of customer", fields)
}

// roundedShare returns count/total, rounded to two decimals.
func roundedShare(count, total int) float64 {
	return math.Round(100*float64(count)/float64(max(total, 1))) / 100
}

// customerLoads counts the items of open steps by customer and in total.
func (ta *Table) customerLoads() (loads map[string]*customerLoad, total overview.Items) {
	loads = map[string]*customerLoad{}
	for _, sr := range ta.openSteps {
		cu := loads[sr.step.Customer]
		if cu == nil {
			cu = &customerLoad{}
			loads[sr.step.Customer] = cu
		}
		var it overview.Items
		for _, ir := range sr.items {
			countItem(&it, ir)
		}
		cu.steps++
		cu.items, total = cu.items.Add(it), total.Add(it)
		if it.Waiting > 0 && (cu.oldest == nil || sr.seenAt.Before(cu.oldest.seenAt)) {
			cu.oldest = sr
		}
	}
	return loads, total
}
