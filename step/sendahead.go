package step

import "time"

// aheadTime is how soon a run must be expected to end for another item to be sent
// ahead: what passes between the end of a run and the start of the next one there.
const aheadTime = 150 * time.Millisecond

// endRate returns the rate per second at which a run ends, taken as constant: one end in the
// time that it is expected to take still.
func (ir *itemRow) endRate() float64 { return 1 / max(ir.expectedTime(), aheadTime).Seconds() }

// expectedEnd returns after how long the first of an engine's runs is expected to end, by
// the sum of their rates.
func expectedEnd(rate float64) time.Duration {
	if rate == 0 {
		return time.Hour
	}
	return time.Duration(float64(time.Second) / rate)
}

// competesWithinPart reports whether, of two or more customers, one that asks for no more
// than its part of a room has steps open there, or may soon have some. A customer that has
// steps open at other services only doesn't count.
func (ta *Table) competesWithinPart(rm *servicePlan) bool {
	customers := ta.usage.account.Balances()
	if len(customers) < 2 {
		return false
	}
	elsewhere := map[string]bool{}
	for _, other := range ta.servicePlans {
		for customer := range other.withinShare {
			elsewhere[customer] = elsewhere[customer] || other != rm
		}
	}
	for customer := range customers {
		if within, open := rm.withinShare[customer]; within || !open && !elsewhere[customer] {
			return true
		}
	}
	return false
}
