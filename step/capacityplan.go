package step

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriacroft/overload"
)

const (
	// planInterval is the interval of capacity planning.
	planInterval = 200 * time.Millisecond
	// urgentSlack is the slack below which an item goes before its group's turn. It is large
	// because hints often underestimate the length of items.
	urgentSlack = 3 * time.Second
	// graceTime is how late a group may be and still count as in time, since trainers poll
	// with pauses.
	graceTime = 400 * time.Millisecond
)

// planCapacity plans the capacity of each service, at intervals of planInterval.
func (ta *Table) planCapacity(now time.Time) {
	if now.Sub(ta.plannedAt) < planInterval {
		return
	}
	ta.plannedAt = now
	ta.paceRound++
	ranks := ta.customerRanks(ta.waitingCustomers())
	rows := map[string][]*stepRow{} // by service
	for _, sr := range ta.openSteps {
		// A step without a due time is never late and needs no plan.
		if sr.step.Due > 0 && !ta.fullyHeld(sr) {
			rows[sr.step.Service] = append(rows[sr.step.Service], sr)
			ta.servicePlan(sr.step.Service)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(ta.servicePlans)) {
		ta.planService(service, rows[service], ranks, now)
	}
}

// planService plans the capacity of one service.
func (ta *Table) planService(service string, rows []*stepRow, ranks map[string]int, now time.Time) {
	sp := ta.servicePlan(service)
	ranks = sp.adaptRanks(ranks)
	steps := make([]*overload.Step, len(rows))
	for i, sr := range rows {
		steps[i] = ta.plannerStep(sr, now)
		steps[i].Rank = ranks[sr.step.Customer]
	}
	was, slots := sp.planner.Overloaded(), ta.usableSlots(service, now)
	// A customer within its share must not wait for the overload of others to end.
	sp.planner.Lingers = !ta.smallCustomerCompetes(sp)
	sp.planner.Plan(steps, slots, now)
	sp.stale = true
	sp.withinShare = ta.customersWithinShare(steps, rows, slots)
	sp.prequeues = sp.planner.Overloaded() && !ta.smallCustomerCompetes(sp)
	if sp.planner.Overloaded() != was {
		ta.log("room for steps", map[string]any{
			"crowded": sp.planner.Overloaded(), "load": sp.planner.Load(), "places": slots, "service": service, "steps": len(steps),
		})
	}
	if sp.planner.Overloaded() {
		for i, sr := range rows {
			ta.logPlan(sr, steps[i], now)
		}
	}
	if len(rows) == 0 && sp.planner.Idle() {
		delete(ta.servicePlans, service)
	}
}

// planLogInterval is the minimum interval of logging the planned groups of a step.
const planLogInterval = time.Second

// logPlan logs the number of a step's groups with reserved capacity if it has changed.
func (ta *Table) logPlan(sr *stepRow, st *overload.Step, now time.Time) {
	planned := 0
	for _, gr := range st.Groups {
		if gr.InTime() {
			planned++
		}
	}
	if planned == sr.planned || now.Sub(sr.plannedAt) < planLogInterval {
		return
	}
	sr.planned, sr.plannedAt = planned, now
	ta.log("room for step", map[string]any{
		"groups": planned, "left-ms": st.Left.Milliseconds(), "load": ta.servicePlan(sr.step.Service).planner.Load(), "open": len(st.Groups),
		stepField: sr.step.ID, "wanted": st.Wanted,
	})
}

// plannerStep returns a step as input of the planner.
func (ta *Table) plannerStep(sr *stepRow, now time.Time) *overload.Step {
	st := &overload.Step{
		Due: sr.step.Due, Left: sr.step.Due + graceTime - sr.age(now), ServedAt: sr.servedAt, Trainer: sr.trainerKey(),
		Wanted: min(sr.step.Groups, len(sr.groups)),
	}
	if abandonAge := ta.abandonAges[st.Trainer]; abandonAge > 0 {
		st.GivesUp = max(abandonAge-sr.age(now), 1)
	}
	var open []*groupRow // ordered by their first open items, for a deterministic plan
	for _, gr := range sr.groupList {
		gr.plan = overload.Group{Again: gr.recurring}
		if gr.openItems == 0 {
			st.Wanted--
			continue
		}
		ta.setPlanWork(gr, now)
		open = append(open, gr)
	}
	if sr.interleaved {
		slices.SortFunc(open, func(a, b *groupRow) int { return cmp.Compare(a.firstOpenIndex(), b.firstOpenIndex()) })
	}
	for _, gr := range open {
		st.Groups = append(st.Groups, &gr.plan)
	}
	return st
}

// trainerKey returns a key for the step's trainer that is unique among all customers.
func (sr *stepRow) trainerKey() string { return sr.step.Customer + "/" + sr.step.Model }

// recordAbandonAge records at which age a trainer ended a step that was late and incomplete. Its
// next steps are expected to end at the same age.
func (ta *Table) recordAbandonAge(sr *stepRow, now time.Time) {
	switch age := sr.age(now); {
	case sr.satisfied():
		delete(ta.abandonAges, sr.trainerKey())
	case age > sr.step.Due:
		ta.abandonAges[sr.trainerKey()] = age
	}
}

// minWork is the assumed remaining time of an item that should have ended already.
const minWork = 10 * time.Millisecond

// usableSlots returns the number of usable slots of a service's reachable engines, weighted by the
// engines' speed relative to the median.
func (ta *Table) usableSlots(service string, now time.Time) float64 {
	total := 0.0
	for _, en := range ta.sortedEngines {
		if en.service != service || !en.reachable() || now.Sub(en.respondedAt) > responseTimeout {
			continue
		}
		weight := 1.0
		if median := ta.medianBases[service]; median > 0 && en.basePace > 0 {
			weight = float64(median) / float64(en.basePace)
		}
		total += weight * float64(max(en.slots-en.foreignRequests, 0))
	}
	return total
}

// makesInTime reports whether an item would be late on its engine and in time on another one.
//
// Under overload, a moved run takes a fast slot from a waiting item, which then gets the slow
// one. Moves without a gain would never end.
func (ta *Table) makesInTime(ir *itemRow, from, to *engineRow, now time.Time) bool {
	left := ir.step.step.Due + graceTime - ir.step.age(now)
	remaining := ta.remainingTime(ir, now)
	return remaining > left && remaining-ta.timeSaved(ir, from, to) <= left
}
