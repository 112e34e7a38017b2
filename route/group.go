package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriacroft/engine"
)

// maxRandomTries is how many random rows are examined before the rows are scanned in order.
const maxRandomTries = 8

// A group is rows of a service that are picked from together, such as those in one failure domain. It is
// sorted by descending version, then by ID, so that the rows with a minimum version are a prefix
// found by binary search.
type group struct {
	next int // round-robin position
	rows []*row
}

// compareRows orders the rows of a group.
func compareRows(ro, other *row) int {
	return cmp.Or(
		cmp.Compare(other.endpoint.Version, ro.endpoint.Version),
		cmp.Compare(ro.endpoint.ID, other.endpoint.ID),
	)
}

// add inserts a row in order.
func (gr *group) add(ro *row) {
	i, _ := slices.BinarySearchFunc(gr.rows, ro, compareRows)
	gr.rows = slices.Insert(gr.rows, i, ro)
}

// remove removes a row.
func (gr *group) remove(ro *row) {
	i, ok := slices.BinarySearchFunc(gr.rows, ro, compareRows)
	if ok {
		gr.rows = slices.Delete(gr.rows, i, i+1)
	}
}

// withVersion returns the rows with at least version ve.
func (gr *group) withVersion(ve engine.Version) []*row {
	n, _ := slices.BinarySearchFunc(gr.rows, ve, func(ro *row, ve engine.Version) int {
		if ro.endpoint.Version >= ve {
			return -1
		}
		return 1
	})
	return gr.rows[:n]
}

// fits reports whether a row may get the request now.
func (need *Need) fits(ro *row, now time.Time) bool {
	if need.Room > 0 && ro.loadRatio() >= need.Room {
		return false
	}
	return ro.usable(now) && !slices.Contains(need.Exclude, ro.endpoint.ID)
}

// lessLoaded returns the less loaded of two random rows that fit, or nil.
func lessLoaded(rows []*row, rng *rand.Rand, now time.Time, need *Need) *row {
	first := randomFit(rows, rng, now, need)
	if first == nil {
		return nil
	}
	second := randomFit(rows, rng, now, need)
	if second.loadRatio() < first.loadRatio() {
		return second
	}
	return first
}

// randomFit returns a random row that fits, or nil if there is none.
func randomFit(rows []*row, rng *rand.Rand, now time.Time, need *Need) *row {
	if len(rows) == 0 {
		return nil
	}
	for range maxRandomTries {
		if ro := rows[rng.IntN(len(rows))]; need.fits(ro, now) {
			return ro
		}
	}
	return nextFit(rows, rng.IntN(len(rows)), now, need)
}

// nextFit returns the first row that fits, scanning cyclically from an index, or nil.
func nextFit(rows []*row, from int, now time.Time, need *Need) *row {
	for i := range rows {
		if ro := rows[(from+i)%len(rows)]; need.fits(ro, now) {
			return ro
		}
	}
	return nil
}
