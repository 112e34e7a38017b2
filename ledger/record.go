package ledger

import "wisteriacroft/message"

// A Record is what must outlive an owner. The zero Record is that of a trainer
// that no one has served yet.
type Record struct {
	Batches []Batch        // sealed, by step and ordinal
	Cursor  message.Cursor // last acknowledged
	Dropped string         // id of the last acknowledged batch that is not kept any more, or ""
	Epoch   uint64
	Seals   int    // made so far, so that a batch's id is never used twice
	Steps   []Step // accepted, by number
}

// A Step is an accepted request for samples.
type Step struct {
	Digest  string // of the request's body
	Number  int
	Places  []message.BlobLocation // of the request's body
	Profile string
	Samples int
}

// A Batch is a sealed batch. Its slots never change once it is in the record;
// a new seal replaces samples that were lost or went stale.
type Batch struct {
	Acked   bool   // the trainer has taken it
	Digest  string // of the manifest
	Entries []message.SampleEntry
	Ordinal int // counts the batches of a step
	Seal    int // counts the seals of all the trainer's batches
	Step    int
	Whole   bool // the last batch of its step
}

// ID returns the batch's id, which names one seal.
func (ba *Batch) ID() BatchID {
	return BatchID{Ordinal: ba.Ordinal, Seal: ba.Seal, Step: ba.Step, Whole: ba.Whole}
}
