package overview

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// An ending is the predicted end of an open item, relative to now. known is false if it can't be predicted.
type ending struct {
	after   time.Duration
	known   bool
	item    ItemRow
	waiting bool
}

// later reports whether an ending comes after another. An unknown end is later than any known one.
func (en ending) later(other ending) bool {
	if en.known != other.known {
		return !en.known
	}
	return en.after > other.after
}

// slotTimes is a min-heap of the times at which slots become free.
type places []time.Duration

func (pl places) Len() int           { return len(pl) }
func (pl places) Less(i, j int) bool { return pl[i] < pl[j] }
func (pl places) Swap(i, j int)      { pl[i], pl[j] = pl[j], pl[i] }

// Push implements heap.Interface.
func (pl *places) Push(at any) { *pl = append(*pl, at.(time.Duration)) }

// Pop implements heap.Interface.
func (pl *places) Pop() any {
	last := (*pl)[len(*pl)-1]
	*pl = (*pl)[:len(*pl)-1]
	return last
}

// A queued is a waiting item, and the ending that assignSlots sets for it.
type queued struct {
	item ItemRow
	at   *ending
}

// predict returns the predicted endings of the open items of each step. Waiting items get slots in the order of their
// turns, as slots become free. Memory is not considered; if it is scarce, items end later.
func foresee(si Snapshot) [][]ending {
	free := freePlaces(si.Engines)
	all := make([][]ending, len(si.Steps))
	queues := map[string][]queued{}
	for i, sr := range si.Steps {
		all[i] = make([]ending, len(sr.Open))
		for j, ir := range sr.Open {
			all[i][j] = ending{after: ir.Left, item: ir, known: ir.Stand != ItemWaiting, waiting: ir.Stand == ItemWaiting}
			switch {
			case ir.Stand == ItemRunning && free[sr.Service] != nil:
				*free[sr.Service] = append(*free[sr.Service], ir.Left)
			case ir.Stand == ItemWaiting && !ir.blocked():
				queues[sr.Service] = append(queues[sr.Service], queued{item: ir, at: &all[i][j]})
			}
		}
	}
	for service, queue := range queues {
		serveQueue(queue, free[service])
	}
	return all
}

// freeSlots returns the free slots of the engines, by service.
func freePlaces(engines []Engine) map[string]*places {
	free := map[string]*places{}
	for _, en := range engines {
		pl := free[en.Service]
		if pl == nil {
			pl = &places{}
			free[en.Service] = pl
		}
		if en.State == Serving || en.State == Slow || en.State == Loading {
			for range en.Places - en.Runs - en.Others {
				*pl = append(*pl, 0)
			}
		}
	}
	return free
}

// assignSlots assigns slots to waiting items in the order of their turns.
func serveQueue(queue []queued, pl *places) {
	if pl == nil || pl.Len() == 0 {
		return
	}
	heap.Init(pl)
	slices.SortStableFunc(queue, func(a, b queued) int { return cmp.Compare(a.item.Turn, b.item.Turn) })
	for _, qu := range queue {
		qu.at.after, qu.at.known = (*pl)[0]+qu.item.Left, true
		(*pl)[0] = qu.at.after
		heap.Fix(pl, 0)
	}
}

// decisive returns the ending of the group that completes the wanted number of groups. open is false if enough groups
// are complete, or can't be.
func (sr *StepRow) decisive(ens []ending) (en ending, open bool) {
	last := map[string]ending{}
	for _, e := range ens {
		if was, ok := last[e.item.Group]; !ok || e.later(was) {
			last[e.item.Group] = e
		}
	}
	missing := sr.Wanted - sr.Whole
	if missing <= 0 || missing > len(last) {
		return ending{}, false
	}
	groups := make([]ending, 0, len(last))
	for _, e := range last {
		groups = append(groups, e)
	}
	slices.SortFunc(groups, func(a, b ending) int {
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
