package ledger

import "wisteriacroft/message"

// A Record is the persistent state of a trainer's batches. The zero Record is that of a
// new trainer.
type Record struct {
	Batches []Batch        // sealed, sorted by step and ordinal
	Cursor  message.Cursor // last acknowledged
	Dropped string         // ID of the last acknowledged batch that was removed, or ""
	Epoch   uint64
	Seals   int    // number of seals so far, which makes batch IDs unique
	Steps   []Step // accepted, sorted by number
}

// A Step is an accepted request for samples.
type Step struct {
	Digest  string // of the request's body
	Number  int
	Places  []message.BlobLocation // of the request's body
	Profile string
	Samples int
}

// A Batch is a sealed batch. It is immutable once it is in the record; a new seal replaces
// samples that were lost or became stale.
type Batch struct {
	Acked   bool   // acknowledged by the trainer
	Digest  string // of the manifest
	Entries []message.SampleEntry
	Ordinal int // index of the batch in its step
	Seal    int // sequence number of the seal among all of the trainer's batches
	Step    int
	Whole   bool // the last batch of its step
}

// ID returns the batch's ID, which changes with each seal.
func (ba *Batch) ID() BatchID {
	return BatchID{Ordinal: ba.Ordinal, Seal: ba.Seal, Step: ba.Step, Whole: ba.Whole}
}
