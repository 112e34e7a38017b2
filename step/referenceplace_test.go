package step

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/overload"
)

// referencePlace is the reference implementation of Place: it keeps no state between ticks and
// compares every waiting item with every engine that has a free slot.
func referencePlace(ta *Table, now time.Time) {
	if ta.awaitingEngines(now) {
		return
	}
	if now.Sub(ta.plannedAt) >= planInterval {
		referencePlan(ta, now)
	}
	if len(ta.openSteps) == 0 {
		return
	}
	rp := &referencePlacement{released: map[*engineRow]bool{}, soon: map[*engineRow]bool{}}
	for _, en := range ta.sortedEngines {
		rp.soon[en] = referenceEnd(en) <= prequeueTime
	}
	full := func(en *engineRow) bool { return rp.open(ta, en) <= 0 && len(en.incoming) == 0 }
	open := slices.DeleteFunc(slices.Clone(ta.sortedEngines), full)
	for _, ir := range referenceOrder(ta, now) {
		if open = slices.DeleteFunc(open, full); len(open) == 0 {
			return
		}
		target := ta.engines[ir.moveTarget]
		rp.release(ta, ir)
		en := target
		if en == nil || rp.open(ta, en) <= 0 || !ta.canRunItem(en, ir) {
			en = referenceChoose(rp, ta, ir, open, now)
		}
		if en != nil {
			rp.start(ta, ir, en, now)
		}
	}
}

// A referencePlacement records which engines have a run about to end. The flag of an engine that
// released a reserved slot isn't updated again in the same round.
type referencePlacement struct{ released, soon map[*engineRow]bool }

func (rp *referencePlacement) release(ta *Table, ir *itemRow) {
	if en := ta.engines[ir.moveTarget]; en != nil {
		rp.released[en] = true
	}
	ta.releaseReserved(ir)
}

func (rp *referencePlacement) start(ta *Table, ir *itemRow, en *engineRow, now time.Time) {
	ta.startRun(ir, en, now)
	if !rp.released[en] {
		rp.soon[en] = referenceEnd(en) <= prequeueTime
	}
}

func (rp *referencePlacement) open(ta *Table, en *engineRow) int {
	if free := en.freeSlots(); free != 0 || !ta.prequeues(en.service) || !rp.soon[en] {
		return free
	}
	return 1
}

func referencePlan(ta *Table, now time.Time) {
	ta.plannedAt = now
	waiting := referenceRanks(ta, referenceWaiting(ta, now))
	for _, sr := range ta.openSteps {
		if sr.step.Due > 0 && !ta.fullyHeld(sr) {
			ta.servicePlan(sr.step.Service)
		}
	}
	for service, sp := range ta.servicePlans {
		ranks := sp.adaptRanks(waiting)
		var steps []*overload.Step
		var rows []*stepRow
		for _, sr := range ta.openSteps {
			if sr.step.Service != service || sr.step.Due <= 0 || ta.fullyHeld(sr) {
				continue
			}
			st := referenceStep(ta, sr, now)
			st.Rank = ranks[sr.step.Customer]
			steps, rows = append(steps, st), append(rows, sr)
		}
		slots := ta.usableSlots(service, now)
		sp.planner.Lingers = !ta.smallCustomerCompetes(sp)
		sp.planner.Plan(steps, slots, now)
		sp.withinShare = ta.customersWithinShare(steps, rows, slots)
		sp.prequeues = sp.planner.Overloaded() && !ta.smallCustomerCompetes(sp)
		if len(rows) == 0 && sp.planner.Idle() {
			delete(ta.servicePlans, service)
		}
	}
}

func referenceStep(ta *Table, sr *stepRow, now time.Time) *overload.Step {
	st := &overload.Step{
		Due: sr.step.Due, Left: sr.step.Due + graceTime - sr.age(now), ServedAt: sr.servedAt, Trainer: sr.trainerKey(),
		Wanted: min(sr.step.Groups, len(sr.groups)),
	}
	if gaveUp := ta.abandonAges[st.Trainer]; gaveUp > 0 {
		st.GivesUp = max(gaveUp-sr.age(now), 1)
	}
	for _, gr := range sr.groups {
		gr.plan = overload.Group{Again: gr.recurring}
		if gr.openItems == 0 {
			st.Wanted--
		}
	}
	for _, ir := range sr.items {
		if !ir.open() {
			continue
		}
		gr := ir.group
		if gr.plan.Work == 0 {
			st.Groups = append(st.Groups, &gr.plan)
		}
		left := max(ta.remainingTime(ir, now), minWork)
		gr.plan.Work += left
		gr.plan.Longest = max(gr.plan.Longest, left)
	}
	return st
}

