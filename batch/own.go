package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/lease"
	"wisteriacroft/ledger"
)

const (
	keepWithoutLease = time.Minute // how long the state is kept without the lease
	ledgerBackoff    = time.Second
)

// followLeases adopts the ledger of each trainer whose lease has a new epoch, and drops the state of
// a trainer after keepWithoutLease without its lease.
func (ow *Owner) followLeases(now time.Time) {
	for _, tr := range ow.trainers {
		epoch, st := ow.LeaseFunc(tr.name, now)
		if st != tr.leaseState {
			ow.log(tr).WithField("standing", st.String()).Info("lease standing of the trainer has changed")
			tr.leaseState = st
			tr.notify()
		}
		if st != lease.NotHeld {
			tr.lostSince = time.Time{}
		} else if tr.lostSince.IsZero() {
			tr.lostSince = now
		}
		if tr.loaded && !tr.lostSince.IsZero() && now.Sub(tr.lostSince) > keepWithoutLease {
			ow.dropState(tr)
		}
		if st == lease.Held && epoch != tr.epoch && !tr.adopting && !now.Before(tr.retryAt) {
			ow.adopt(tr, epoch)
		}
	}
}

// adopt raises the ledger's epoch.
func (ow *Owner) adopt(tr *trainer, epoch uint64) {
	tr.adopting = true
	ow.spawn(func(ctx context.Context) {
		rec, unchanged, err := tr.ledgerWriter.Adopt(ctx, epoch)
		ow.locked(func() { ow.adopted(tr, epoch, rec, unchanged, err) })
	})
}

// adopted processes the result of adopt. The state from before the lease was lost is kept if no
// other owner has written to the ledger, so that seals made during an outage can be published under
// the new epoch.
func (ow *Owner) adopted(tr *trainer, epoch uint64, rec ledger.Record, unchanged bool, err error) {
	tr.adopting = false
	if ow.trainer(tr.name) != tr {
		return
	}
	if err != nil {
		tr.retryAt = time.Now().Add(ledgerBackoff)
		ow.log(tr).WithError(err).Warn("could not adopt the ledger")
		if errors.Is(err, ledger.ErrFenced) {
			ow.dropState(tr)
		}
		return
	}
	if !unchanged || !tr.loaded {
		ow.dropState(tr)
		tr.restore(rec)
	}
	tr.epoch = epoch
	tr.notify()
	ow.log(tr).WithField("kept", unchanged).Info("adopted the ledger")
}

// dropState cancels the attempts of a trainer and drops its state.
func (ow *Owner) dropState(tr *trainer) {
	for len(tr.running) > 0 {
		ow.cancel(tr.running[0])
	}
	tr.epoch, tr.loaded = 0, false
	tr.garbage, tr.steps = nil, nil
	tr.notify()
}

// leaseState returns the state of the trainer's lease, or NotHeld if the state belongs to another
// epoch.
func (ow *Owner) leaseState(tr *trainer, now time.Time) lease.State {
	epoch, st := ow.LeaseFunc(tr.name, now)
	if !tr.loaded || epoch != tr.epoch {
		return lease.NotHeld
	}
	return st
}
