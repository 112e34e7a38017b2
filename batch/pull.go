package batch

import (
	"cmp"
	"context"
	"time"

	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// Pull acknowledges the batch that the cursor names and returns the next one,
// waiting for it as long as the request says. Until the next acknowledgement
// it returns the same batch, unless that has become stale or was lost: then a
// new seal of the same slots. A refusal is an *outcome.Refusal.
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
			return message.PullResponse{RetryAfter: comeBack.String()}, pu.idle
		case <-pu.changed:
		}
	}
}

// A pulled is the outcome of a pull: an answer, a refusal or a change to wait
// for.
type pulled struct {
	answer  *message.PullResponse
	changed <-chan struct{}
	err     error
	idle    error // why there is nothing to wait for, unless that changes
}

// pull decides on a pull as of now.
//
// Whether an owner whose lease is unconfirmed may answer is argued in
// docs/design/leases.md: it hands over only what the ledger holds, and only to
// a trainer whose last batch it knows.
func (ow *Owner) pull(name string, cu message.Cursor, po position, now time.Time) pulled {
	tr := ow.trainer(name)
	if tr == nil {
		return pulled{err: notHome(name)}
	}
	epoch, st := ow.LeaseFunc(name, now)
	switch mine := tr.loaded && epoch == tr.epoch; {
	case st == lease.NotHeld:
		return pulled{err: notHome(name)}
	case !mine && st == lease.Held:
		return pulled{changed: tr.changed}
	case !mine, st == lease.Unconfirmed && !tr.follows(cu, po):
		return pulled{err: notHome(name)}
	}
	if err := ow.acknowledge(tr, cu, po, st); err != nil {
		return pulled{err: err}
	}
	ba := tr.next(po)
	lost := tr.lostAt(po, ba)
	switch {
	case lost != nil:
		return pulled{err: refuse(outcome.Refused, "the request of step %d is lost: submit it again", lost.number)}
	case ba != nil && ba.seq <= tr.published && len(ba.wanting) == 0 && !tr.refresh(ba):
		return pulled{answer: tr.handOver(ba)}
	case st == lease.Unconfirmed:
		return pulled{err: notHome(name)} // another may have it
	}
	pu := pulled{changed: tr.changed}
	if last := tr.last(); last <= po.step && tr.next(po) == nil && !tr.unfinished(po.step) {
		pu.idle = refuse(outcome.Refused, "no step is open: submit the one after step %d", last)
	}
	return pu
}

// unfinished reports whether a step has batches to come.
func (tr *trainer) unfinished(number int) bool {
	sp := tr.step(number)
	return sp != nil && !sp.sealedWhole()
}

// handOver returns the answer that hands a batch over.
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

// lostAt returns the step that must go on before the trainer at a position can,
// if its request is lost. Next is the batch after the position, if there is one.
func (tr *trainer) lostAt(po position, next *batch) *step {
	if next != nil && len(next.wanting) == 0 {
		return nil
	}
	for _, sp := range tr.steps {
		if sp.number < po.step || !sp.wants() {
			continue
		}
		if sp.lost {
			return sp
		}
		return nil
	}
	return nil
}

// follows reports whether the cursor names a batch exactly as the rows know it.
// It is asked of an owner whose lease is unconfirmed. A later owner may have
// made other batches since; a trainer that has taken one of those carries its
// id and digest, and must not be answered from here.
func (tr *trainer) follows(cu message.Cursor, po position) bool {
	if cu.Batch == "" {
		return tr.dropped == "" && cu.Incarnation == tr.cursor.Incarnation
	}
	if cu.Batch == tr.cursor.Batch {
		return cu.Digest == tr.cursor.Digest
	}
	ba := tr.batch(po)
	return ba != nil && ba.id() == cu.Batch && ba.digest == cu.Digest
}
