package step

import (
	"cmp"
	"slices"
	"time"
)

// A waitEntry is a waiting item with its properties when it was enqueued.
type waitEntry struct {
	tokens   int
	item     *itemRow
	duration time.Duration // expected time to complete
	ticket   int           // the entry is valid while the item has the same ticket
}

func compareEntries(a, b waitEntry) int {
	return cmp.Or(cmp.Compare(b.duration, a.duration), cmp.Compare(a.item.index, b.item.index))
}

// A waitQueue holds waiting items of a step by descending expected time, that is, by ascending
// slack. Its items agree in whether they have events and in whether they need a score, so that
// the order doesn't change with time.
type waitQueue struct {
	entries     []waitEntry
	eventTokens int           // tokens per event that the order was made with
	tokenTime   time.Duration // time per token that the order was made with
}

// A stepQueue holds the waiting items of a step by slack. It is kept between ticks, except
// under overload.
type stepQueue struct {
	built  bool
	added  []*itemRow   // items that started to wait after the last refresh
	queues [4]waitQueue // indexed by itemRow.queueIndex
}

// add adds an item that starts to wait.
func (sq *stepQueue) add(ir *itemRow) {
	ir.ticket++
	if sq.built {
		sq.added = append(sq.added, ir)
	}
}

// drop empties the queue. The next refresh builds it again.
func (sq *stepQueue) drop() { *sq = stepQueue{} }

// refresh adds new items, and sorts queues again whose items' expected times have changed.
func (sq *stepQueue) refresh(sr *stepRow) {
	if !sq.built {
		sq.built = true
		for _, gr := range sr.groupList {
			sq.added = append(sq.added, gr.summary.waiting...)
		}
	}
	var added [4][]waitEntry
	for _, ir := range sq.added {
		if ir.state == waiting {
			added[ir.queueIndex()] = append(added[ir.queueIndex()], ir.entry())
		}
	}
	sq.added = sq.added[:0]
	tokens := sr.estimator.eventTokens()
	for i := range sq.queues {
		wq := &sq.queues[i]
		if i&queueWithEvents != 0 && wq.eventTokens != tokens || wq.tokenTime != sr.tokenTime {
			wq.reorder()
		}
		wq.eventTokens, wq.tokenTime = tokens, sr.tokenTime
		wq.merge(added[i])
	}
}

// queueWithEvents and queueWithReward are the bits of the index of an item's queue.
const (
	queueWithEvents = 1
	queueWithReward = 2
)

// queueIndex returns the index of the queue for an item.
func (ir *itemRow) queueIndex() int {
	number := 0
	if ir.hasEvents() {
		number |= queueWithEvents
	}
	if ir.item.Reward != nil {
		number |= queueWithReward
	}
	return number
}

// entry returns a new entry for the item.
func (ir *itemRow) entry() waitEntry {
	return waitEntry{tokens: ir.tokensNow(), item: ir, duration: ir.expectedTime(), ticket: ir.ticket}
}

// valid reports whether the item has been waiting ever since the entry was made.
func (we *waitEntry) valid() bool { return we.item.state == waiting && we.item.ticket == we.ticket }

// reorder recomputes and sorts all entries.
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

// maxInserts is the largest number of entries to insert one by one rather than by a merge.
const maxInserts = 16

// merge adds entries. It drops invalid ones at the front, or all invalid ones if it merges.
func (wq *waitQueue) merge(added []waitEntry) {
	for len(wq.entries) > 0 && !wq.entries[0].valid() {
		wq.entries = wq.entries[1:]
	}
	if len(added) <= maxInserts {
		for _, we := range added {
			at, _ := slices.BinarySearchFunc(wq.entries, we, compareEntries)
			wq.entries = slices.Insert(wq.entries, at, we)
		}
		return
	}
	slices.SortFunc(added, compareEntries)
	merged := make([]waitEntry, 0, len(wq.entries)+len(added))
	for _, we := range wq.entries {
		if !we.valid() {
			continue
		}
		for len(added) > 0 && compareEntries(added[0], we) < 0 {
			merged, added = append(merged, added[0]), added[1:]
		}
		merged = append(merged, we)
	}
	wq.entries = append(merged, added...)
}
