package batch

import (
	"time"

	"wisteriacroft/lease"
	"wisteriacroft/ledger"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// acknowledge marks the batches up to the cursor's as taken. It does not wait
// for the ledger: the next cursor says the same again.
//
// Each start of a trainer has a higher incarnation. A pull that the trainer
// sent before it restarted may arrive late, and would acknowledge batches that
// the restarted trainer wants again; so a lower incarnation is refused.
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
		if err := ow.skip(tr, cu, po); err != nil {
			return err
		}
	}
	for _, sp := range tr.steps {
		for _, ba := range sp.batches {
			taken := !po.before(ba.position())
			if taken != ba.acked && (taken || restarted) {
				ba.acked = taken
				tr.touch()
			}
		}
	}
	if at.before(po) || restarted {
		tr.cursor = cu
		tr.touch()
	}
	tr.noteVersion(cu, po, restarted)
	return nil
}

// noteVersion notes the version that the trainer trains, and its pace. A late pull must not set it
// back, but a restart may.
func (tr *trainer) noteVersion(cu message.Cursor, po position, restarted bool) {
	if restarted || cu.Version > tr.version {
		tr.version = cu.Version
	}
	if po.step >= 0 {
		tr.pace.note(po.step, cu.Version, time.Now())
	}
}

// droppedAt returns the position of the last batch that is not kept any more.
func (tr *trainer) droppedAt() position {
	id, err := ledger.ParseBatchID(tr.dropped)
	if err != nil {
		return origin
	}
	return position{step: id.Step, ordinal: id.Ordinal}
}

// skip follows a cursor to a batch that the rows don't hold. The ledger holds
// each batch before it is handed over, so this one was lost with an older state
// of the service. The cursor counts: what the trainer has taken is not made
// again. Of a step that it has taken in part, the ledger can't tell which groups.
func (ow *Owner) skip(tr *trainer, cu message.Cursor, po position) error {
	if tr.step(po.step) != nil && !tr.policy.WholeSteps {
		return refuse(outcome.OutcomeUnknown, "batch %s is not in the ledger: submit what is left of step %d as a new step", cu.Batch, po.step)
	}
	ow.log(tr).WithField("batch", cu.Batch).Error("trainer has taken a batch that the ledger does not hold")
	for len(tr.steps) > 0 && tr.steps[0].number <= po.step {
		ow.forget(tr, tr.steps[0])
		tr.steps = tr.steps[1:]
	}
	tr.dropped = cu.Batch
	return nil
}

// rewind follows a trainer that has restarted from a checkpoint older than the
// steps that are kept. All steps after its cursor are forgotten; it must submit
// them again. The same incarnation can't go back: that is a late pull. Nor can
// it go back into the middle of a step, of which it is not known any more which
// groups the trainer has taken: the others would be lost to it.
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
	ow.log(tr).WithField("batch", cu.Batch).Warn("trainer goes back behind the steps that are kept")
	for _, sp := range tr.steps {
		ow.forget(tr, sp)
	}
	tr.steps = nil
	tr.cursor, tr.dropped = cu, cu.Batch
	tr.touch()
	tr.noteVersion(cu, po, restarted)
	tr.wake()
	return nil
}

// forget ends the work for a step.
func (ow *Owner) forget(tr *trainer, sp *step) {
	for i := len(tr.running) - 1; i >= 0; i-- {
		if tr.running[i].step == sp {
			ow.cancel(tr.running[i])
		}
	}
	tr.discardStep(sp)
}
