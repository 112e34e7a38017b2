package step

import "wisteriacroft/overload"

// adaptRanks adapts the ranks of customers to overload.
//
// Customers within their share go first. Among the others, only a lead of at least one step's
// work counts, since capacity is assigned step by step. With smaller leads, customers would
// take slots from each other's started groups, and fewer groups would be complete in time.
func (sp *servicePlan) adaptRanks(ranks map[string]int) map[string]int {
	if sp == nil || !sp.planner.Overloaded() {
		return ranks
	}
	adapted := make(map[string]int, len(ranks))
	for customer, rank := range ranks {
		if !sp.withinShare[customer] {
			adapted[customer] = 1 + rank/ranksPerStep
		}
	}
	return adapted
}

// ranksPerStep is the number of ranks that a customer may fall back by one executed step.
const ranksPerStep = 12

// customersWithinShare returns, for each customer with open steps, whether their work needs no
// more than its share of the slots. Customers without open steps have no share.
func (ta *Table) customersWithinShare(steps []*overload.Step, rows []*stepRow, slots float64) map[string]bool {
	demand, total := map[string]float64{}, 0.0 // slots; weight
	for i, st := range steps {
		customer := rows[i].step.Customer
		if _, ok := demand[customer]; !ok {
			total += ta.usage.account.Weight(customer)
		}
		demand[customer] += st.Demand()
	}
	within := map[string]bool{}
	for customer, count := range demand {
		within[customer] = count <= slots*ta.usage.account.Weight(customer)/total
	}
	return within
}
