package batch

import (
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/lease"
	"wisteriacroft/ledger"
	"wisteriacroft/message"
)

// A trainer is what its owner knows of a trainer.
type trainer struct {
	adopting  bool
	book      *ledger.Writer
	changed   chan struct{} // closed and replaced on each change that a call may wait for
	counts    Counts
	cursor    message.Cursor // newest
	dropped   string         // id of the last batch that is not kept any more
	epoch     uint64         // adopted
	freshened engine.Version // that the filled slots were last checked against
	garbage   []garbage
	loaded    bool // the rows below are those of the ledger, or newer
	name      string
	noneSince time.Time // when the lease was first seen gone, or zero
	pace      pace
	policy    Policy
	published uint64 // last sequence number that the ledger holds
	releases  releases
	retryAt   time.Time  // of the next exchange with the ledger
	running   []*attempt // oldest first
	seals     int        // made so far
	standing  lease.State
	steps     []*step        // by number
	version   engine.Version // that the trainer trains, as last heard
	wanted    uint64         // last sequence number that the ledger should hold
	writing   bool
}

// A garbage is a payload that can go once the ledger no longer names it.
type garbage struct {
	digest string
	places []message.BlobLocation
	seq    uint64
}

// touch notes a change that the ledger must hold, and returns the sequence
// number of the write that will do so.
func (tr *trainer) touch() uint64 {
	tr.wanted++
	return tr.wanted
}

// wake lets the calls that wait for the trainer look again.
func (tr *trainer) wake() {
	close(tr.changed)
	tr.changed = make(chan struct{})
}

// step returns the step of a number, or nil.
func (tr *trainer) step(number int) *step {
	for _, sp := range tr.steps {
		if sp.number == number {
			return sp
		}
	}
	return nil
}

// open returns how many steps the trainer has not taken whole.
func (tr *trainer) open() int {
	count := 0
	for _, sp := range tr.steps {
		if !sp.taken() {
			count++
		}
	}
	return count
}

// pending returns how many steps count against the bound of open ones. The
// first does not once it is sealed whole: a trainer that has taken it says so
// in its next pull only, and one that submits its next step before that pull
// would be refused for ever, since it never comes to the pull.
func (tr *trainer) pending() int {
	count := tr.open()
	for _, sp := range tr.steps {
		if sp.taken() {
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

// record returns what the ledger should hold.
func (tr *trainer) record() ledger.Record {
	rec := ledger.Record{Cursor: tr.cursor, Dropped: tr.dropped, Epoch: tr.epoch, Seals: tr.seals}
	for _, sp := range tr.steps {
		rec.Steps = append(rec.Steps, ledger.Step{
			Digest:  sp.digest,
			Number:  sp.number,
			Places:  sp.places,
			Profile: sp.profile,
			Samples: sp.samples,
		})
		for _, ba := range sp.batches {
			rec.Batches = append(rec.Batches, ba.form())
		}
	}
	return rec
}

// restore replaces the rows by those of the ledger.
func (tr *trainer) restore(rec ledger.Record) {
	tr.cursor, tr.dropped, tr.version = rec.Cursor, rec.Dropped, rec.Cursor.Version
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
			continue // of a step that is not kept
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
	tr.wanted, tr.published, tr.freshened = 0, 0, 0
	tr.loaded = true
}
