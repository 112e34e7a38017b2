package step

import (
	"maps"
	"slices"
	"time"

	"wisteriacroft/fairshare"
)

// Limits of logging ranks.
const (
	// rankLogInterval is the interval of logging changed ranks.
	rankLogInterval = time.Second
	// maxRankLines limits the customers logged at once. Changes beyond it are not logged.
	maxRankLines = 20
)

// maxElapsed limits the time that one update accounts for. After a longer suspension of the
// process it isn't known what was running meanwhile.
const maxElapsed = time.Second

// A customerUsage holds the usage accounts of customers.
type customerUsage struct {
	account     fairshare.Account
	chargedAt   time.Time
	liveSlots   map[string]float64 // fractions of plain services' slots in use by live requests, by customer
	logged      map[string]int     // last logged ranks
	loggedAt    time.Time
	recentSlots fairshare.RecentUsage // slots in use
	saved       []byte                // the encoded account as last written
	savedAt     time.Time
	scarce      map[string]bool // services with waiting items and few free slots
}

// ChargeUsage accounts for customers' use of the engines since the last call.
//
// By slack alone, a customer that asks for many times its share would take nearly all slots
// and make the others late. The slots in use at one moment don't show who has used most, as
// steps come in bursts.
func (ta *Table) ChargeUsage(now time.Time) {
	cu := &ta.usage
	elapsed := time.Duration(0)
	if !cu.chargedAt.IsZero() {
		elapsed = min(now.Sub(cu.chargedAt), maxElapsed)
	}
	cu.chargedAt = now
	counts := ta.customerCounts()
	cu.account.Advance(ta.customerUses(counts), elapsed)
	cu.recentSlots.Add(slotsInUse(counts), elapsed, now)
	if now.Sub(cu.loggedAt) >= rankLogInterval {
		cu.loggedAt = now
		ta.logRanks()
	}
}

// logRanks logs the customers whose rank has changed.
func (ta *Table) logRanks() {
	cu := &ta.usage
	sts := cu.account.Balances()
	before := cu.logged
	cu.logged = map[string]int{}
	lines := 0
	for _, customer := range slices.Sorted(maps.Keys(sts)) {
		st := sts[customer]
		cu.logged[customer] = st.Rank
		if st.Rank == before[customer] || lines >= maxRankLines {
			continue
		}
		lines++
		ta.log("customer ranked", map[string]any{
			"ahead-s": st.Ahead, "before": before[customer], customerField: customer, "memory": st.Use.Memory,
			"places": st.Use.Places, "rank": st.Rank, "waits": st.Use.Waits, "wants": st.Use.Wants,
		})
	}
}

// Balances returns the balances of customers.
func (ta *Table) Balances() map[string]fairshare.Balance { return ta.usage.account.Balances() }

// RecentShares returns each customer's fraction of the slot time used within fairshare.RecentTime.
func (ta *Table) RecentShares(now time.Time) map[string]float64 {
	return ta.usage.recentSlots.Shares(now)
}

// SetWeights sets the customers' weights. The default weight is 1.
func (ta *Table) SetWeights(weights map[string]float64) { ta.usage.account.SetWeights(weights) }

// SetLiveUsage sets, by customer, the fractions of scarce slots of plain services that live requests
// use.
func (ta *Table) SetLiveUsage(fractions map[string]float64) { ta.usage.liveSlots = fractions }

type usageKey struct{ customer, service string }

// An itemCounts counts a customer's items at a service.
type itemCounts struct {
	running  int
	canStart bool // a waiting item can start
	tokens   int  // of running items
	waiting  int
}

// scarceFraction is the fraction of a service's slots in use from which they count as scarce. With
// fewer in use, items wait for weights rather than for slots.
const scarceFraction = 0.75

