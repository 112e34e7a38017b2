package batch

import (
	"encoding/json"
	"time"

	"wisteriacroft/blob"
	"wisteriacroft/lease"
	"wisteriacroft/message"
)

// maxUntakenBatches is the number of sealed batches not yet taken above which complete groups wait for a
// common seal. It bounds the ledger writes for a slow trainer.
const maxUntakenBatches = 2

// seal seals batches of complete groups. They are handed over only after the ledger holds them.
func (ow *Owner) seal(now time.Time) {
	for _, tr := range ow.trainers {
		if ow.leaseState(tr, now) == lease.NotHeld {
			continue
		}
		for _, sp := range tr.steps {
			if sp.request == nil {
				continue
			}
			for _, ba := range sp.batches {
				tr.reseal(ba)
			}
			tr.sealStep(sp)
		}
	}
}

// sealStep seals a batch of the step's complete groups, or of the whole step if the policy requires
// it.
func (tr *trainer) sealStep(sp *step) {
	if sp.sealedWhole() || !tr.policy.WholeSteps && tr.untakenBatches(sp.number) >= maxUntakenBatches {
		return
	}
	var ready []int
	left := false
	for gi := range sp.request.Groups {
		switch {
		case sp.inBatch[gi]:
		case complete(sp.group(gi)):
			ready = append(ready, gi)
		default:
			left = true
		}
	}
	if len(ready) == 0 || left && tr.policy.WholeSteps {
		return
	}
	ba := &batch{ordinal: len(sp.batches), step: sp, whole: !left}
	samples := 0
	for _, gi := range ready {
		samples += len(sp.group(gi))
	}
	ba.entries = make([]message.SampleEntry, 0, samples)
	for _, gi := range ready {
		group := sp.group(gi)
		sp.inBatch[gi] = true
		for i := range group {
			sl := &group[i]
			ba.entries = append(ba.entries, *sl.entry)
			sl.entry, sl.state = nil, slotSealed
		}
	}
	sp.batches = append(sp.batches, ba)
	tr.completeSeal(ba)
}

// reseal seals a batch again after its reopened slots are filled. Its other samples stay unless
// they are stale.
func (tr *trainer) reseal(ba *batch) {
	if len(ba.reopened) == 0 || tr.reopenStaleEntries(ba) {
		return
	}
	for key := range ba.reopened {
		if ba.step.slot(key).state != slotFilled {
			return
		}
	}
	entries := make([]message.SampleEntry, len(ba.entries))
	for i, en := range ba.entries {
		sl := ba.step.slot(slotKey{group: en.Group, member: en.Member})
		if sl.state == slotFilled {
			tr.discard(en.Places, en.Digest)
			en = *sl.entry
			sl.entry, sl.state = nil, slotSealed
		}
		entries[i] = en
	}
	ba.entries, ba.reopened = entries, nil
	tr.completeSeal(ba)
}

// completeSeal completes a seal. The batch is immutable under its id from now on.
func (tr *trainer) completeSeal(ba *batch) {
	tr.seals++
	ba.seal = tr.seals
	ba.digest = manifestDigest(tr.name, ba)
	ba.seq = tr.markChanged()
	tr.counts.Seals++
}

// discard records a payload to be deleted after the next ledger write.
func (tr *trainer) discard(places []message.BlobLocation, digest string) {
	tr.garbage = append(tr.garbage, garbage{digest: digest, places: places, seq: tr.markChanged()})
}

// untakenBatches returns the number of batches up to a step that are sealed and not taken.
func (tr *trainer) untakenBatches(number int) int {
	sum := 0
	for _, sp := range tr.steps {
		if sp.number > number {
			break
		}
		for _, ba := range sp.batches {
			if !ba.acked {
				sum++
			}
		}
	}
	return sum
}

func complete(group []slot) bool {
	for i := range group {
		if group[i].state != slotFilled {
			return false
		}
	}
	return true
}

// manifestDigest returns the digest of a batch's samples, independent of their locations.
func manifestDigest(trainer string, ba *batch) string {
	type line struct {
		Digest string
		Slot   SlotID
	}
	lines := make([]line, len(ba.entries))
	for i, en := range ba.entries {
		slot := SlotID{Trainer: trainer, Step: ba.step.number, Group: en.Group, Member: en.Member}
		lines[i] = line{Digest: en.Digest, Slot: slot}
	}
	data, err := json.Marshal(lines)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return blob.Digest(data)
}
