package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/lease"
	"wisteriacroft/ledger"
)

// publish writes changed states to the ledger, with one write at a time per trainer.
func (ow *Owner) publish(now time.Time) {
	for _, tr := range ow.trainers {
		idle := tr.published == tr.wanted || tr.writing || now.Before(tr.retryAt)
		if idle || ow.leaseState(tr, now) == lease.NotHeld {
			continue
		}
		tr.writing = true
		rec, seq := tr.record(), tr.wanted
		ow.spawn(func(ctx context.Context) {
			err := tr.ledgerWriter.Write(ctx, rec)
			ow.locked(func() { ow.written(tr, rec.Epoch, seq, err) })
		})
	}
}

// written processes the result of a write. After an unknown outcome the same or a newer state is
// written again.
func (ow *Owner) written(tr *trainer, epoch, seq uint64, err error) {
	tr.writing = false
	if epoch != tr.epoch {
		return // the state was dropped or adopted again in the meantime
	}
	if err == nil {
		tr.published = seq
		tr.notify()
		return
	}
	tr.retryAt = time.Now().Add(ledgerBackoff)
	ow.log(tr).WithError(err).Warn("could not write the ledger")
	if errors.Is(err, ledger.ErrFenced) {
		ow.dropState(tr)
	}
}

// clean drops old steps and deletes payloads that the ledger no longer refers to.
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

// unused returns the payloads that nothing refers to. A regenerated sample may have the same digest
// as the one it replaces.
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

// retire drops taken steps except the newest ones, which a restarted trainer may request again.
func (tr *trainer) retire() {
	taken := 0
	for taken < len(tr.steps) && tr.steps[taken].fullyTaken() {
		taken++
	}
	for ; taken > tr.policy.keptSteps(); taken-- {
		sp := tr.steps[0]
		tr.steps = tr.steps[1:]
		tr.droppedBatch = sp.batches[len(sp.batches)-1].id()
		tr.discardStep(sp)
	}
}

// discardStep discards all payloads of a step.
func (tr *trainer) discardStep(sp *step) {
	tr.discard(sp.places, sp.digest)
	for _, ba := range sp.batches {
		for _, en := range ba.entries {
			tr.discard(en.Places, en.Digest)
		}
	}
}
