package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wisteriacroft/lease"
)

// A candidate is a slot that an attempt may be started for.
type candidate struct {
	expected float64 // length in tokens
	slot     *slot
	step     *step
}

// A queue is the candidates of a trainer, first to start first.
type queue struct {
	candidates []candidate
	refused    map[int]int // attempts that found no endpoint, by step
	room       int         // for more attempts
	trainer    *trainer
}

// maxRefusals is how many attempts of a step may find no endpoint before the
// rest of the step's are left for the next tick.
const maxRefusals = 2

// maxStarts bounds the attempts that start in a tick.
const maxStarts = 128

// start starts attempts while there is room, each for the trainer that is
// furthest below its share.
func (ow *Owner) start(now time.Time) {
	room := maxStarts
	if ow.MaxRunning > 0 {
		room = min(room, ow.MaxRunning-len(ow.attempts))
	}
	qus := ow.queues(now)
	if room <= 0 || len(qus) == 0 {
		return
	}
	ow.later(func() {
		for room > 0 && ow.startNext(qus, now) {
			room--
		}
	})
}

// startNext starts one attempt and reports whether there was one to start.
//
// Attempts are made one by one, each only when the one before has found an
// endpoint. And a step whose attempts find none, because no endpoint has its
// weights yet, does not keep those of other steps and trainers from theirs:
// otherwise all engines idle before one trainer that waits for weights.
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

// launchNext makes the attempt that starts next, or returns no queue. Events
// may have come since the queues were made.
func (ow *Owner) launchNext(qus []*queue, now time.Time) (Attempt, *queue) {
	for {
		qu := neediest(qus)
		if qu == nil {
			return Attempt{}, nil
		}
		ca := qu.candidates[0]
		qu.candidates = qu.candidates[1:]
		gone := ow.trainer(qu.trainer.name) != qu.trainer || ow.stands(qu.trainer, now) == lease.NotHeld
		if gone || ca.slot.state != slotOpen || len(ca.slot.attempts) > 0 {
			continue
		}
		qu.room--
		return ow.launch(qu.trainer, ca.step, ca.slot, qu.trainer.minVersion(ca.step, now), now), qu
	}
}

// refuse notes that an attempt of a step found no endpoint.
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

// neediest returns the queue whose trainer has the fewest attempts for its
// share, or nil if none has a candidate and room.
func neediest(qus []*queue) *queue {
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

// queues returns the candidates of each owned trainer that has room for more
// attempts.
func (ow *Owner) queues(now time.Time) []*queue {
	var qus []*queue
	for _, tr := range ow.trainers {
		if ow.stands(tr, now) == lease.NotHeld {
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

// candidates returns the slots of a trainer that want an attempt. Steps come in
// order; a step is not begun before the ledger holds it.
func (ow *Owner) candidates(tr *trainer, now time.Time) []candidate {
	var cas []candidate
	for _, sp := range tr.steps {
		if sp.request == nil || sp.seq > tr.published || !sp.wants() {
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
					expected = ow.expect(sp, gi)
				}
				cas = append(cas, candidate{expected: expected, slot: sl, step: sp})
			}
		}
		if tr.policy.Order == LongestFirst && !tr.policy.feeds() {
			slices.SortStableFunc(cas[from:], longer)
		}
	}
	return cas
}

// feedWeight is the freshness weight from which samples are mostly started when
// their trainer already waits for them.
const feedWeight = 0.5

// feeds reports whether slots are started group by group, though the policy
// says longest first. Longest first completes most groups late. That suits steps
// which are made ahead, but a trainer that takes groups as they complete and
// has them made on fresh weights would idle until then.
func (po *Policy) feeds() bool { return !po.WholeSteps && po.FreshnessWeight >= feedWeight }

// longer orders candidates by expected length, longest first. Among equals the
// first members go first, so that each group's length is learned early.
func longer(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.expected, a.expected), cmp.Compare(a.slot.member, b.slot.member))
}

// expect returns the length to expect of a group's next sample: the mean of
// those finished, and not less than what one that runs has already made.
func (ow *Owner) expect(sp *step, group int) float64 {
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
