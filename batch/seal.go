package batch

import (
	"encoding/json"
	"time"

	"wisteriacroft/blob"
	"wisteriacroft/lease"
	"wisteriacroft/message"
)

// maxWaiting is how many batches of a trainer may be sealed and not yet taken
// before groups that complete wait for a common seal. It bounds the writes of
// a trainer that takes its groups slowly.
const maxWaiting = 2

// seal makes batches of what is complete. They are handed over only once the
// ledger holds them.
func (ow *Owner) seal(now time.Time) {
	for _, tr := range ow.trainers {
		if ow.stands(tr, now) == lease.NotHeld {
			continue
		}
		for _, sp := range tr.steps {
			if sp.request == nil {
				continue
			}
			for _, ba := range sp.batches {
				tr.sealAnew(ba)
			}
			tr.sealStep(sp)
		}
	}
}

// sealStep seals a new batch of the step's complete groups, or of all of them
// where the policy hands steps over whole.
func (tr *trainer) sealStep(sp *step) {
	if sp.sealedWhole() || !tr.policy.WholeSteps && tr.waiting(sp.number) >= maxWaiting {
		return
	}
	var ready []int
	left := false
	for gi := range sp.request.Groups {
		switch {
		case sp.grouped[gi]:
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
		sp.grouped[gi] = true
		for i := range group {
			sl := &group[i]
			ba.entries = append(ba.entries, *sl.entry)
			sl.entry, sl.state = nil, slotSealed
		}
	}
	sp.batches = append(sp.batches, ba)
	tr.finish(ba)
}

// sealAnew seals a batch again once the slots that it wanted are filled. The
// other samples stay as they are, if they are still fresh.
func (tr *trainer) sealAnew(ba *batch) {
	if len(ba.wanting) == 0 || tr.refresh(ba) {
		return
	}
	for key := range ba.wanting {
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
	ba.entries, ba.wanting = entries, nil
	tr.finish(ba)
}

// finish completes a seal: from here on the batch does not change under its id.
func (tr *trainer) finish(ba *batch) {
	tr.seals++
	ba.seal = tr.seals
	ba.digest = manifestDigest(tr.name, ba)
	ba.seq = tr.touch()
	tr.counts.Seals++
}

// discard notes a payload that can go once the ledger holds what is now wanted.
func (tr *trainer) discard(places []message.BlobLocation, digest string) {
	tr.garbage = append(tr.garbage, garbage{digest: digest, places: places, seq: tr.touch()})
}

// waiting returns how many batches up to a step are sealed and not taken. Those
// of later steps don't count: they are taken after it.
func (tr *trainer) waiting(number int) int {
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

// manifestDigest returns the digest of what a batch holds, apart from where.
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
		panic(err) // strings and numbers only
	}
	return blob.Digest(data)
}
