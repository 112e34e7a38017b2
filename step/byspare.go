package step

import (
	"cmp"
	"slices"
	"time"
)

// A queueCursor is the position of a round of placement in one queue of a step.
type queueCursor struct {
	at    int // index of the next entry
	list  *candidateList
	queue *waitQueue
	spare time.Duration // slack of an item that would take no time
	step  *stepRow
}

// A slackKey is the sort key of an item in the order of slack.
type slackKey struct {
	rank  int // of the customer
	spare time.Duration
	step  int // index of the step
	index int // in the step
}

func (sk slackKey) compare(other slackKey) int {
	return cmp.Or(
		cmp.Compare(sk.rank, other.rank), cmp.Compare(sk.spare, other.spare), cmp.Compare(sk.step, other.step),
		cmp.Compare(sk.index, other.index),
	)
}

// placeBySlack places items in the order of their customers' ranks and then of least slack. It
// merges the queues of all steps.
func (pl *placement) placeBySlack(ranks map[string]int) {
	pl.rankSteps(ranks)
	var heads []queueCursor
	var moving []slackKey // of items with a reserved slot
	for _, sr := range pl.steps {
		if sr.waits == 0 {
			continue
		}
		sr.queue.refresh(sr)
		heads = pl.appendCursors(heads, sr)
		moving = pl.appendMovingKeys(moving, sr)
	}
	slices.SortFunc(moving, slackKey.compare)
	for pl.live > 0 {
		best, bestKey := -1, slackKey{}
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
			pl.assign(we.item)
		}
	}
}

// appendCursors appends the heads of a step's nonempty queues.
func (pl *placement) appendCursors(heads []queueCursor, sr *stepRow) []queueCursor {
	for number := range sr.queue.queues {
		wq := &sr.queue.queues[number]
		he := queueCursor{list: pl.listOf(sr), queue: wq, spare: sr.step.Due - sr.age(pl.now), step: sr}
		if number&queueWithReward != 0 {
			he.spare -= sr.rewards.expected()
		}
		if len(wq.entries) > 0 {
			heads = append(heads, he)
		}
	}
	return heads
}

// appendMovingKeys appends the keys of a step's waiting items with a reserved slot.
func (pl *placement) appendMovingKeys(keys []slackKey, sr *stepRow) []slackKey {
	if sr.moving == 0 {
		return keys
	}
	for _, gr := range sr.list {
		for _, ir := range gr.wait.waiting {
			if ir.target != "" {
				keys = append(keys, slackKey{index: ir.index, rank: sr.rank, spare: ir.slack(pl.now), step: sr.place})
			}
		}
	}
	return keys
}

// advance moves to the next waiting item that may fit some engine, and returns its key. Moving
// holds the keys of items that will still release a reserved slot. An item after the first of
// these isn't skipped, since it may fit once that slot is free.
func (he *queueCursor) advance(moving []slackKey) (slackKey, bool) {
	if len(moving) == 0 && he.list.most < he.step.least {
		return slackKey{}, false
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
	return slackKey{}, false
}

func (he *queueCursor) key(we *waitEntry) slackKey {
	return slackKey{index: we.item.index, rank: he.step.rank, spare: he.spare - we.need, step: he.step.place}
}
