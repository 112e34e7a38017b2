package step

import "wisteriacroft/overload"

// rank returns the ranks of customers while the room is short.
//
// A customer that asks for no more than its part goes first. Among the others only a lead of
// a step's work or more counts: the room is given to one step after the other, which puts
// each customer ahead in turn. If smaller leads counted, these customers would take places
// from each other's groups, and fewer groups would be whole in time.
func (rm *room) rank(ranks map[string]int) map[string]int {
	if rm == nil || !rm.planner.Overloaded() {
		return ranks
	}
	room := make(map[string]int, len(ranks))
	for customer, rank := range ranks {
		if !rm.withinPart[customer] {
			room[customer] = 1 + rank/ranksOfAStep
		}
	}
	return room
}

// ranksOfAStep is how many ranks ahead a customer may come by one step that has had the
// room.
const ranksOfAStep = 12

// customersWithinPart returns, for each customer with open steps, whether these are no more
// work than its part of the places does in the time that a step may take. Customers without
// open steps have no part.
func (ta *Table) customersWithinPart(steps []*overload.Step, rows []*stepRow, places float64) map[string]bool {
	asked, total := map[string]float64{}, 0.0 // places
	for i, st := range steps {
		customer := rows[i].step.Customer
		if _, ok := asked[customer]; !ok {
			total += ta.share.account.Weight(customer)
		}
		asked[customer] += st.Demand()
	}
	within := map[string]bool{}
	for customer, count := range asked {
		within[customer] = count <= places*ta.share.account.Weight(customer)/total
	}
	return within
}
