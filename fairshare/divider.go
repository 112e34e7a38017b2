package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// overcommit is how many requests a place of an endpoint may have. One runs while
	// the answer of another is on its way.
	overcommit = 2
	// leastWants is what an entry is taken to want at least for a customer. With nothing,
	// an entry that has no request now would have a bound of 0, and refuse the next one.
	leastWants = 0.5
)

// NoBound stands for as many places as a customer asks for.
const NoBound = -1

// A Demand is what an entry has seen of a customer's requests to a service since it told
// before.
type Demand struct {
	Asked    int // for a place
	InFlight int // when it told
	Met      int // requests in flight that those that asked met, themselves among them, in total
	Refused  int // of those that asked, by a bound
}

// wants returns how many places the customer would have without a bound: as many as its
// requests meet, and as many times more as were refused. The most that were ever in
// flight would be too much, added up over all entries.
func (de Demand) wants() float64 {
	if de.Asked == 0 {
		return float64(de.InFlight)
	}
	met := max(float64(de.Met)/float64(de.Asked), 1)
	return met * float64(de.Asked) / float64(max(de.Asked-de.Refused, 1))
}

// A ServiceDemand is what an entry has seen of a service.
type ServiceDemand struct {
	Bounded   bool // the entry bounds customers now
	Customers map[string]Demand
	Places    int  // of its endpoints
	Short     bool // endpoints refused requests for want of places
}

// Bounds are how many places of services an entry may give customers. Who is not named
// has no bound.
type Bounds map[string]map[string]int // by service and customer

// Of returns a customer's bound, or NoBound.
func (bo Bounds) Of(customer, service string) int {
	if bound, ok := bo[service][customer]; ok {
		return bound
	}
	return NoBound
}

// A Divider divides the places of services among customers and entries. The zero
// Divider is ready to use.
//
// Load pattern: one customer's callers ask for many times what endpoints can serve, spread
// over all entries. No entry alone sees enough to tell whose requests are too many, and
// without bounds the callers of all customers would be refused alike.
type Divider struct{ turn int }

// Divide returns the bounds of each entry, by what entries have seen.
//
// A service that no one is short of has no bounds. Bounds keep endpoints from refusing, so
// that refusals alone would make bounds come and go. So a service also counts as short while
// an entry bounds customers, until all ask for no more than there is. Entries tell whether
// they do, so that another process that divides next knows.
func (di *Divider) Divide(entries map[string]map[string]ServiceDemand, weights map[string]float64) map[string]Bounds {
	out := map[string]Bounds{}
	for entry := range entries {
		out[entry] = Bounds{}
	}
	di.turn++
	for _, service := range services(entries) {
		wants, places, short := total(entries, service)
		if len(wants) < 2 || !short {
			continue
		}
		for customer, part := range MaxMinShares(places*overcommit, wants, weights) {
			if part >= wants[customer] {
				continue
			}
			for entry, count := range di.split(entries, service, customer, part) {
				if out[entry][service] == nil {
					out[entry][service] = map[string]int{}
				}
				out[entry][service][customer] = count
			}
		}
	}
	return out
}

// services returns the services that entries have seen.
func services(entries map[string]map[string]ServiceDemand) []string {
	seen := map[string]bool{}
	for _, demands := range entries {
		for service := range demands {
			seen[service] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// total returns what customers want of a service at all entries, how many places it has,
// and whether anyone is short of them.
func total(entries map[string]map[string]ServiceDemand, service string) (wants map[string]float64, places float64, short bool) {
	wants = map[string]float64{}
	for _, demands := range entries {
		sd := demands[service]
		places = max(places, float64(sd.Places))
		short = short || sd.Short || sd.Bounded
		for customer, de := range sd.Customers {
			if de.wants() > 0 {
				wants[customer] += de.wants()
			}
		}
	}
	return wants, places, short
}

// split divides a customer's part among entries by what each wants, in whole places. What
// doesn't come out even goes to other entries each time, so that none has nothing for
// good.
func (di *Divider) split(entries map[string]map[string]ServiceDemand, service, customer string, part float64) map[string]int {
	names := slices.Sorted(maps.Keys(entries))
	wants := map[string]float64{}
	sum := 0.0
	for _, entry := range names {
		wants[entry] = max(entries[entry][service].Customers[customer].wants(), leastWants)
		sum += wants[entry]
	}
	left := max(int(math.Round(part)), 1)
	counts, rests := map[string]int{}, map[string]float64{}
	whole := float64(left)
	for _, entry := range names {
		exact := whole * wants[entry] / sum
		counts[entry] = int(exact)
		rests[entry] = exact - float64(counts[entry])
		left -= counts[entry]
	}
	start := di.turn % max(len(names), 1)
	rotated := append(slices.Clone(names[start:]), names[:start]...)
	slices.SortStableFunc(rotated, func(a, b string) int {
		return cmp.Compare(math.Ceil(rests[b]), math.Ceil(rests[a]))
	})
	for _, entry := range rotated[:min(left, len(rotated))] {
		counts[entry]++
	}
	return counts
}

// Standalone returns the bounds of an entry that hears from no one: its part of the places by
// how many entries there are, and at least one for each customer.
//
// What the other entries let through isn't known, so that it neither refuses all nor lets
// all through.
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
