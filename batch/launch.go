package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
)

// maxRejections is the number of a trainer's attempts without an endpoint after which its other
// attempts wait for the next tick. Other trainers may allow older weights and still find endpoints.
const maxRejections = 8

// queuedFactor is the time limit for an attempt without tokens, in multiples of StragglerAfter.
const queuedFactor = 4

// silentFactor is the time limit for an attempt without reports, in multiples of StragglerAfter.
const silentFactor = 10

// errNoReports means that an attempt has not reported for too long.
var errNoReports = errors.New("attempt stopped reporting")

// launch creates an attempt at a slot, for dispatch. oldest is the lowest version to start on. If
// the slot has an earlier attempt with fresh tokens, the new one resumes it, on any version within
// the staleness bound.
func (ow *Owner) launch(tr *trainer, sp *step, sl *slot, oldest engine.Version, now time.Time) Attempt {
	ow.lastID++
	gr := &sp.request.Groups[sl.group]
	at := Attempt{
		Avoid:      sl.avoid,
		ID:         fmt.Sprintf("%s-%d-%d-%d-e%d-%d", tr.name, sp.number, sl.group, sl.member, tr.epoch, ow.lastID),
		MaxTokens:  gr.MaxTokens,
		MinVersion: oldest,
		Profile:    sp.profile,
		Prompt:     gr.Prompt,
		Seed:       seed(tr, sp, sl),
		Slot:       SlotID{Trainer: tr.name, Step: sp.number, Group: int(sl.group), Member: int(sl.member)},
	}
	resume := sl.resume
	if tr.policy.Straggling != ResumeStragglers || tr.policy.stale(resume.oldest, tr.version) {
		resume = resumption{}
	}
	at.ResumeFrom = resume.from
	if resume.from != nil {
		at.MinVersion = min(oldest, tr.boundVersion(sp))
	}
	row := &attempt{reportedAt: now, id: at.ID, oldest: resume.oldest, progressAt: now, slot: sl, step: sp, trainer: tr}
	if ow.attempts == nil {
		ow.attempts = map[string]*attempt{}
	}
	ow.attempts[at.ID] = row
	tr.running = append(tr.running, row)
	sl.attempts = append(sl.attempts, row)
	tr.counts.Attempts++
	return at
}

// seed returns the seed of a slot. It is the same for all owners.
func seed(tr *trainer, sp *step, sl *slot) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%d", tr.name, sp.number, sl.group, sl.member))
}

// dispatch starts attempts in order. After maxRejections rejections it skips the other attempts of
// a trainer.
func (ow *Owner) dispatch(ats []Attempt) {
	if len(ats) == 0 {
		return
	}
	ow.enqueue(func() {
		rejected := map[string]int{}
		for _, at := range ats {
			if rejected[at.Slot.Trainer] < maxRejections && ow.StartFunc(at) {
				continue
			}
			rejected[at.Slot.Trainer]++
			ow.locked(func() { ow.reject(at) })
		}
	})
}

// reject removes an attempt that was not started.
func (ow *Owner) reject(at Attempt) {
	row := ow.attempts[at.ID]
	if row == nil {
		return
	}
	row.trainer.counts.Attempts--
	ow.remove(row)
	if at.ResumeFrom != nil {
		if old := ow.attempts[at.ResumeFrom.Attempt]; old != nil {
			old.replaced = false
		}
	}
}

// remove removes an attempt from all indexes.
func (ow *Owner) remove(at *attempt) {
	delete(ow.attempts, at.id)
	at.trainer.running = removeAttempt(at.trainer.running, at)
	at.slot.attempts = removeAttempt(at.slot.attempts, at)
}

// cancel cancels an attempt whose result is no longer needed.
func (ow *Owner) cancel(at *attempt) {
	ow.remove(at)
	ow.enqueue(func() { ow.CancelFunc(at.id) })
}

func removeAttempt(ats []*attempt, at *attempt) []*attempt {
	i := slices.Index(ats, at)
	if i < 0 {
		return ats
	}
	return slices.Delete(ats, i, i+1)
}

// replaceStragglers starts additional attempts for those that stall or are much slower than the others.
func (ow *Owner) replaceStragglers(now time.Time) {
	for _, tr := range ow.trainers {
		ow.failSilent(tr, now)
		if tr.policy.Straggling == KeepStragglers {
			continue
		}
		slow := tr.policy.stragglerRate() * medianRate(tr.running)
		var ats []Attempt
		for _, at := range slices.Clone(tr.running) {
			if at.replaced || len(at.slot.attempts) >= tr.policy.maxAttempts() || !at.isStraggler(now, slow, &tr.policy) {
				continue
			}
			at.replaced = true
			at.slot.avoid, at.slot.resume = at.endpoint, at.resumption()
			tr.counts.Stragglers++
			ats = append(ats, ow.launch(tr, at.step, at.slot, tr.boundVersion(at.step), now))
		}
		ow.dispatch(ats)
	}
}

// failSilent fails attempts without reports for too long, whatever the straggler policy. Otherwise a
// lost report would leave the slot open for good.
func (ow *Owner) failSilent(tr *trainer, now time.Time) {
	for i := len(tr.running) - 1; i >= 0; i-- {
		at := tr.running[i]
		if now.Sub(at.reportedAt) >= silentFactor*tr.policy.stragglerAfter() {
			ow.enqueue(func() { ow.CancelFunc(at.id) })
			ow.fail(at, errNoReports)
		}
	}
}

// isStraggler reports whether an attempt has stalled or is slower than slow, in tokens per second. An
// attempt without tokens may be queued at its attendant, where another one would only queue too, so
// it has a longer time limit.
func (at *attempt) isStraggler(now time.Time, slow float64, po *Policy) bool {
	stalled := now.Sub(at.progressAt)
	if at.tokens == 0 {
		return stalled >= queuedFactor*po.stragglerAfter()
	}
	if stalled >= po.stragglerAfter() {
		return true
	}
	return now.Sub(at.startedAt) >= po.stragglerAfter() && at.rate(now) < slow
}

// rate returns the tokens per second since the first report with tokens. Earlier tokens may come
// from a resumed attempt.
func (at *attempt) rate(now time.Time) float64 {
	return float64(at.tokens-at.firstTokens) / max(now.Sub(at.startedAt).Seconds(), 1e-3)
}

// medianRate returns the median of the attempts' rates up to their last progress.
func medianRate(ats []*attempt) float64 {
	var rates []float64
	for _, at := range ats {
		if at.tokens > at.firstTokens {
			rates = append(rates, at.rate(at.progressAt))
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}
