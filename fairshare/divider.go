package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// overcommit is the number of requests per slot of an endpoint. One runs while the
	// response of another is in transit.
	overcommit = 2
	// minDemand is the minimum demand of an entry for a customer. With 0, an entry without
	// requests would have a bound of 0 and refuse the next one.
	minDemand = 0.5
)

// NoBound means an unlimited number of slots.
const NoBound = -1

// A Demand is an entry's statistics of a customer's requests to a service since its last report.
type Demand struct {
	Asked    int // requests for a slot
	InFlight int // at the time of the report
	Met      int // sum, over the requests in Asked, of the requests in flight including itself
	Refused  int // requests in Asked that were refused by a bound
}

// wants returns how many slots the customer would use without a bound: the mean number of
// requests in flight, scaled up by those that were refused. The sum over all entries of the
// maximum in flight would be too high.
func (de Demand) wants() float64 {
	if de.Asked == 0 {
		return float64(de.InFlight)
	}
	met := max(float64(de.Met)/float64(de.Asked), 1)
	return met * float64(de.Asked) / float64(max(de.Asked-de.Refused, 1))
}

// A ServiceDemand is an entry's statistics of a service.
type ServiceDemand struct {
	Bounded   bool // the entry currently enforces bounds
	Customers map[string]Demand
	Places    int  // slots of its endpoints
	Short     bool // endpoints refused requests for lack of slots
}

// Bounds are the limits of customers' slots at an entry. A missing customer is unbounded.
type Bounds map[string]map[string]int // by service and customer

// Of returns a customer's bound, or NoBound.
func (bo Bounds) Of(customer, service string) int {
	if bound, ok := bo[service][customer]; ok {
		return bound
	}
	return NoBound
}

// A Divider divides the slots of services among customers and entries. The zero value is ready
// to use. It is not safe for concurrent use.
//
// Without bounds, a customer that asks for many times what the endpoints can serve would cause
// refusals of all customers alike. No single entry sees enough requests to decide.
type Divider struct{ turn int }

// Divide returns the bounds of each entry, given the demands by entry and service.
//
// A service that isn't short of slots has no bounds. Since bounds stop the refusals of endpoints,
// a service also counts as short while an entry enforces bounds, until the total demand fits.
// Entries report this, so that any process can take over the division.
func (di *Divider) Divide(entries map[string]map[string]ServiceDemand, weights map[string]float64) map[string]Bounds {
	out := map[string]Bounds{}
	for entry := range entries {
		out[entry] = Bounds{}
	}
	di.turn++
	for _, service := range services(entries) {
		wants, slots, short := totalDemand(entries, service)
		if len(wants) < 2 || !short {
			continue
		}
		for customer, share := range MaxMinShares(slots*overcommit, wants, weights) {
			if share >= wants[customer] {
				continue
			}
			for entry, count := range di.splitAmongEntries(entries, service, customer, share) {
				if out[entry][service] == nil {
					out[entry][service] = map[string]int{}
				}
				out[entry][service][customer] = count
			}
		}
	}
	return out
}

// services returns the services in all demands, sorted.
func services(entries map[string]map[string]ServiceDemand) []string {
	seen := map[string]bool{}
	for _, demands := range entries {
		for service := range demands {
			seen[service] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// totalDemand returns customers' demands for a service over all entries, its number of slots, and
// whether it is short of them.
func totalDemand(entries map[string]map[string]ServiceDemand, service string) (wants map[string]float64, slots float64, short bool) {
	wants = map[string]float64{}
	for _, demands := range entries {
		sd := demands[service]
		slots = max(slots, float64(sd.Places))
		short = short || sd.Short || sd.Bounded
		for customer, de := range sd.Customers {
			if de.wants() > 0 {
				wants[customer] += de.wants()
			}
		}
	}
	return wants, slots, short
}

// splitAmongEntries divides a customer's slots among entries in proportion to their demands. The remainder
// rotates, so that no entry stays without slots.
func (di *Divider) splitAmongEntries(entries map[string]map[string]ServiceDemand, service, customer string, share float64) map[string]int {
	names := slices.Sorted(maps.Keys(entries))
	wants := map[string]float64{}
	sum := 0.0
	for _, entry := range names {
		wants[entry] = max(entries[entry][service].Customers[customer].wants(), minDemand)
		sum += wants[entry]
	}
	left := max(int(math.Round(share)), 1)
	counts, remainders := map[string]int{}, map[string]float64{}
	whole := float64(left)
	for _, entry := range names {
		exact := whole * wants[entry] / sum
		counts[entry] = int(exact)
		remainders[entry] = exact - float64(counts[entry])
		left -= counts[entry]
	}
	start := di.turn % max(len(names), 1)
	rotated := append(slices.Clone(names[start:]), names[:start]...)
	slices.SortStableFunc(rotated, func(a, b string) int {
		return cmp.Compare(math.Ceil(remainders[b]), math.Ceil(remainders[a]))
	})
	for _, entry := range rotated[:min(left, len(rotated))] {
		counts[entry]++
	}
	return counts
}

// Standalone returns the bounds of an entry that can't reach the others: an equal fraction of the
// slots, and at least one for each customer.
func (di *Divider) Standalone(demands map[string]ServiceDemand, weights map[string]float64, entries int) Bounds {
	own := map[string]ServiceDemand{}
	for service, sd := range demands {
		sd.Places = max(sd.Places/max(entries, 1), 1)
		own[service] = sd
	}
	bounds := di.Divide(map[string]map[string]ServiceDemand{"": own}, weights)[""]
	for _, customers := range bounds {
		for customer, count := range customers {
			customers[customer] = max(count, 1)
		}
	}
	return bounds
}
