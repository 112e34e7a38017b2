package step

import (
	"cmp"
	"slices"
	"time"
)

// A queueHead is where a round of placing stands in one queue of a step.
type queueHead struct {
	at    int // index of the next entry
	list  *seatList
	queue *waitQueue
	spare time.Duration // time to spare of an item that would take none
	step  *stepRow
}

// A spareKey is an item's place in the order of time to spare.
type spareKey struct {
	rank  int // of its customer
	spare time.Duration
	step  int // its place in the order of steps
	index int // in its step
}

func (sk spareKey) compare(other spareKey) int {
	return cmp.Or(
		cmp.Compare(sk.rank, other.rank), cmp.Compare(sk.spare, other.spare), cmp.Compare(sk.step, other.step),
		cmp.Compare(sk.index, other.index),
	)
}

// bySpare gives places to items in the order of their customers' ranks, and then of their
// time to spare, the least first. It merges the queues of all steps.
func (pl *placing) bySpare(ranks map[string]int) {
	pl.rankSteps(ranks)
	var heads []queueHead
	var moving []spareKey // of items that give back a place
	for _, sr := range pl.steps {
		if sr.waits == 0 {
			continue
		}
		sr.queue.refresh(sr)
		heads = pl.headsOf(heads, sr)
		moving = pl.movingOf(moving, sr)
	}
	slices.SortFunc(moving, spareKey.compare)
	for pl.live > 0 {
		best, bestKey := -1, spareKey{}
		for i := range heads {
			if key, ok := heads[i].advance(moving); ok && (best < 0 || key.compare(bestKey) < 0) {
				best, bestKey = i, key
			}
		}
		if best < 0 {
			return
		}
		we := heads[best].queue.entries[heads[best].at]
		heads[best].at++
		if we.item.target != "" {
			moving = moving[1:]
		}
		if we.item.target != "" || we.held <= heads[best].list.most {
			pl.give(we.item)
		}
	}
}

// headsOf appends the heads of a step's queues to heads.
func (pl *placing) headsOf(heads []queueHead, sr *stepRow) []queueHead {
	for number := range sr.queue.queues {
		wq := &sr.queue.queues[number]
		he := queueHead{list: pl.listOf(sr), queue: wq, spare: sr.step.Due - sr.age(pl.now), step: sr}
		if number&queueRewarded != 0 {
			he.spare -= sr.rewards.expected()
		}
		if len(wq.entries) > 0 {
			heads = append(heads, he)
		}
	}
	return heads
}

// movingOf appends to keys those of a step's items that wait and give back a place.
func (pl *placing) movingOf(keys []spareKey, sr *stepRow) []spareKey {
	if sr.moving == 0 {
		return keys
	}
	for _, gr := range sr.list {
		for _, ir := range gr.wait.waiting {
			if ir.target != "" {
				keys = append(keys, spareKey{index: ir.index, rank: sr.rank, spare: ir.timeToSpare(pl.now), step: sr.place})
			}
		}
	}
	return keys
}

// advance moves on to the next item that waits and may fit somewhere, and returns its place
// in the order. Moving are the items that still give back a place. An item that comes after
// the first of these may fit once the place is free, so that it isn't passed over now.
func (he *queueHead) advance(moving []spareKey) (spareKey, bool) {
	if len(moving) == 0 && he.list.most < he.step.least {
		return spareKey{}, false
	}
	for ; he.at < len(he.queue.entries); he.at++ {
		we := &he.queue.entries[he.at]
		if we.held <= he.list.most {
			if we.valid() {
				return he.key(we), true
			}
			continue
		}
		if len(moving) == 0 {
			continue
		}
		if key := he.key(we); key.compare(moving[0]) >= 0 && we.valid() {
			return key, true
		}
	}
	return spareKey{}, false
}

func (he *queueHead) key(we *waitEntry) spareKey {
	return spareKey{index: we.item.index, rank: he.step.rank, spare: he.spare - we.need, step: he.step.place}
}
