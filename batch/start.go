package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wisteriacroft/lease"
)

// A candidate is a slot for which an attempt may start.
type candidate struct {
	expected float64 // length in tokens
	slot     *slot
	step     *step
}

// A queue is a trainer's candidates in start order.
type queue struct {
	candidates []candidate
	refused    map[int]int // attempts without an endpoint, by step
	room       int         // number of further attempts allowed
	trainer    *trainer
}

// maxRefusals is the number of a step's attempts without an endpoint after which its other attempts
// wait for the next tick.
const maxRefusals = 2

// maxStarts bounds the attempts started per tick.
const maxStarts = 128

// start starts attempts within the bounds, each for the trainer furthest below its share.
func (ow *Owner) start(now time.Time) {
	room := maxStarts
	if ow.MaxRunning > 0 {
		room = min(room, ow.MaxRunning-len(ow.attempts))
	}
	qus := ow.queues(now)
	if room <= 0 || len(qus) == 0 {
		return
	}
	ow.enqueue(func() {
		for room > 0 && ow.startNext(qus, now) {
			room--
		}
	})
}

// startNext starts one attempt and reports whether there was one to start.
//
// It creates the next attempt only after the previous one has found an endpoint. A step that no
// endpoint has the weights for is skipped; otherwise it would block the other steps and trainers
// while engines are idle.
func (ow *Owner) startNext(qus []*queue, now time.Time) bool {
	for {
		var at Attempt
		var qu *queue
		ow.locked(func() { at, qu = ow.launchNext(qus, now) })
		if qu == nil {
			return false
		}
		if ow.StartFunc(at) {
			return true
		}
		ow.locked(func() {
			ow.reject(at)
			qu.refuse(at.Slot.Step)
		})
	}
}

// launchNext creates the next attempt, or returns no queue if there is none. It skips candidates
// that have changed since the queues were made.
func (ow *Owner) launchNext(qus []*queue, now time.Time) (Attempt, *queue) {
	for {
		qu := furthestBelowShare(qus)
		if qu == nil {
			return Attempt{}, nil
		}
		ca := qu.candidates[0]
		qu.candidates = qu.candidates[1:]
		gone := ow.trainer(qu.trainer.name) != qu.trainer || ow.leaseState(qu.trainer, now) == lease.NotHeld
		if gone || ca.slot.state != slotOpen || len(ca.slot.attempts) > 0 {
			continue
		}
		qu.room--
		return ow.launch(qu.trainer, ca.step, ca.slot, qu.trainer.minVersion(ca.step, now), now), qu
	}
}

// refuse records that an attempt of a step found no endpoint.
func (qu *queue) refuse(number int) {
	qu.room++
	if qu.refused == nil {
		qu.refused = map[int]int{}
	}
	qu.refused[number]++
	if qu.refused[number] >= maxRefusals {
		qu.candidates = slices.DeleteFunc(qu.candidates, func(ca candidate) bool { return ca.step.number == number })
	}
}

// furthestBelowShare returns the queue whose trainer has the fewest attempts relative to its share, or nil if
// no queue may start one.
func furthestBelowShare(qus []*queue) *queue {
	var best *queue
	var least float64
	for _, qu := range qus {
		if len(qu.candidates) == 0 || qu.room <= 0 {
			continue
		}
		load := float64(len(qu.trainer.running)) / qu.trainer.policy.share()
		if best == nil || load < least {
			best, least = qu, load
		}
	}
	return best
}

// queues returns the queues of all owned trainers that may start attempts.
func (ow *Owner) queues(now time.Time) []*queue {
	var qus []*queue
	for _, tr := range ow.trainers {
		if ow.leaseState(tr, now) == lease.NotHeld {
			continue
		}
		qu := &queue{room: math.MaxInt, trainer: tr}
		if tr.policy.MaxRunning > 0 {
			qu.room = tr.policy.MaxRunning - len(tr.running)
		}
		if qu.room > 0 {
			qu.candidates = ow.candidates(tr, now)
			qus = append(qus, qu)
		}
	}
	return qus
}

// candidates returns a trainer's slots that need an attempt, ordered by step. A step starts only
// after the ledger holds it.
func (ow *Owner) candidates(tr *trainer, now time.Time) []candidate {
	var cas []candidate
	for _, sp := range tr.steps {
		if sp.request == nil || sp.seq > tr.published || !sp.mayHaveOpenSlots() {
			continue
		}
		from := len(cas)
		for gi := range sp.request.Groups {
			expected := -1.0
			group := sp.group(gi)
			for i := range group {
				sl := &group[i]
				if sl.state != slotOpen || len(sl.attempts) > 0 || now.Before(sl.retryAt) {
					continue
				}
				if expected < 0 {
					expected = ow.expectedLength(sp, gi)
				}
				cas = append(cas, candidate{expected: expected, slot: sl, step: sp})
			}
		}
		if tr.policy.Order == LongestFirst && !tr.policy.groupsFirst() {
			slices.SortStableFunc(cas[from:], longer)
		}
	}
	return cas
}

// groupsFirstWeight is the least freshness weight with which most samples start only when their trainer
// waits for them.
const groupsFirstWeight = 0.5

// groupsFirst reports whether slots start group by group instead of longest first. Longest first
// completes most groups late, so a trainer that takes groups as they complete, on fresh weights,
// would idle.
func (po *Policy) groupsFirst() bool {
	return !po.WholeSteps && po.FreshnessWeight >= groupsFirstWeight
}

// longer sorts candidates by expected length, longest first, then by member, so that the length of
// each group is observed early.
func longer(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.expected, a.expected), cmp.Compare(a.slot.member, b.slot.member))
}

// expectedLength returns the expected length of a group's next sample: the mean of its finished ones, but
// at least the tokens of a running one.
func (ow *Owner) expectedLength(sp *step, group int) float64 {
	gr := &sp.request.Groups[group]
	expected := ow.lengths.expect(gr.Prompt, gr.MaxTokens)
	finished, sum, running := 0, 0, 0
	slots := sp.group(group)
	for i := range slots {
		sl := &slots[i]
		if sl.entry != nil {
			finished++
			sum += tokens(sl.entry.Segments)
		}
		for _, at := range sl.attempts {
			running = max(running, at.tokens)
		}
	}
	if finished > 0 {
		expected = float64(sum) / float64(finished)
	}
	return max(expected, float64(running))
}
