package batch

import (
	"time"

	"wisteriacroft/ledger"
	"wisteriacroft/message"
)

// A step is an accepted request for samples.
type step struct {
	accepted    time.Time // when accepted, or adopted by this owner
	batches     []*batch
	digest      string    // of the request's body
	first       []int     // index of each group's first slot
	inBatch     []bool    // whether each group is in a batch
	headAt      time.Time // when it became the next step to hand over
	loading     bool      // the request's body is being fetched
	lost        bool      // no copy of the request's body is left
	number      int
	places      []message.BlobLocation // of the request's body
	profile     string
	request     *message.StepRequest // nil until loaded
	retryAt     time.Time            // of loading
	samples     int
	seq         uint64    // of the ledger write that records it
	slots       []slot    // by group and member; nil until the request is loaded
	unreachable time.Time // when the request's body was first unreachable
}

// A batch is a sealed batch. Its slots never change.
type batch struct {
	acked       bool
	digest      string
	entries     []message.SampleEntry // replaced by a new seal, never modified
	ordinal     int
	seal        int
	seq         uint64 // of the ledger write that records it
	step        *step
	unreachable time.Time        // when a payload was first unreachable
	reopened    map[slotKey]bool // slots to fill again before the next seal
	whole       bool
}

// A slotKey identifies a slot of a step.
type slotKey struct {
	group  int
	member int
}

func (ba *batch) position() position {
	return position{step: ba.step.number, ordinal: ba.ordinal}
}

// ledgerForm returns the batch as stored in the ledger.
func (ba *batch) ledgerForm() ledger.Batch {
	return ledger.Batch{
		Acked:   ba.acked,
		Digest:  ba.digest,
		Entries: ba.entries,
		Ordinal: ba.ordinal,
		Seal:    ba.seal,
		Step:    ba.step.number,
		Whole:   ba.whole,
	}
}

func (ba *batch) id() string {
	fo := ba.ledgerForm()
	return fo.ID().String()
}

// slot returns the slot with a key.
func (sp *step) slot(key slotKey) *slot { return &sp.slots[sp.first[key.group]+key.member] }

// group returns the slots of a group.
func (sp *step) group(gi int) []slot {
	return sp.slots[sp.first[gi] : sp.first[gi]+sp.request.Groups[gi].Members]
}

// setRequest sets the request and creates the slots.
func (sp *step) setRequest(req *message.StepRequest) {
	sp.request, sp.lost, sp.loading = req, false, false
	sp.slots = make([]slot, 0, sp.samples)
	sp.first = make([]int, len(req.Groups))
	sp.inBatch = make([]bool, len(req.Groups))
	for gi, gr := range req.Groups {
		sp.first[gi] = len(sp.slots)
		for me := range gr.Members {
			sp.slots = append(sp.slots, slot{group: int32(gi), member: int32(me)})
		}
	}
	for _, ba := range sp.batches {
		for _, en := range ba.entries {
			key := slotKey{group: en.Group, member: en.Member}
			sp.inBatch[en.Group] = true
			if !ba.reopened[key] {
				sp.slot(key).state = slotSealed
			}
		}
	}
}

// sealedWhole reports whether all slots of the step are in batches.
func (sp *step) sealedWhole() bool {
	return len(sp.batches) > 0 && sp.batches[len(sp.batches)-1].whole
}

// fullyTaken reports whether the trainer has taken the whole step.
func (sp *step) fullyTaken() bool {
	return sp.sealedWhole() && sp.batches[len(sp.batches)-1].acked
}

// mayHaveOpenSlots reports whether the step may have open slots.
func (sp *step) mayHaveOpenSlots() bool {
	if !sp.sealedWhole() {
		return true
	}
	for _, ba := range sp.batches {
		if len(ba.reopened) > 0 {
			return true
		}
	}
	return false
}
