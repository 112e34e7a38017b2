package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/lease"
	"wisteriacroft/ledger"
)

// publish brings the ledgers up to what they should hold. There is one write at
// a time for a trainer, and it carries all that has changed until then.
func (ow *Owner) publish(now time.Time) {
	for _, tr := range ow.trainers {
		idle := tr.published == tr.wanted || tr.writing || now.Before(tr.retryAt)
		if idle || ow.stands(tr, now) == lease.NotHeld {
			continue
		}
		tr.writing = true
		rec, seq := tr.record(), tr.wanted
		ow.spawn(func(ctx context.Context) {
			err := tr.book.Write(ctx, rec)
			ow.locked(func() { ow.written(tr, rec.Epoch, seq, err) })
		})
	}
}

// written takes the answer of a write. Without one, the same or newer content
// is written again later; the ledger settles whether the first took effect.
func (ow *Owner) written(tr *trainer, epoch, seq uint64, err error) {
	tr.writing = false
	if epoch != tr.epoch {
		return // of rows that are gone, or adopted anew meanwhile
	}
	if err == nil {
		tr.published = seq
		tr.wake()
		return
	}
	tr.retryAt = time.Now().Add(retryLedger)
	ow.log(tr).WithError(err).Warn("could not write the ledger")
	if errors.Is(err, ledger.ErrFenced) {
		ow.drop(tr)
	}
}

// clean drops payloads that the ledger no longer names, and steps that their
// trainer has taken.
func (ow *Owner) clean(time.Time) {
	for _, tr := range ow.trainers {
		tr.retire()
		i := 0
		for i < len(tr.garbage) && tr.garbage[i].seq <= tr.published {
			i++
		}
		if i == 0 {
			continue
		}
		gas := tr.unused(tr.garbage[:i])
		tr.garbage = tr.garbage[i:]
		if ow.DropFunc == nil {
			continue
		}
		ow.spawn(func(ctx context.Context) {
			for _, ga := range gas {
				ow.DropFunc(ctx, ga.places, ga.digest)
			}
		})
	}
}

// unused returns those payloads that no row refers to. A sample that is made
// again may come out the same, and then has the name of the one it replaces.
func (tr *trainer) unused(gas []garbage) []garbage {
	used := map[string]bool{}
	for _, sp := range tr.steps {
		used[sp.digest] = true
		for i := range sp.slots {
			if en := sp.slots[i].entry; en != nil {
				used[en.Digest] = true
			}
		}
		for _, ba := range sp.batches {
			for i := range ba.entries {
				used[ba.entries[i].Digest] = true
			}
		}
	}
	var free []garbage
	for _, ga := range gas {
		if !used[ga.digest] {
			free = append(free, ga)
		}
	}
	return free
}

// retire lets go of taken steps, but for the newest ones, which a trainer that
// restarts with an older cursor may ask for again.
func (tr *trainer) retire() {
	taken := 0
	for taken < len(tr.steps) && tr.steps[taken].taken() {
		taken++
	}
	for ; taken > tr.policy.keptSteps(); taken-- {
		sp := tr.steps[0]
		tr.steps = tr.steps[1:]
		tr.dropped = sp.batches[len(sp.batches)-1].id()
		tr.discardStep(sp)
	}
}

// discardStep notes all payloads of a step.
func (tr *trainer) discardStep(sp *step) {
	tr.discard(sp.places, sp.digest)
	for _, ba := range sp.batches {
		for _, en := range ba.entries {
			tr.discard(en.Places, en.Digest)
		}
	}
}
