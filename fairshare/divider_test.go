package fairshare

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// demandOf returns an entry's demand for a service with ten slots.
func demandOf(short bool, customers map[string]Demand) map[string]ServiceDemand {
	return map[string]ServiceDemand{"desk": {Customers: customers, Places: 10, Short: short}}
}

func TestNoBoundsWithoutShortage(t *testing.T) {
	var di Divider
	large := map[string]Demand{"large": {Asked: 900, Met: 900 * 90}, "small": {Asked: 3, Met: 3}}
	bounds := di.Divide(map[string]map[string]ServiceDemand{"e": demandOf(false, large)}, nil)
	assert.Equal(t, bounds["e"].Of("large", "desk"), NoBound, "no endpoint refused a request")
	little := map[string]Demand{"large": {Asked: 9, Met: 81}, "small": {Asked: 3, Met: 3}}
	bounds = di.Divide(map[string]map[string]ServiceDemand{"e": demandOf(true, little)}, nil)
	assert.Equal(t, bounds["e"].Of("large", "desk"), NoBound, "the slots suffice for both")
	alone := map[string]Demand{"large": {Asked: 900, Met: 900 * 90}}
	bounds = di.Divide(map[string]map[string]ServiceDemand{"e": demandOf(true, alone)}, nil)
	assert.Equal(t, bounds["e"].Of("large", "desk"), NoBound, "no one else asks")
}

func TestOnlyExcessDemandIsBounded(t *testing.T) {
	var di Divider
	seen := map[string]Demand{"large": {Asked: 900, Met: 900 * 90}, "small": {Asked: 9, Met: 27}}
	bounds := di.Divide(map[string]map[string]ServiceDemand{"a": demandOf(true, seen), "b": demandOf(true, seen)}, nil)
	for _, entry := range []string{"a", "b"} {
		assert.Equal(t, bounds[entry].Of("small", "desk"), NoBound)
		assert.Equal(t, bounds[entry].Of("large", "desk"), 7, "two requests per slot, less six of the small one's, at two entries")
	}
}

func TestBoundsDoNotOscillate(t *testing.T) {
	// Guards against oscillation: bounds stop the refusals of endpoints, which must not lift
	// the bounds while customers still ask for too much.
	var di Divider
	bounded := func(customers map[string]Demand) map[string]map[string]ServiceDemand {
		demands := demandOf(false, customers)
		sd := demands["desk"]
		sd.Bounded = true
		return map[string]map[string]ServiceDemand{"e": {"desk": sd}}
	}
	held := map[string]Demand{"large": {Asked: 900, Refused: 800, Met: 9000}, "small": {Asked: 9, Met: 27}}
	assert.Assert(t, di.Divide(bounded(held), nil)["e"].Of("large", "desk") >= 0)
	calm := map[string]Demand{"large": {Asked: 10, Met: 50}, "small": {Asked: 9, Met: 27}}
	assert.Equal(t, di.Divide(bounded(calm), nil)["e"].Of("large", "desk"), NoBound)
	bounds := di.Divide(map[string]map[string]ServiceDemand{"e": demandOf(false, held)}, nil)
	assert.Equal(t, bounds["e"].Of("large", "desk"), NoBound, "a lifted bound is restored only after refusals")
}

func TestRemainderOfSlotsRotates(t *testing.T) {
	// With fewer slots than entries, the remainder of the division rotates, so that no entry
	// stays without slots.
	var di Divider
	entries := map[string]map[string]ServiceDemand{}
	for i := range 30 {
		entries[fmt.Sprintf("entry-%02d", i)] = demandOf(true, map[string]Demand{"large": {Asked: 50, Met: 250}, "other": {Asked: 50, Met: 250}})
	}
	had := map[string]int{}
	for range len(entries) {
		sum := 0
		for entry, bounds := range di.Divide(entries, nil) {
			had[entry] += bounds.Of("large", "desk")
			sum += bounds.Of("large", "desk")
		}
		assert.Equal(t, sum, 10)
	}
	for entry := range entries {
		assert.Assert(t, had[entry] > 0, entry)
	}
}

func TestStandaloneEntry(t *testing.T) {
	// An isolated entry takes its own fraction of the slots, and at least one for each customer.
	var di Divider
	seen := map[string]Demand{"large": {Asked: 900, Met: 900 * 90}, "small": {Asked: 9, Met: 9}}
	bounds := di.Standalone(demandOf(true, seen), nil, 5)
	assert.Equal(t, bounds.Of("large", "desk"), 3)
	assert.Equal(t, bounds.Of("small", "desk"), NoBound)
	bounds = di.Standalone(demandOf(true, seen), nil, 500)
	assert.Equal(t, bounds.Of("large", "desk"), 1)
}

// For random demands, no customer gets more than the slots in total, and one within its share
// is unbounded.
func TestDividerProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var di Divider
		slots := rapid.IntRange(1, 12).Draw(rt, "places")
		for range rapid.IntRange(1, 5).Draw(rt, "rounds") {
			entries := map[string]map[string]ServiceDemand{}
			wants := map[string]float64{}
			for i := range rapid.IntRange(1, 5).Draw(rt, "entries") {
				customers := map[string]Demand{}
				for _, customer := range []string{"a", "b", "c"} {
					asked := rapid.IntRange(0, 40).Draw(rt, "asked")
					de := Demand{Asked: asked, Met: asked * rapid.IntRange(0, 10).Draw(rt, "met"), Refused: rapid.IntRange(0, asked).Draw(rt, "refused")}
					customers[customer] = de
					wants[customer] += de.wants()
				}
				entries[fmt.Sprint(i)] = map[string]ServiceDemand{"desk": {Customers: customers, Places: slots, Short: rapid.Bool().Draw(rt, "short")}}
			}
			sums := map[string]int{}
			for _, bounds := range di.Divide(entries, nil) {
				for customer, count := range bounds["desk"] {
					if count < 0 {
						rt.Fatalf("%s may have %d", customer, count)
					}
					sums[customer] += count
				}
			}
			for customer, sum := range sums {
				if sum > overcommit*slots+1 {
					rt.Fatalf("%s may have %d of %d places", customer, sum, slots)
				}
				if wants[customer] <= float64(overcommit*slots)/3 {
					rt.Fatalf("%s wants %f and is bounded", customer, wants[customer])
				}
			}
		}
	})
}
