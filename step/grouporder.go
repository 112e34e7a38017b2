package step

// sortGroups sorts the groups of a service's open steps by position into reserved and unreserved.
// It does nothing unless the order is stale.
func (sp *servicePlan) sortGroups(steps []*stepRow) {
	if !sp.stale {
		return
	}
	sp.stale = false
	sp.reserved, sp.unreserved = sp.reserved[:0], sp.unreserved[:0]
	for _, gr := range byPosition(steps) {
		if gr.plan.InTime() {
			sp.reserved = append(sp.reserved, gr)
		} else {
			sp.unreserved = append(sp.unreserved, gr)
		}
	}
}

// byPosition returns the groups of steps by position. It is a stable counting sort: positions
// are less than the number of groups.
func byPosition(steps []*stepRow) []*groupRow {
	maxPosition := 0
	for _, sr := range steps {
		for _, gr := range sr.groupList {
			maxPosition = max(maxPosition, gr.plan.Position())
		}
	}
	counts := make([]int, maxPosition+2) // groups before each position
	total := 0
	for _, sr := range steps {
		for _, gr := range sr.groupList {
			counts[gr.plan.Position()+1]++
			total++
		}
	}
	for i := range maxPosition + 1 {
		counts[i+1] += counts[i]
	}
	all := make([]*groupRow, total)
	for _, sr := range steps {
		for _, gr := range sr.groupList {
			at := &counts[gr.plan.Position()]
			all[*at] = gr
			*at++
		}
	}
	return all
}
