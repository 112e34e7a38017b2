package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/lease"
	"wisteriacroft/ledger"
)

// Waits of an owner.
const (
	keepWithout = time.Minute // rows, while the lease is gone and no one else has written
	retryLedger = time.Second
)

// own follows the leases: it adopts the ledger under each new epoch, and gives
// the rows up when the lease stays away.
func (ow *Owner) own(now time.Time) {
	for _, tr := range ow.trainers {
		epoch, st := ow.LeaseFunc(tr.name, now)
		if st != tr.standing {
			ow.log(tr).WithField("standing", st.String()).Info("lease of the trainer")
			tr.standing = st
			tr.wake()
		}
		if st != lease.NotHeld {
			tr.noneSince = time.Time{}
		} else if tr.noneSince.IsZero() {
			tr.noneSince = now
		}
		if tr.loaded && !tr.noneSince.IsZero() && now.Sub(tr.noneSince) > keepWithout {
			ow.drop(tr)
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
		rec, unchanged, err := tr.book.Adopt(ctx, epoch)
		ow.locked(func() { ow.adopted(tr, epoch, rec, unchanged, err) })
	})
}

// adopted takes the answer of adopt. What the owner made before its lease ended
// is kept if no one else has written to the ledger since: seals that waited out
// an outage are then published under the new epoch.
func (ow *Owner) adopted(tr *trainer, epoch uint64, rec ledger.Record, unchanged bool, err error) {
	tr.adopting = false
	if ow.trainer(tr.name) != tr {
		return
	}
	if err != nil {
		tr.retryAt = time.Now().Add(retryLedger)
		ow.log(tr).WithError(err).Warn("could not adopt the ledger")
		if errors.Is(err, ledger.ErrFenced) {
			ow.drop(tr)
		}
		return
	}
	if !unchanged || !tr.loaded {
		ow.drop(tr)
		tr.restore(rec)
	}
	tr.epoch = epoch
	tr.wake()
	ow.log(tr).WithField("kept", unchanged).Info("adopted the ledger")
}

// drop forgets the rows of a trainer that another owns now.
func (ow *Owner) drop(tr *trainer) {
	for len(tr.running) > 0 {
		ow.cancel(tr.running[0])
	}
	tr.epoch, tr.loaded = 0, false
	tr.garbage, tr.steps = nil, nil
	tr.wake()
}

// stands returns how the trainer's lease stands for the rows at hand: NotHeld if
// they are not those of the lease's epoch.
func (ow *Owner) stands(tr *trainer, now time.Time) lease.State {
	epoch, st := ow.LeaseFunc(tr.name, now)
	if !tr.loaded || epoch != tr.epoch {
		return lease.NotHeld
	}
	return st
}
