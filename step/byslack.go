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
	var cursors []queueCursor
	var moving []slackKey // of items with a reserved slot
	for _, sr := range pl.steps {
		if sr.waitingCount == 0 {
			continue
		}
		sr.queue.refresh(sr)
		cursors = pl.appendCursors(cursors, sr)
		moving = pl.appendMovingKeys(moving, sr)
	}
	slices.SortFunc(moving, slackKey.compare)
	for pl.openCount > 0 {
		best, bestKey := -1, slackKey{}
		for i := range cursors {
			if key, ok := cursors[i].advance(moving); ok && (best < 0 || key.compare(bestKey) < 0) {
				best, bestKey = i, key
			}
		}
		if best < 0 {
			return
		}
		we := cursors[best].queue.entries[cursors[best].next]
		cursors[best].next++
		if we.item.moveTarget != "" {
			moving = moving[1:]
		}
		if we.item.moveTarget != "" || we.tokens <= cursors[best].list.maxTokens {
			pl.assign(we.item)
		}
	}
}

// appendCursors appends the heads of a step's nonempty queues.
func (pl *placement) appendCursors(cursors []queueCursor, sr *stepRow) []queueCursor {
	for number := range sr.queue.queues {
		wq := &sr.queue.queues[number]
		qc := queueCursor{list: pl.listOf(sr), queue: wq, slack: sr.step.Due - sr.age(pl.now), step: sr}
		if number&queueWithReward != 0 {
			qc.slack -= sr.rewards.expected()
		}
		if len(wq.entries) > 0 {
			cursors = append(cursors, qc)
		}
	}
	return cursors
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
func (qc *queueCursor) advance(moving []slackKey) (slackKey, bool) {
	if len(moving) == 0 && qc.list.maxTokens < qc.step.leastTokens {
		return slackKey{}, false
	}
	for ; qc.next < len(qc.queue.entries); qc.next++ {
		we := &qc.queue.entries[qc.next]
		if we.tokens <= qc.list.maxTokens {
			if we.valid() {
				return qc.key(we), true
			}
			continue
		}
		if len(moving) == 0 {
			continue
		}
		if key := qc.key(we); key.compare(moving[0]) >= 0 && we.valid() {
			return key, true
		}
	}
	return slackKey{}, false
}

func (qc *queueCursor) key(we *waitEntry) slackKey {
	return slackKey{itemIndex: we.item.index, rank: qc.step.customerRank, slack: qc.slack - we.duration, stepIndex: qc.step.orderIndex}
}
