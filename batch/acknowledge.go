package batch

import (
	"time"

	"wisteriacroft/lease"
	"wisteriacroft/ledger"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// acknowledge marks the batches up to the cursor as taken. It need not wait for the ledger, since
// the next cursor repeats the acknowledgement.
//
// A lower incarnation is refused: a late pull from before the trainer's restart would acknowledge
// batches that the restarted trainer needs again.
func (ow *Owner) acknowledge(tr *trainer, cu message.Cursor, po position, st lease.State) error {
	if cu.Incarnation < tr.cursor.Incarnation {
		return refuse(outcome.BadRequest, "trainer has restarted: incarnation %d after %d", cu.Incarnation, tr.cursor.Incarnation)
	}
	restarted := cu.Incarnation > tr.cursor.Incarnation
	if po.before(tr.droppedAt()) {
		return ow.rewind(tr, cu, po, restarted, st)
	}
	at, err := positionOf(tr.cursor)
	if err != nil {
		return refuse(outcome.Refused, "ledger: %v", err)
	}
	if at.before(po) && tr.batch(po) == nil {
		if err := ow.skipTo(tr, cu, po); err != nil {
			return err
		}
	}
	for _, sp := range tr.steps {
		for _, ba := range sp.batches {
			taken := !po.before(ba.position())
			if taken != ba.acked && (taken || restarted) {
				ba.acked = taken
				tr.markChanged()
			}
		}
	}
	if at.before(po) || restarted {
		tr.cursor = cu
		tr.markChanged()
	}
	tr.recordVersion(cu, po, restarted)
	return nil
}

// recordVersion records the trainer's version and pace. Only a restart may lower the version, not a
// late pull.
func (tr *trainer) recordVersion(cu message.Cursor, po position, restarted bool) {
	if restarted || cu.Version > tr.version {
		tr.version = cu.Version
	}
	if po.step >= 0 {
		tr.pace.record(po.step, cu.Version, time.Now())
	}
}

// droppedAt returns the position of the last batch that is no longer kept.
func (tr *trainer) droppedAt() position {
	id, err := ledger.ParseBatchID(tr.droppedBatch)
	if err != nil {
		return origin
	}
	return position{step: id.Step, ordinal: id.Ordinal}
}

// skipTo follows a cursor to a batch that is not in the ledger, which has lost writes. All steps up
// to the cursor count as taken. If only a part of the step was taken, its groups are unknown, so
// the cursor is refused.
func (ow *Owner) skipTo(tr *trainer, cu message.Cursor, po position) error {
	if tr.step(po.step) != nil && !tr.policy.WholeSteps {
		return refuse(outcome.OutcomeUnknown, "batch %s is not in the ledger: submit what is left of step %d as a new step", cu.Batch, po.step)
	}
	ow.log(tr).WithField("batch", cu.Batch).Error("trainer has taken a batch that the ledger does not hold")
	for len(tr.steps) > 0 && tr.steps[0].number <= po.step {
		ow.dropStep(tr, tr.steps[0])
		tr.steps = tr.steps[1:]
	}
	tr.droppedBatch = cu.Batch
	return nil
}

// rewind follows a trainer that has restarted from a checkpoint older than the kept steps. It drops
// all steps; the trainer must submit those after its cursor again. It refuses a cursor with an
// unchanged incarnation, which is a late pull, and one in the middle of a step, whose taken groups
// are no longer known.
func (ow *Owner) rewind(tr *trainer, cu message.Cursor, po position, restarted bool, st lease.State) error {
	if !restarted {
		return refuse(outcome.BadRequest, "cursor %q is behind the steps that are kept", cu.Batch)
	}
	if id, err := ledger.ParseBatchID(cu.Batch); err == nil && !id.Whole {
		return refuse(outcome.BadRequest, "cursor %q is behind the steps that are kept: go back to the end of a step", cu.Batch)
	}
	if st != lease.Held {
		return refuse(outcome.Refused, "the key-value service is away: can't go back to step %d", po.step)
	}
	ow.log(tr).WithField("batch", cu.Batch).Warn("trainer restarts before the kept steps")
	for _, sp := range tr.steps {
		ow.dropStep(tr, sp)
	}
	tr.steps = nil
	tr.cursor, tr.droppedBatch = cu, cu.Batch
	tr.markChanged()
	tr.recordVersion(cu, po, restarted)
	tr.notify()
	return nil
}

// dropStep cancels the attempts of a step and discards its payloads.
func (ow *Owner) dropStep(tr *trainer, sp *step) {
	for i := len(tr.running) - 1; i >= 0; i-- {
		if tr.running[i].step == sp {
			ow.cancel(tr.running[i])
		}
	}
	tr.discardStep(sp)
}
