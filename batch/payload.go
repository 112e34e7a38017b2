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

// Manifest returns the samples of a batch that the ledger holds. A refusal is a *outcome.Refusal.
func (ow *Owner) Manifest(name, id string) ([]message.SampleEntry, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	tr := ow.trainer(name)
	if tr == nil || ow.leaseState(tr, time.Now()) == lease.NotHeld {
		return nil, notOwned(name)
	}
	ba := tr.sealed(id)
	if ba == nil || ba.seq > tr.published {
		return nil, refuse(outcome.Refused, "batch %s was taken or replaced: pull again", id)
	}
	return ba.entries, nil
}

// Payload writes the samples of a batch as JSON lines in the manifest's order. It may return a
// *outcome.Refusal after it has written some of them.
func (ow *Owner) Payload(ctx context.Context, name, id string, wr io.Writer) error {
	entries, err := ow.Manifest(name, id)
	if err != nil {
		return err
	}
	for i, en := range entries {
		data, err := ow.FetchFunc(ctx, en.Places, en.Digest)
		if err != nil {
			ow.locked(func() { ow.payloadMissing(name, id, en, err) })
			ow.probePayloads(ctx, name, id, entries[i+1:])
			return refuse(outcome.Refused, "batch %s: sample %d of group %d: %v", id, en.Member, en.Group, err)
		}
		line := append(bytes.TrimSpace(data), '\n')
		if _, err := wr.Write(line); err != nil {
			return errors.Wrapf(err, "write batch %s", id)
		}
	}
	ow.locked(func() { ow.payloadsReachable(name, id) })
	return nil
}

// payloadsReachable records that all payloads of a batch are reachable.
func (ow *Owner) payloadsReachable(name, id string) {
	if tr := ow.trainer(name); tr != nil {
		if ba := tr.sealed(id); ba != nil {
			ba.unreachable = time.Time{}
		}
	}
}

// probePayloads checks the remaining payloads of a batch, so that all lost ones are generated again at the
// same time.
func (ow *Owner) probePayloads(ctx context.Context, name, id string, entries []message.SampleEntry) {
	for _, en := range entries {
		if _, err := ow.FetchFunc(ctx, en.Places, en.Digest); errors.Is(err, blob.ErrMissing) {
			ow.locked(func() { ow.payloadMissing(name, id, en, err) })
		} else if err != nil {
			return // unreachable; don't wait for each
		}
	}
}

// payloadMissing reopens the slot of a lost payload. The trainer can't have taken the batch, since it
// requests it, and each seal of a batch has the same slots. If the payload's data folders have been
// unreachable for too long, all payloads with the same places count as lost.
func (ow *Owner) payloadMissing(name, id string, en message.SampleEntry, err error) {
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
		if !ba.reopened[key] && (same || !missing && slices.Equal(other.Places, en.Places)) {
			tr.counts.Lost++
			ba.reopen(key)
		}
	}
	ow.log(tr).WithError(err).WithField("batch", id).Warn("payloads are lost: generating their samples again")
	tr.notify()
}

// sealed returns the batch with an id, or nil if the id is not that of its current seal.
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
