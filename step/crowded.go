package step

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriacroft/overload"
)

const (
	// planEvery is how often it is planned which groups the room is for: often enough
	// that no step comes near its due time unseen.
	planEvery = 200 * time.Millisecond
	// urgentSpare is the time to spare below which an item goes before its group's
	// turn. How long items last is known by hints only, which are often far too low: an
	// item that seems to take half of its step's time may take all of it.
	urgentSpare = 3 * time.Second
	// graceTime is how much later than due a group may be whole and still be of use:
	// trainers read with pauses, and read what is whole a moment late with the rest.
	graceTime = 400 * time.Millisecond
)

// planRoom decides which groups each service's room is for, by the ranks of customers. In
// between, groups keep the positions of the last plan.
func (ta *Table) planRoom(now time.Time) {
	if now.Sub(ta.plannedAt) < planEvery {
		return
	}
	ta.plannedAt = now
	ta.paceRound++
	ranks := ta.customerRank(ta.waitingCustomers(now))
	rows := map[string][]*stepRow{} // by service
	for _, sr := range ta.order {
		// Without a due time no step is late, and no room is kept for it.
		if sr.step.Due > 0 && !ta.fullyHeld(sr) {
			rows[sr.step.Service] = append(rows[sr.step.Service], sr)
			ta.room(sr.step.Service)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(ta.rooms)) {
		ta.planService(service, rows[service], ranks, now)
	}
}

// planService decides which groups of a service's steps its room is for.
func (ta *Table) planService(service string, rows []*stepRow, ranks map[string]int, now time.Time) {
	rm := ta.room(service)
	ranks = rm.rank(ranks)
	steps := make([]*overload.Step, len(rows))
	for i, sr := range rows {
		steps[i] = ta.openStep(sr, now)
		steps[i].Rank = ranks[sr.step.Customer]
	}
	was, places := rm.planner.Overloaded(), ta.places(service, now)
	// Who asks for no more than its part doesn't wait until the others have had their room.
	rm.planner.Lingers = !ta.smallCustomerCompetes(rm)
	rm.planner.Plan(steps, places, now)
	rm.stale = true
	rm.withinPart = ta.customersWithinPart(steps, rows, places)
	rm.sendsAhead = rm.planner.Overloaded() && !ta.smallCustomerCompetes(rm)
	if rm.planner.Overloaded() != was {
		ta.log("room for steps", map[string]any{
			"crowded": rm.planner.Overloaded(), "load": rm.planner.Load(), "places": places, "service": service, "steps": len(steps),
		})
	}
	if rm.planner.Overloaded() {
		for i, sr := range rows {
			ta.logRoom(sr, steps[i], now)
		}
	}
	if len(rows) == 0 && rm.planner.Idle() {
		delete(ta.rooms, service)
	}
}

// roomLogEvery bounds how often it is logged which room a step has.
const roomLogEvery = time.Second

// logRoom logs for how many of a step's groups room is kept, when that has changed.
func (ta *Table) logRoom(sr *stepRow, st *overload.Step, now time.Time) {
	planned := 0
	for _, gr := range st.Groups {
		if gr.InTime() {
			planned++
		}
	}
	if planned == sr.planned || now.Sub(sr.plannedAt) < roomLogEvery {
		return
	}
	sr.planned, sr.plannedAt = planned, now
	ta.log("room for step", map[string]any{
		"groups": planned, "left-ms": st.Left.Milliseconds(), "load": ta.room(sr.step.Service).planner.Load(), "open": len(st.Groups),
		stepField: sr.step.ID, "wanted": st.Wanted,
	})
}

// openStep returns what the planner needs to know of a step.
func (ta *Table) openStep(sr *stepRow, now time.Time) *overload.Step {
	st := &overload.Step{
		Due: sr.step.Due, Left: sr.step.Due + graceTime - sr.age(now), ServedAt: sr.servedAt, Trainer: sr.trainer(),
		Wanted: min(sr.step.Groups, len(sr.groups)),
	}
	if gaveUp := ta.gaveUp[st.Trainer]; gaveUp > 0 {
		st.GivesUp = max(gaveUp-sr.age(now), 1)
	}
	var open []*groupRow // by their first open items, so that they stand in the same order each time
	for _, gr := range sr.list {
		gr.plan = overload.Group{Again: gr.again}
		if gr.left == 0 {
			st.Wanted--
			continue
		}
		ta.addWork(gr, now)
		open = append(open, gr)
	}
	if sr.interleaved {
		slices.SortFunc(open, func(a, b *groupRow) int { return cmp.Compare(a.firstOpen(), b.firstOpen()) })
	}
	for _, gr := range open {
		st.Groups = append(st.Groups, &gr.plan)
	}
	return st
}

// trainer names whose step it is, among all customers' trainers.
func (sr *stepRow) trainer() string { return sr.step.Customer + "/" + sr.step.Model }

// noteGivenUp learns from a step that ends how long its trainer waits. If it ended the step
// without the groups that it asked for, its next steps are expected to end at that age, too,
// and what can't be whole by then is of no use.
func (ta *Table) noteGivenUp(sr *stepRow, now time.Time) {
	switch age := sr.age(now); {
	case sr.satisfied():
		delete(ta.gaveUp, sr.trainer())
	case age > sr.step.Due:
		ta.gaveUp[sr.trainer()] = age
	}
}

// minWork is what an item is taken to need that should have ended already.
const minWork = 10 * time.Millisecond

// places returns the places of a service's engines that can be reached, those of a slow
// one counted by its pace.
func (ta *Table) places(service string, now time.Time) float64 {
	total := 0.0
	for _, en := range ta.sorted {
		if en.service != service || !en.reachable() || now.Sub(en.heardAt) > silentAfter {
			continue
		}
		part := 1.0
		if median := ta.bases[service]; median > 0 && en.base > 0 {
			part = float64(median) / float64(en.base)
		}
		total += part * float64(max(en.slots-en.foreign, 0))
	}
	return total
}

// saves reports whether an item would be in time at another engine, and is late where
// it runs.
//
// While the room is crowded, another item waits for the place that a moved run takes, and
// gets the slow place that it left instead. Moves that save no item would only go on and on.
func (ta *Table) saves(ir *itemRow, from, to *engineRow, now time.Time) bool {
	left := ir.step.step.Due + graceTime - ir.step.age(now)
	stays := ta.remainingTime(ir, now)
	return stays > left && stays-ta.gain(ir, from, to) <= left
}
