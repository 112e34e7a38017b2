package step

import (
	"cmp"
	"slices"
	"time"
)

// A waitEntry is an item that waits, as it was when it came into the queue.
type waitEntry struct {
	held   int // tokens that it holds
	item   *itemRow
	need   time.Duration // what it is expected to take
	ticket int           // of the item then; another one makes the entry void
}

func compareEntries(a, b waitEntry) int {
	return cmp.Or(cmp.Compare(b.need, a.need), cmp.Compare(a.item.index, b.item.index))
}

// A waitQueue holds items of a step that wait, the one first that takes the longest, which
// has the least time to spare. Either all of them have begun or none has, and either all are
// to be scored or none is: time changes the time to spare of all alike.
type waitQueue struct {
	entries     []waitEntry
	eventTokens int           // that an event held by the gauge when it was ordered
	tokenTime   time.Duration // that a token of the step took then
}

// A stepQueue holds the items of a step that wait, by their time to spare. It stays from one
// tick to the next until the room is crowded.
type stepQueue struct {
	built  bool
	fresh  []*itemRow   // items that came to wait since the last refresh
	queues [4]waitQueue // by the number that itemRow.queue returns
}

// add adds an item that has come to wait.
func (sq *stepQueue) add(ir *itemRow) {
	ir.ticket++
	if sq.built {
		sq.fresh = append(sq.fresh, ir)
	}
}

// drop empties the queue until the next refresh builds it again.
func (sq *stepQueue) drop() { *sq = stepQueue{} }

// refresh adds the items that have come to wait, and orders queues anew whose items are now
// expected to take another time.
func (sq *stepQueue) refresh(sr *stepRow) {
	if !sq.built {
		sq.built = true
		for _, gr := range sr.list {
			sq.fresh = append(sq.fresh, gr.wait.waiting...)
		}
	}
	var fresh [4][]waitEntry
	for _, ir := range sq.fresh {
		if ir.state == waiting {
			fresh[ir.queue()] = append(fresh[ir.queue()], ir.entry())
		}
	}
	sq.fresh = sq.fresh[:0]
	tokens := sr.gauge.eventTokens()
	for i := range sq.queues {
		wq := &sq.queues[i]
		if i&queueBegun != 0 && wq.eventTokens != tokens || wq.tokenTime != sr.tokenTime {
			wq.reorder()
		}
		wq.eventTokens, wq.tokenTime = tokens, sr.tokenTime
		wq.merge(fresh[i])
	}
}

// queueBegun and queueRewarded are the bits of the number of an item's queue.
const (
	queueBegun    = 1
	queueRewarded = 2
)

// queue returns the number of the queue for an item.
func (ir *itemRow) queue() int {
	number := 0
	if ir.begun() {
		number |= queueBegun
	}
	if ir.item.Reward != nil {
		number |= queueRewarded
	}
	return number
}

// entry returns an item's entry as it is now.
func (ir *itemRow) entry() waitEntry {
	return waitEntry{held: ir.tokensNow(), item: ir, need: ir.expectedTime(), ticket: ir.ticket}
}

// valid reports whether the item has waited since the entry was made.
func (we *waitEntry) valid() bool { return we.item.state == waiting && we.item.ticket == we.ticket }

// reorder makes all entries anew and sorts them.
func (wq *waitQueue) reorder() {
	kept := wq.entries[:0]
	for _, we := range wq.entries {
		if we.valid() {
			kept = append(kept, we.item.entry())
		}
	}
	wq.entries = kept
	slices.SortFunc(wq.entries, compareEntries)
}

// fewFresh is how many new items are inserted one by one. For more, a merge is less work.
const fewFresh = 16

// merge adds entries. It drops void ones at the front, and where it merges all.
func (wq *waitQueue) merge(fresh []waitEntry) {
	for len(wq.entries) > 0 && !wq.entries[0].valid() {
		wq.entries = wq.entries[1:]
	}
	if len(fresh) <= fewFresh {
		for _, we := range fresh {
			at, _ := slices.BinarySearchFunc(wq.entries, we, compareEntries)
			wq.entries = slices.Insert(wq.entries, at, we)
		}
		return
	}
	slices.SortFunc(fresh, compareEntries)
	merged := make([]waitEntry, 0, len(wq.entries)+len(fresh))
	for _, we := range wq.entries {
		if !we.valid() {
			continue
		}
		for len(fresh) > 0 && compareEntries(fresh[0], we) < 0 {
			merged, fresh = append(merged, fresh[0]), fresh[1:]
		}
		merged = append(merged, we)
	}
	wq.entries = append(merged, fresh...)
}
