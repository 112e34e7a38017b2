package step

import (
	"cmp"
	"slices"
	"time"
)

// A queueCursor is the position of a round of placement in one queue of a step.
type queueCursor struct {
	next  int // index of the next entry
	list  *candidateList
	queue *waitQueue
	slack time.Duration // slack of an item that would take no time
	step  *stepRow
}

// A slackKey is the sort key of an item in the order of slack.
type slackKey struct {
	rank      int // of the customer
	slack     time.Duration
	stepIndex int // index of the step
	itemIndex int // in the step
}

func (sk slackKey) compare(other slackKey) int {
	return cmp.Or(
		cmp.Compare(sk.rank, other.rank), cmp.Compare(sk.slack, other.slack), cmp.Compare(sk.stepIndex, other.stepIndex),
		cmp.Compare(sk.itemIndex, other.itemIndex),
	)
}

// placeBySlack places items in the order of their customers' ranks and then of least slack. It
// merges the queues of all steps.
func (pl *placement) placeBySlack(ranks map[string]int) {
	pl.rankSteps(ranks)
	var heads []queueCursor
	var moving []slackKey // of items with a reserved slot
	for _, sr := range pl.steps {
		if sr.waitingCount == 0 {
			continue
		}
		sr.queue.refresh(sr)
		heads = pl.appendCursors(heads, sr)
		moving = pl.appendMovingKeys(moving, sr)
	}
	slices.SortFunc(moving, slackKey.compare)
	for pl.openCount > 0 {
		best, bestKey := -1, slackKey{}
		for i := range heads {
			if key, ok := heads[i].advance(moving); ok && (best < 0 || key.compare(bestKey) < 0) {
				best, bestKey = i, key
			}
		}
		if best < 0 {
			return
		}
		we := heads[best].queue.entries[heads[best].next]
		heads[best].next++
		if we.item.moveTarget != "" {
			moving = moving[1:]
		}
		if we.item.moveTarget != "" || we.tokens <= heads[best].list.maxTokens {
			pl.assign(we.item)
		}
	}
}

// appendCursors appends the heads of a step's nonempty queues.
func (pl *placement) appendCursors(heads []queueCursor, sr *stepRow) []queueCursor {
	for number := range sr.queue.queues {
		wq := &sr.queue.queues[number]
		he := queueCursor{list: pl.listOf(sr), queue: wq, slack: sr.step.Due - sr.age(pl.now), step: sr}
		if number&queueWithReward != 0 {
			he.slack -= sr.rewards.expected()
		}
		if len(wq.entries) > 0 {
			heads = append(heads, he)
		}
	}
	return heads
}

// appendMovingKeys appends the keys of a step's waiting items with a reserved slot.
func (pl *placement) appendMovingKeys(keys []slackKey, sr *stepRow) []slackKey {
	if sr.movingCount == 0 {
		return keys
	}
	for _, gr := range sr.groupList {
		for _, ir := range gr.summary.waiting {
			if ir.moveTarget != "" {
				keys = append(keys, slackKey{itemIndex: ir.index, rank: sr.customerRank, slack: ir.slack(pl.now), stepIndex: sr.orderIndex})
			}
		}
	}
	return keys
}

// advance moves to the next waiting item that may fit some engine, and returns its key. Moving
// holds the keys of items that will still release a reserved slot. An item after the first of
// these isn't skipped, since it may fit once that slot is free.
func (he *queueCursor) advance(moving []slackKey) (slackKey, bool) {
	if len(moving) == 0 && he.list.maxTokens < he.step.leastTokens {
		return slackKey{}, false
	}
	for ; he.next < len(he.queue.entries); he.next++ {
		we := &he.queue.entries[he.next]
		if we.tokens <= he.list.maxTokens {
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
	return slackKey{itemIndex: we.item.index, rank: he.step.customerRank, slack: he.slack - we.duration, stepIndex: he.step.orderIndex}
}
