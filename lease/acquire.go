package lease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/keyvalue"
)

// acquire acquires the lease if it is free.
//
// A lease that this process held before gets a new epoch. Its state stays Unconfirmed until
// another process is found to hold the name.
//
// The calls together are bounded by TTL: the interval between renewals would be too short to
// acquire a lease from a slow service.
func (ho *Holder) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ho.TTL)
	defer cancel()
	if former, ve, free := ho.readHolder(ctx); free && ho.mayClaim() {
		ho.claim(ctx, former, ve)
	}
}

// readHolder reads the record of the lease. It returns the former grant of this process, the
// version of the key, 0 if there is none, and whether this process may acquire the lease.
func (ho *Holder) readHolder(ctx context.Context) (former grant, ve int64, free bool) {
	ho.setOther(Record{})
	now, ve, err := read(ctx, ho.Client, leaseKey(ho.Name))
	if errors.Is(err, keyvalue.ErrNotFound) && ho.defers() {
		pause(ctx, deferProbes*ho.ProbeEvery)
		now, ve, err = read(ctx, ho.Client, leaseKey(ho.Name))
	}
	former = ho.current()
	switch {
	case errors.Is(err, keyvalue.ErrNotFound):
		return former, 0, true
	case err != nil:
		return former, 0, false
	case !ho.takeable(now):
		ho.setGrant(grant{})
		ho.setOther(now)
		return former, 0, false
	case now.ID == former.id:
		ho.counterID = "" // the key exists, yet a fenced write failed
	}
	return former, ve, true
}

// claim acquires the lease, whose key has the given version.
//
// It raises the epoch first and writes the key second. A process paused between the two could
// write the key with an outdated epoch, so that readers would see epochs go back. So the counter
// is read again after the write; if it has changed, the lease is revoked.
func (ho *Holder) claim(ctx context.Context, former grant, ve int64) {
	sent := time.Now()
	id, err := ho.Client.Grant(ctx, ho.TTL)
	if err != nil {
		ho.log("could not grant a lease", 0, err)
		return
	}
	gr := grant{id: uuid.NewString(), lease: id, until: ho.expiry(sent)}
	var before string
	gr.epoch, before, err = raiseEpoch(ctx, ho.Client, ho.Name, gr.id, ho.highest)
	if err == nil {
		if former.epoch != 0 && before != "" && before == ho.counterID {
			gr.previousEpoch, ho.counterID = former.epoch, gr.id
		}
		gr.fence, err = ho.writeRecord(ctx, gr, ve)
	}
	if err == nil {
		err = confirmEpoch(ctx, ho.Client, ho.Name, gr)
	}
	if err != nil {
		ho.log("could not acquire the lease", gr.epoch, err)
		_ = ho.Client.Revoke(ctx, id) // best effort: it expires anyway
		return
	}
	ho.highest, ho.counterID = gr.epoch, gr.id
	ho.setGrant(gr)
	ho.log("took the lease", gr.epoch, nil)
}

// deferProbes is how long a standby defers to the former holder at the end of an outage, as a
// multiple of ProbeEvery.
const deferProbes = 3

// defers reports, once, whether to leave a free name to the process that held it before an
// outage of the service, if that is not suspected to be dead.
//
// The former holder can continue with its state in memory; another process must load it first.
func (ho *Holder) defers() bool {
	ho.mu.Lock()
	rec := ho.lostHolder
	ho.lostHolder = Record{}
	ho.mu.Unlock()
	if rec.ID == "" || rec.Owner == ho.Owner || ho.ProbeEvery <= 0 || ho.current().epoch != 0 {
		return false
	}
	return ho.SuspectFunc == nil || !ho.SuspectFunc(rec.Owner)
}

// takeable reports whether the lease of a record may be taken over before it expires: it belongs
// to a previous run of this process, or its holder is suspected to be dead.
func (ho *Holder) takeable(rec Record) bool {
	ho.mu.Lock()
	suspected := ho.suspectedID
	ho.mu.Unlock()
	if rec.Owner == ho.Owner || suspected != "" && rec.ID == suspected {
		return true
	}
	return ho.SuspectFunc != nil && ho.SuspectFunc(rec.Owner)
}

// writeRecord writes the key of the lease, which must have the expected version, and returns its
// new version. If the outcome is unknown, it reads the key.
func (ho *Holder) writeRecord(ctx context.Context, gr grant, expected int64) (int64, error) {
	rec := Record{Epoch: gr.epoch, ID: gr.id, Owner: ho.Owner}
	ve, err := ho.Client.Put(ctx, leaseKey(ho.Name), encode(rec), expected, gr.lease)
	if !outcomeUnknown(err) {
		return ve, err
	}
	now, ve, errRead := read(ctx, ho.Client, leaseKey(ho.Name))
	if errRead == nil && now.ID == gr.id {
		return ve, nil
	}
	return 0, errors.CombineErrors(err, errRead)
}
