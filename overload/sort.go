package overload

import (
	"cmp"
	"slices"
)

// sortGroups sorts the groups of one step: first those that its trainer waits for in any case,
// then by ascending work, so that as many as possible are in time. The sort is stable.
func sortGroups(groups []*Group) {
	for i, gr := range groups {
		gr.order = i
	}
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(compareBool(b.Again, a.Again), cmp.Compare(a.Work, b.Work), cmp.Compare(a.order, b.order))
	})
}

// byTier returns the groups by tier, and otherwise in their order. Late and hopeless ones
// go by their customers' ranks and then by ascending work, so that as many as possible become
// complete.
func byTier(cds []candidate) []candidate {
	var tiers [hopeless + 1][]candidate
	for i, cd := range cds {
		cd.order = i
		tiers[cd.tier] = append(tiers[cd.tier], cd)
	}
	ordered := make([]candidate, 0, len(cds))
	for number, some := range tiers {
		if tier(number) >= late {
			slices.SortFunc(some, func(a, b candidate) int {
				return cmp.Or(cmp.Compare(a.step.Rank, b.step.Rank), cmp.Compare(a.group.Work, b.group.Work), cmp.Compare(a.order, b.order))
			})
		}
		ordered = append(ordered, some...)
	}
	return ordered
}
