package overview

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// A prediction is the predicted end of an open item, relative to now. known is false if it can't be predicted.
type prediction struct {
	after   time.Duration
	known   bool
	item    ItemRow
	waiting bool
}

// later reports whether an item ends after another. An unknown end is later than any known one.
func (pr prediction) later(other prediction) bool {
	if pr.known != other.known {
		return !pr.known
	}
	return pr.after > other.after
}

// slotTimes is a min-heap of the times at which slots become free.
type slotTimes []time.Duration

func (st slotTimes) Len() int           { return len(st) }
func (st slotTimes) Less(i, j int) bool { return st[i] < st[j] }
func (st slotTimes) Swap(i, j int)      { st[i], st[j] = st[j], st[i] }

// Push implements heap.Interface.
func (st *slotTimes) Push(at any) { *st = append(*st, at.(time.Duration)) }

// Pop implements heap.Interface.
func (st *slotTimes) Pop() any {
	last := (*st)[len(*st)-1]
	*st = (*st)[:len(*st)-1]
	return last
}

// A queuedItem is a waiting item and its prediction, which assignSlots sets.
type queuedItem struct {
	item       ItemRow
	prediction *prediction
}

// predict returns predictions for the open items of each step. Waiting items get slots in the order of their turns,
// as slots become free. Memory is not considered; if it is scarce, items end later.
func predict(sn Snapshot) [][]prediction {
	free := freeSlots(sn.Engines)
	all := make([][]prediction, len(sn.Steps))
	queues := map[string][]queuedItem{}
	for i, sr := range sn.Steps {
		all[i] = make([]prediction, len(sr.Open))
		for j, ir := range sr.Open {
			all[i][j] = prediction{after: ir.Left, item: ir, known: ir.Stand != ItemWaiting, waiting: ir.Stand == ItemWaiting}
			switch {
			case ir.Stand == ItemRunning && free[sr.Service] != nil:
				*free[sr.Service] = append(*free[sr.Service], ir.Left)
			case ir.Stand == ItemWaiting && !ir.blocked():
				queues[sr.Service] = append(queues[sr.Service], queuedItem{item: ir, prediction: &all[i][j]})
			}
		}
	}
	for service, queue := range queues {
		assignSlots(queue, free[service])
	}
	return all
}

// freeSlots returns the free slots of the engines, by service.
func freeSlots(engines []Engine) map[string]*slotTimes {
	free := map[string]*slotTimes{}
	for _, en := range engines {
		st := free[en.Service]
		if st == nil {
			st = &slotTimes{}
			free[en.Service] = st
		}
		if en.State == Serving || en.State == Slow || en.State == Loading {
			for range en.Places - en.Runs - en.Others {
				*st = append(*st, 0)
			}
		}
	}
	return free
}

// assignSlots assigns slots to waiting items in the order of their turns.
func assignSlots(queue []queuedItem, st *slotTimes) {
	if st == nil || st.Len() == 0 {
		return
	}
	heap.Init(st)
	slices.SortStableFunc(queue, func(a, b queuedItem) int { return cmp.Compare(a.item.Turn, b.item.Turn) })
	for _, qi := range queue {
		qi.prediction.after, qi.prediction.known = (*st)[0]+qi.item.Left, true
		(*st)[0] = qi.prediction.after
		heap.Fix(st, 0)
	}
}

// deciding returns the prediction for the last item of the group that completes the wanted number of groups. open is
// false if enough groups are complete, or can't be.
func (sr *StepRow) deciding(prs []prediction) (last prediction, open bool) {
	byGroup := map[string]prediction{}
	for _, pr := range prs {
		if was, ok := byGroup[pr.item.Group]; !ok || pr.later(was) {
			byGroup[pr.item.Group] = pr
		}
	}
	missing := sr.Wanted - sr.Whole
	if missing <= 0 || missing > len(byGroup) {
		return prediction{}, false
	}
	groups := make([]prediction, 0, len(byGroup))
	for _, pr := range byGroup {
		groups = append(groups, pr)
	}
	slices.SortFunc(groups, func(a, b prediction) int {
		switch {
		case b.later(a):
			return -1
		case a.later(b):
			return 1
		default:
			return cmp.Compare(a.item.Group, b.item.Group)
		}
	})
	return groups[missing-1], true
}
