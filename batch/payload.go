package batch

import (
	"bytes"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/blob"
	"wisteriacroft/lease"
	"wisteriacroft/ledger"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// Manifest returns the samples of a batch that the ledger holds. A refusal is a
// *outcome.Refusal.
func (ow *Owner) Manifest(name, id string) ([]message.SampleEntry, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	tr := ow.trainer(name)
	if tr == nil || ow.stands(tr, time.Now()) == lease.NotHeld {
		return nil, notHome(name)
	}
	ba := tr.sealed(id)
	if ba == nil || ba.seq > tr.published {
		return nil, refuse(outcome.Refused, "batch %s was taken or replaced: pull again", id)
	}
	return ba.entries, nil
}

// Payload writes the samples of a batch, one JSON line each, in the manifest's
// order. A refusal is an *outcome.Refusal; it may come after some were written.
func (ow *Owner) Payload(ctx context.Context, name, id string, wr io.Writer) error {
	entries, err := ow.Manifest(name, id)
	if err != nil {
		return err
	}
	for i, en := range entries {
		data, err := ow.FetchFunc(ctx, en.Places, en.Digest)
		if err != nil {
			ow.locked(func() { ow.missed(name, id, en, err) })
			ow.probe(ctx, name, id, entries[i+1:])
			return refuse(outcome.Refused, "batch %s: sample %d of group %d: %v", id, en.Member, en.Group, err)
		}
		line := append(bytes.TrimSpace(data), '\n')
		if _, err := wr.Write(line); err != nil {
			return errors.Wrapf(err, "write batch %s", id)
		}
	}
	ow.locked(func() { ow.reached(name, id) })
	return nil
}

// reached notes that all payloads of a batch could be had.
func (ow *Owner) reached(name, id string) {
	if tr := ow.trainer(name); tr != nil {
		if ba := tr.sealed(id); ba != nil {
			ba.unreachable = time.Time{}
		}
	}
}

// probe looks for the rest of a batch of which a payload is missing, so that all
// that were lost with a data folder are made again at one time.
func (ow *Owner) probe(ctx context.Context, name, id string, entries []message.SampleEntry) {
	for _, en := range entries {
		if _, err := ow.FetchFunc(ctx, en.Places, en.Digest); errors.Is(err, blob.ErrMissing) {
			ow.locked(func() { ow.missed(name, id, en, err) })
		} else if err != nil {
			return // out of reach: no use to wait for each
		}
	}
}

// missed notes that a payload could not be had. One that is lost is made again,
// and only that: the trainer has not taken the batch whole, since it asks for
// it, and every seal of a batch is of the same slots. If its folders have been
// out of reach for long, so are the others that are there.
func (ow *Owner) missed(name, id string, en message.SampleEntry, err error) {
	tr := ow.trainer(name)
	if tr == nil {
		return
	}
	ba := tr.sealed(id)
	if ba == nil {
		return
	}
	missing := errors.Is(err, blob.ErrMissing)
	if !missing && !unreachableTooLong(&ba.unreachable, time.Now()) {
		return
	}
	for _, other := range ba.entries {
		key := slotKey{group: other.Group, member: other.Member}
		same := other.Digest == en.Digest
		if !ba.wanting[key] && (same || !missing && slices.Equal(other.Places, en.Places)) {
			tr.counts.Lost++
			ba.reopen(key)
		}
	}
	ow.log(tr).WithError(err).WithField("batch", id).Warn("payloads are lost: their samples are made again")
	tr.wake()
}

// sealed returns the batch of an id, if that names its current seal.
func (tr *trainer) sealed(id string) *batch {
	bi, err := ledger.ParseBatchID(id)
	if err != nil {
		return nil
	}
	ba := tr.batch(position{step: bi.Step, ordinal: bi.Ordinal})
	if ba == nil || ba.id() != id {
		return nil
	}
	return ba
}
