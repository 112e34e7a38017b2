package batch

import (
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/lease"
	"wisteriacroft/ledger"
	"wisteriacroft/message"
)

// A trainer is the owner's state of a trainer.
type trainer struct {
	adopting       bool
	ledgerWriter   *ledger.Writer
	changed        chan struct{} // closed and replaced on each change that a call may wait for
	counts         Counts
	cursor         message.Cursor // latest
	droppedBatch   string         // id of the last batch that is no longer kept
	epoch          uint64         // epoch under which the ledger was adopted
	checkedVersion engine.Version // version against which filled slots were last checked
	garbage        []garbage
	loaded         bool // the steps are those of the ledger, or newer
	name           string
	lostSince      time.Time // when the lease was first seen lost, or zero
	pace           pace
	policy         Policy
	published      uint64 // last sequence number in the ledger
	releases       releases
	retryAt        time.Time  // of the next ledger access
	running        []*attempt // oldest first
	seals          int        // number of seals
	leaseState     lease.State
	steps          []*step        // by number
	version        engine.Version // latest version of the trainer
	wanted         uint64         // last sequence number to be written to the ledger
	writing        bool
}

// garbage is a payload to be deleted once the ledger no longer refers to it.
type garbage struct {
	digest string
	places []message.BlobLocation
	seq    uint64
}

// markChanged records a change to be written to the ledger and returns its sequence number.
func (tr *trainer) markChanged() uint64 {
	tr.wanted++
	return tr.wanted
}

// notify makes waiting calls check the trainer again.
func (tr *trainer) notify() {
	close(tr.changed)
	tr.changed = make(chan struct{})
}

// step returns the step with a number, or nil.
func (tr *trainer) step(number int) *step {
	for _, sp := range tr.steps {
		if sp.number == number {
			return sp
		}
	}
	return nil
}

// open returns the number of steps that the trainer has not taken completely.
func (tr *trainer) open() int {
	count := 0
	for _, sp := range tr.steps {
		if !sp.fullyTaken() {
			count++
		}
	}
	return count
}

// pending returns the number of steps that count against MaxOpenSteps. The first one does not count
// once it is sealed completely: a trainer that submits its next step before the pull that
// acknowledges it would otherwise be refused forever.
func (tr *trainer) pending() int {
	count := tr.open()
	for _, sp := range tr.steps {
		if sp.fullyTaken() {
			continue
		}
		if sp.sealedWhole() {
			count--
		}
		break
	}
	return count
}

// next returns the first batch after a position, or nil.
func (tr *trainer) next(po position) *batch {
	for _, sp := range tr.steps {
		for _, ba := range sp.batches {
			if po.before(ba.position()) {
				return ba
			}
		}
		if po.step < sp.number && !sp.sealedWhole() {
			return nil // later steps must wait for this one
		}
		if po.step == sp.number && !sp.sealedWhole() {
			return nil
		}
	}
	return nil
}

// batch returns the batch at a position, or nil.
func (tr *trainer) batch(po position) *batch {
	sp := tr.step(po.step)
	if sp == nil || po.ordinal < 0 || po.ordinal >= len(sp.batches) {
		return nil
	}
	return sp.batches[po.ordinal]
}

// record returns the ledger record of the current state.
func (tr *trainer) record() ledger.Record {
	rec := ledger.Record{Cursor: tr.cursor, Dropped: tr.droppedBatch, Epoch: tr.epoch, Seals: tr.seals}
	for _, sp := range tr.steps {
		rec.Steps = append(rec.Steps, ledger.Step{
			Digest:  sp.digest,
			Number:  sp.number,
			Places:  sp.places,
			Profile: sp.profile,
			Samples: sp.samples,
		})
		for _, ba := range sp.batches {
			rec.Batches = append(rec.Batches, ba.ledgerForm())
		}
	}
	return rec
}

// restore replaces the state by that of the ledger.
func (tr *trainer) restore(rec ledger.Record) {
	tr.cursor, tr.droppedBatch, tr.version = rec.Cursor, rec.Dropped, rec.Cursor.Version
	tr.seals, tr.steps, tr.garbage = rec.Seals, nil, nil
	for _, fo := range rec.Steps {
		tr.steps = append(tr.steps, &step{
			accepted: time.Now(),
			digest:   fo.Digest,
			number:   fo.Number,
			places:   fo.Places,
			profile:  fo.Profile,
			samples:  fo.Samples,
		})
	}
	for _, fo := range rec.Batches {
		sp := tr.step(fo.Step)
		if sp == nil {
			continue // the step is no longer kept
		}
		sp.batches = append(sp.batches, &batch{
			acked:   fo.Acked,
			digest:  fo.Digest,
			entries: fo.Entries,
			ordinal: fo.Ordinal,
			seal:    fo.Seal,
			step:    sp,
			whole:   fo.Whole,
		})
	}
	tr.wanted, tr.published, tr.checkedVersion = 0, 0, 0
	tr.loaded = true
}
