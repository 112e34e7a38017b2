package step

// sortGroups sorts the groups of a service's open steps by position into withRoom and without. It
// does nothing unless the sortGroups is stale.
func (rm *servicePlan) sortGroups(steps []*stepRow) {
	if !rm.stale {
		return
	}
	rm.stale = false
	rm.withRoom, rm.without = rm.withRoom[:0], rm.without[:0]
	for _, gr := range byPosition(steps) {
		if gr.plan.InTime() {
			rm.withRoom = append(rm.withRoom, gr)
		} else {
			rm.without = append(rm.without, gr)
		}
	}
}

// byPosition returns the groups of steps by position. It is a stable counting sort: positions
// are less than the number of groups.
func byPosition(steps []*stepRow) []*groupRow {
	most := 0
	for _, sr := range steps {
		for _, gr := range sr.list {
			most = max(most, gr.plan.Position())
		}
	}
	counts := make([]int, most+2) // groups before each position
	total := 0
	for _, sr := range steps {
		for _, gr := range sr.list {
			counts[gr.plan.Position()+1]++
			total++
		}
	}
	for i := range most + 1 {
		counts[i+1] += counts[i]
	}
	all := make([]*groupRow, total)
	for _, sr := range steps {
		for _, gr := range sr.list {
			at := &counts[gr.plan.Position()]
			all[*at] = gr
			*at++
		}
	}
	return all
}
