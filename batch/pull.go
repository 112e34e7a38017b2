package batch

import (
	"cmp"
	"context"
	"time"

	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// Pull acknowledges the batch in the cursor and returns the next one, waiting for it as long as the
// request allows. Until the acknowledgement it returns the same batch, or a new seal of the same
// slots if a sample has become stale or lost. A refusal is a *outcome.Refusal.
func (ow *Owner) Pull(
	ctx context.Context, name string, req message.PullRequest,
) (message.PullResponse, error) {
	po, err := positionOf(req.Cursor)
	if err != nil {
		return message.PullResponse{}, refuse(outcome.BadRequest, "cursor: %v", err)
	}
	wait, err := time.ParseDuration(cmp.Or(req.Wait, "0s"))
	if err != nil {
		return message.PullResponse{}, refuse(outcome.BadRequest, "wait: %v", err)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		var pu pulled
		ow.locked(func() { pu = ow.pull(name, req.Cursor, po, time.Now()) })
		if pu.err != nil {
			return message.PullResponse{}, pu.err
		}
		if pu.answer != nil {
			return *pu.answer, nil
		}
		select {
		case <-ctx.Done():
			return message.PullResponse{}, refuse(outcome.DeadlineExceeded, "no batch in time")
		case <-timeout.C:
			return message.PullResponse{RetryAfter: refusalRetryAfter.String()}, pu.idle
		case <-pu.changed:
		}
	}
}

// A pulled is the result of a pull: an answer, a refusal, or a change to wait for.
type pulled struct {
	answer  *message.PullResponse
	changed <-chan struct{}
	err     error
	idle    error // returned when the wait ends without a change
}

// pull decides on a pull at time now.
//
// An owner whose lease is unconfirmed may only hand over batches that the ledger holds, to a
// trainer whose last batch it has (see docs/design/leases.md).
func (ow *Owner) pull(name string, cu message.Cursor, po position, now time.Time) pulled {
	tr := ow.trainer(name)
	if tr == nil {
		return pulled{err: notOwned(name)}
	}
	epoch, st := ow.LeaseFunc(name, now)
	switch mine := tr.loaded && epoch == tr.epoch; {
	case st == lease.NotHeld:
		return pulled{err: notOwned(name)}
	case !mine && st == lease.Held:
		return pulled{changed: tr.changed}
	case !mine, st == lease.Unconfirmed && !tr.hasCursor(cu, po):
		return pulled{err: notOwned(name)}
	}
	if err := ow.acknowledge(tr, cu, po, st); err != nil {
		return pulled{err: err}
	}
	ba := tr.next(po)
	lost := tr.lostAt(po, ba)
	switch {
	case lost != nil:
		return pulled{err: refuse(outcome.Refused, "the request of step %d is lost: submit it again", lost.number)}
	case ba != nil && ba.seq <= tr.published && len(ba.reopened) == 0 && !tr.reopenStaleEntries(ba):
		return pulled{answer: tr.handOver(ba)}
	case st == lease.Unconfirmed:
		return pulled{err: notOwned(name)} // another owner may have it
	}
	pu := pulled{changed: tr.changed}
	if last := tr.lastStep(); last <= po.step && tr.next(po) == nil && !tr.incomplete(po.step) {
		pu.idle = refuse(outcome.Refused, "no step is open: submit the one after step %d", last)
	}
	return pu
}

// incomplete reports whether a step has more batches to come.
func (tr *trainer) incomplete(number int) bool {
	sp := tr.step(number)
	return sp != nil && !sp.sealedWhole()
}

// handOver returns the answer that hands over a batch.
func (tr *trainer) handOver(ba *batch) *message.PullResponse {
	tr.counts.HandOvers++
	return &message.PullResponse{
		Batch:    ba.id(),
		Digest:   ba.digest,
		Manifest: ba.entries,
		Step:     ba.step.number,
		Whole:    ba.whole,
	}
}

// lostAt returns the step that blocks a trainer at a position because its request is lost, or nil.
// next is the batch after the position, or nil.
func (tr *trainer) lostAt(po position, next *batch) *step {
	if next != nil && len(next.reopened) == 0 {
		return nil
	}
	for _, sp := range tr.steps {
		if sp.number < po.step || !sp.mayHaveOpenSlots() {
			continue
		}
		if sp.lost {
			return sp
		}
		return nil
	}
	return nil
}

// hasCursor reports whether the state has the batch of a cursor with the same digest. With an
// unconfirmed lease a later owner may have sealed other batches; a trainer that has taken one of
// these must not be answered.
func (tr *trainer) hasCursor(cu message.Cursor, po position) bool {
	if cu.Batch == "" {
		return tr.droppedBatch == "" && cu.Incarnation == tr.cursor.Incarnation
	}
	if cu.Batch == tr.cursor.Batch {
		return cu.Digest == tr.cursor.Digest
	}
	ba := tr.batch(po)
	return ba != nil && ba.id() == cu.Batch && ba.digest == cu.Digest
}
