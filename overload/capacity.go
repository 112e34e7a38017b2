package overload

import (
	"cmp"
	"slices"
	"time"
)

// A capacity is the capacity until each of the steps is due.
type capacity struct {
	slots float64
	steps []*Step // by due time, the earliest first
}

func newCapacity(steps []*Step, slots float64) *capacity {
	ordered := slices.SortedStableFunc(slices.Values(steps), func(a, b *Step) int { return cmp.Compare(a.Left, b.Left) })
	return &capacity{slots: slots, steps: ordered}
}

// fits reports whether additional work that is due with a step fits: the reserved work that is
// due by then, and by each later due time, must be feasible by that time.
func (ca *capacity) fits(st *Step, work time.Duration) bool {
	total := work // due by until.Left
	for i, until := range ca.steps {
		total += until.work
		// Check steps with equal due times once, with the work of all of them.
		if until.Left < st.Left || i+1 < len(ca.steps) && ca.steps[i+1].Left == until.Left {
			continue
		}
		if float64(total) > ca.slots*float64(until.Left) {
			return false
		}
	}
	return true
}
