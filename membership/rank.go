package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wisteriacroft/instancelist"
)

// rankEntries orders entries by preference of an attendant: those of its own failure domain
// first, then by rendezvous hashing.
//
// Rendezvous hashing spreads attendants evenly without coordination, and an entry that joins or
// leaves moves only its own share of them.
func rankEntries(attendant, failureDomain string, entries []instancelist.Instance) []instancelist.Instance {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b instancelist.Instance) int {
		if near := cmp.Compare(distance(a, failureDomain), distance(b, failureDomain)); near != 0 {
			return near
		}
		return cmp.Or(cmp.Compare(weight(attendant, b.ID), weight(attendant, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// distance returns 0 for an entry in the failure domain, else 1.
func distance(in instancelist.Instance, failureDomain string) int {
	if in.FailureDomain == failureDomain {
		return 0
	}
	return 1
}

// weight returns the rendezvous hash of an attendant and an entry.
func weight(attendant, entry string) uint64 { return xxhash.Sum64String(attendant + " " + entry) }
