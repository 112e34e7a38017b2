package fairshare

import (
	"cmp"
	"maps"
	"slices"
)

// MaxMinShares divides a whole among customers by weighted max-min fairness: a customer that wants no
// more than its share gets all that it wants, and the rest goes to the others.
func MaxMinShares(whole float64, wants, weights map[string]float64) map[string]float64 {
	weight := func(customer string) float64 { return weightOf(weights, customer) }
	customers := slices.SortedFunc(maps.Keys(wants), func(a, b string) int {
		return cmp.Or(cmp.Compare(wants[a]/weight(a), wants[b]/weight(b)), cmp.Compare(a, b))
	})
	total := 0.0
	for _, customer := range customers {
		total += weight(customer)
	}
	parts := make(map[string]float64, len(wants))
	for _, customer := range customers {
		parts[customer] = min(wants[customer], whole*weight(customer)/total)
		whole -= parts[customer]
		total -= weight(customer)
	}
	return parts
}
