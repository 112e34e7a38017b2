package step

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wisteriacroft/overview"
)

// loadLines is for how many customers a look at the load is logged, those that wait for
// most first: a line each, every few seconds, whatever the load.
const loadLines = 10

// A customerLoad is what a customer has and waits for.
type customerLoad struct {
	items  overview.Items
	oldest *stepRow // with items that wait
	steps  int
}

// LogLoad logs who has which part of the engines and who waits for what, while anything
// waits. When a trainer says later that its step was late, the state of that moment can't
// be asked for any more.
func (ta *Table) LogLoad(storeHeard time.Duration, now time.Time) {
	loads, total := ta.customerLoads()
	if total.Waiting == 0 {
		return
	}
	places, troubled := 0, 0
	for _, en := range ta.sortedEngines {
		places += en.slots
		if st := ta.engineState(en, now); st != overview.Serving && st != overview.Loading {
			troubled++
		}
	}
	names := slices.SortedFunc(maps.Keys(loads), func(a, b string) int {
		return cmp.Or(cmp.Compare(loads[b].items.Waiting, loads[a].items.Waiting), cmp.Compare(a, b))
	})
	ta.log("load", map[string]any{
		"customers": len(names), "engines": len(ta.sortedEngines), "held": ta.heldItems(), "open": len(ta.openSteps), "places": places,
		"running": total.Running, "store-heard-ms": storeHeard.Milliseconds(), "troubled": troubled, "waiting": total.Waiting,
	})
	for _, name := range names[:min(len(names), loadLines)] {
		ta.logCustomerLoad(name, loads[name], total, storeHeard, now)
	}
}

func (ta *Table) logCustomerLoad(name string, cu *customerLoad, total overview.Items, storeHeard time.Duration, now time.Time) {
	fields := map[string]any{
		customerField: name, "part": partOf(cu.items.Running, total.Running), "running": cu.items.Running,
		"steps": cu.steps, "waiting": cu.items.Waiting,
	}
	if sr := cu.oldest; sr != nil {
		first := sr.items[slices.IndexFunc(sr.items, func(ir *itemRow) bool { return ir.state == waiting })]
		wait := ta.engineWait(first, storeHeard >= intakeWait+intakeSlack)
		fields["age-ms"], fields["due-ms"] = sr.age(now).Milliseconds(), sr.step.Due.Milliseconds()
		fields[stepField], fields[whyField] = sr.step.ID, string(ta.itemWait(first, wait, now))
	}
	ta.log("load of customer", fields)
}

// partOf returns a part to two places, as lines show it.
func partOf(count, total int) float64 {
	return math.Round(100*float64(count)/float64(max(total, 1))) / 100
}

// customerLoads counts the items of open steps by customer, and in all.
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
