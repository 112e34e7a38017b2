package step

import "time"

// prequeueTime is how soon a run must be expected to end for another item to be sent to its full engine: the time
// between the end of a run and the start of the next one in its slot.
const prequeueTime = 150 * time.Millisecond

// endRate returns the rate of a run's end per second, as the inverse of its expected remaining time.
func (ir *itemRow) endRate() float64 { return 1 / max(ir.expectedTime(), prequeueTime).Seconds() }

// expectedEnd returns the expected time until the first of an engine's runs ends, given the sum of their end rates.
func expectedEnd(rate float64) time.Duration {
	if rate == 0 {
		return time.Hour
	}
	return time.Duration(float64(time.Second) / rate)
}

// smallCustomerCompetes reports whether two or more customers compete and one that requests no more than its share of
// the service's capacity has open steps there, or may soon have some. Customers that have open steps only at other
// services don't count.
func (ta *Table) smallCustomerCompetes(sp *servicePlan) bool {
	customers := ta.usage.account.Balances()
	if len(customers) < 2 {
		return false
	}
	elsewhere := map[string]bool{}
	for _, other := range ta.servicePlans {
		for customer := range other.withinShare {
			elsewhere[customer] = elsewhere[customer] || other != sp
		}
	}
	for customer := range customers {
		if within, open := sp.withinShare[customer]; within || !open && !elsewhere[customer] {
			return true
		}
	}
	return false
}