// customerUses returns what customers use and want of services with waiting items. Slots in use count
// only where they are scarce.
func (ta *Table) customerUses(counts map[usageKey]itemCounts) map[string]fairshare.Usage {
	waits, running := map[string]bool{}, map[string]int{} // by service
	for key, ic := range counts {
		waits[key.service] = waits[key.service] || ic.canStart
		running[key.service] += ic.running
	}
	uses := map[string]fairshare.Usage{}
	ta.usage.scarce = map[string]bool{}
	for service, some := range waits {
		if !some {
			continue
		}
		slots, tokens := ta.serviceCapacity(service)
		scarce := ratio(running[service], slots) >= scarceFraction
		ta.usage.scarce[service] = scarce
		addUses(uses, service, counts, slots, tokens, scarce)
	}
	for customer, fraction := range ta.usage.liveSlots {
		if us, ok := uses[customer]; ok {
			us.Places = max(us.Places, fraction)
			uses[customer] = us
		}
	}
	return uses
}

// customerCounts returns the numbers of customers' items in open steps by service.
func (ta *Table) customerCounts() map[usageKey]itemCounts {
	ta.updateSummaries()
	counts := map[usageKey]itemCounts{}
	for _, sr := range ta.openSteps {
		key := usageKey{sr.step.Customer, sr.step.Service}
		ic := counts[key]
		if _, held := ta.holds.Step(sr.step.ID, sr.step.Customer); held {
			ta.countUnheld(&ic, sr)
		} else {
			ic.waiting += sr.waitingCount
		}
		ic.canStart = ic.canStart || sr.waitingCount > 0 && ta.anyCanStart(sr)
		eventTokens := sr.estimator.eventTokens()
		for _, gr := range sr.groupList {
			ic.running += len(gr.summary.running)
			for _, ir := range gr.summary.running {
				ic.tokens += ir.item.Prompt + len(ir.events)*eventTokens
			}
		}
		counts[key] = ic
	}
	return counts
}

// slotsInUse returns the number of slots in use by customer.
func slotsInUse(counts map[usageKey]itemCounts) map[string]int {
	slots := map[string]int{}
	for key, ic := range counts {
		slots[key.customer] += ic.running
	}
	return slots
}

// countUnheld counts the waiting items of a held step that aren't held themselves.
func (ta *Table) countUnheld(ic *itemCounts, sr *stepRow) {
	for _, gr := range sr.groupList {
		for _, ir := range gr.summary.waiting {
			if !ta.held(ir) {
				ic.waiting++
			}
		}
	}
}

// serviceCapacity returns the slots and the memory of a service's engines.
func (ta *Table) serviceCapacity(service string) (slots, tokens int) {
	for _, en := range ta.sortedEngines {
		if en.service == service && !en.replaced {
			slots += en.slots
			tokens += en.tokens
		}
	}
	return slots, tokens
}

// addUses adds what customers want of a service and, if its slots are scarce, what they use.
func addUses(uses map[string]fairshare.Usage, service string, counts map[usageKey]itemCounts, slots, tokens int, scarce bool) {
	for key, ic := range counts {
		if key.service != service || ic.running+ic.waiting == 0 {
			continue
		}
		us := uses[key.customer]
		if scarce {
			us.Places = max(us.Places, ratio(ic.running, slots))
			us.Memory = max(us.Memory, ratio(ic.tokens, tokens))
		}
		us.Waits = us.Waits || ic.canStart
		us.Wants = max(us.Wants, ratio(ic.running+ic.waiting, slots))
		uses[key.customer] = us
	}
}

func ratio(count, whole int) float64 { return float64(count) / float64(max(whole, 1)) }

// customerRanks returns the ranks of customers, of which the lowest goes first. A missing
// customer has rank 0.
func (ta *Table) customerRanks(customers map[string]bool) map[string]int {
	ranks := map[string]int{}
	if ta.ignoreShares {
		return ranks
	}
	for customer := range customers {
		ranks[customer] = ta.usage.account.Rank(customer)
	}
	if len(ranks) < 2 {
		return nil
	}
	return ranks
}