func referenceWaiting(ta *Table, now time.Time) []*itemRow {
	var irs []*itemRow
	for _, sr := range ta.openSteps {
		for _, ir := range sr.items {
			if ir.state == waiting && !ta.held(ir) {
				irs = append(irs, ir)
			}
		}
	}
	return irs
}

func referenceRanks(ta *Table, waits []*itemRow) map[string]int {
	ranks := map[string]int{}
	if ta.ignoreShares {
		return ranks
	}
	for _, ir := range waits {
		ranks[ir.step.step.Customer] = ta.usage.account.Rank(ir.step.step.Customer)
	}
	if len(ranks) < 2 {
		return nil
	}
	return ranks
}

func referenceOrder(ta *Table, now time.Time) []*itemRow {
	irs := referenceWaiting(ta, now)
	waiting := referenceRanks(ta, irs)
	kind := func(ir *itemRow) passKind {
		switch {
		case !ir.group.plan.InTime():
			return unplannedPass
		case ir.slack(now) < urgentSlack:
			return urgentPass
		default:
			return plannedPass
		}
	}
	slices.SortStableFunc(irs, func(a, b *itemRow) int {
		service := a.step.step.Service
		if order := cmp.Compare(service, b.step.step.Service); order != 0 {
			return order // services don't compete for slots
		}
		ranks := ta.servicePlans[service].adaptRanks(waiting)
		order := cmp.Compare(ranks[a.step.step.Customer], ranks[b.step.step.Customer])
		if order == 0 && ta.overloaded(service) {
			order = cmp.Or(cmp.Compare(kind(a), kind(b)), cmp.Compare(a.group.plan.Position(), b.group.plan.Position()))
		}
		return cmp.Or(order, cmp.Compare(a.slack(now), b.slack(now)))
	})
	return irs
}

func referenceMemory(en *engineRow) (now, end int) {
	for _, ir := range en.items {
		itNow, itEnd := ir.tokenUse()
		now, end = now+itNow, end+itEnd
	}
	now = max(now, en.report.Tokens)
	for ir := range en.incoming {
		itNow, itEnd := ir.tokenUse()
		now, end = now+itNow, end+itEnd
	}
	return now, end
}

func referenceEnd(en *engineRow) time.Duration {
	rate := 0.0
	for _, ir := range en.items {
		rate += 1 / max(ir.expectedTime(), prequeueTime).Seconds()
	}
	return expectedEnd(rate)
}

func referenceFits(en *engineRow, ir *itemRow) bool {
	now, _ := referenceMemory(en)
	added, _ := ir.tokenUse()
	return en.tokens == 0 || len(en.items) == 0 || float64(now+added) <= maxMemoryFraction*float64(en.tokens)
}

func referenceChoose(rp *referencePlacement, ta *Table, ir *itemRow, ens []*engineRow, now time.Time) *engineRow {
	var best *engineRow
	bestScore := 0.0
	for _, en := range ens {
		if rp.open(ta, en) <= 0 || !ta.canRunItem(en, ir) || !referenceFits(en, ir) {
			continue
		}
		if en.id == ir.avoidedEngine && now.Sub(ir.stateSince) < avoidEngineFor {
			continue
		}
		score := referenceScore(ta, en, ir, now)
		if best == nil || score > bestScore || score == bestScore && en.id < best.id {
			best, bestScore = en, score
		}
	}
	return best
}

func referenceScore(ta *Table, en *engineRow, ir *itemRow, now time.Time) float64 {
	score := float64(en.freeSlots())
	for _, other := range en.items {
		if other.step == ir.step && other.item.Group == ir.item.Group {
			score += sameGroupBonus
			break
		}
	}
	if now.Sub(en.brokeRunAt) < brokenRunPenalty {
		score -= float64(en.slots)
	}
	if en.slow(now) {
		score -= float64(2 * en.slots)
	}
	held, end := referenceMemory(en)
	seconds := ir.expectedTime().Seconds()
	cost := seconds * slotsPerSecond * float64((held+end)/2) * slowdownPerToken
	if best := ta.bestBases[en.service]; best > 0 && en.basePace > 0 {
		if behind := float64(en.basePace)/float64(best) - 1; behind >= paceTolerance {
			cost += behind * seconds * slotsPerSecond
		}
	}
	crowding := 0.0
	if en.tokens > 0 {
		_, added := ir.tokenUse()
		crowding = overfillCostSlots * max(0, float64(end+added)/float64(en.tokens)-1)
	}
	return score - cost - crowding
}
