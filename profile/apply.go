package profile

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/keyvalue"
)

// Pace of Apply.
const (
	applyAttempts = 10 // reads and writes of one Apply, before it gives up
	callTimeout   = 3 * time.Second
	firstBackoff  = 50 * time.Millisecond
	mostBackoff   = 2 * time.Second
)

// An ApplyRequest asks for the profiles of a directory to be put in force.
type ApplyRequest struct {
	AtLeast  uint64 // highest revision known to have been in force, or 0
	Base     Base
	By       string // the operator
	ChangeID string // unique; made up if it is ""
	DryRun   bool
	Message  string
	Wanted   []Profile
}

// An ApplyResult says what an Apply did, or with DryRun would do.
type ApplyResult struct {
	ChangeID string       // "" if nothing was to be changed
	Document Document     // what is in the service now
	Kept     []Difference // changed by others only, so left as they are
	Settled  bool         // an answer was lost; a later read showed the change
	Wishes   []Difference // what was changed
}

// Changed tells whether anything was to be changed.
func (ou ApplyResult) Changed() bool { return len(ou.Wishes) > 0 }

// An applier is the state of one Apply.
type applier struct {
	ApplyRequest
	cause   error // why the last attempt did not end the Apply
	pending int64 // version over which a write of unknown outcome was sent, or noWrite
	store   *Store
}

// noWrite stands for no write of unknown outcome.
const noWrite = -1

// Apply merges an operator's profiles into what is in force and writes the
// result as the next revision. Applying what is in force writes nothing.
//
// Errors: *Conflict, *Reverted, *OutcomeUnknownError, ErrChangeIDUsed, ErrInvalid with a
// *finding.Error, keyvalue.ErrTooLarge and keyvalue.ErrUnavailable. After all
// but *OutcomeUnknownError, nothing was written.
func (st *Store) Apply(ctx context.Context, ap ApplyRequest) (ApplyResult, error) {
	if ap.ChangeID == "" {
		ap.ChangeID = uuid.NewString()
	}
	ar := applier{ApplyRequest: ap, pending: noWrite, store: st}
	backoff := firstBackoff
	for range applyAttempts {
		ou, done, err := ar.attempt(ctx)
		if done {
			return ou, err
		}
		if !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, mostBackoff)
	}
	return ApplyResult{}, ar.giveUp()
}

// giveUp returns the error of an Apply that ran out of attempts. It is an
// *OutcomeUnknownError if the change may have taken effect.
func (ar *applier) giveUp() error {
	if ar.pending != noWrite {
		return &OutcomeUnknownError{cause: ar.cause, id: ar.ChangeID}
	}
	return errors.Mark(errors.Wrap(ar.cause, "gave up"), keyvalue.ErrUnavailable)
}

// attempt reads, merges and writes once. It is done unless the write lost a
// race or has an unknown outcome; then the next attempt's read decides.
func (ar *applier) attempt(ctx context.Context) (ApplyResult, bool, error) {
	sd, err := ar.store.readWithin(ctx, callTimeout)
	if err != nil {
		ar.cause = err
		return ApplyResult{}, ar.pending == noWrite, err // else look again before saying anything
	}
	// A write whose answer was lost may stand in the value, possibly under
	// later writes of others. Taken for failed, it would be written again, or
	// the operator told a falsehood. The change's id in the value settles it.
	if ch, ok := sd.Document.Change(ar.ChangeID); ok {
		return ar.settled(sd, ch)
	}
	if ar.pending != noWrite && sd.Version > ar.pending {
		ar.pending = noWrite // the write can't take effect any more
	}
	if seen := max(ar.AtLeast, ar.Base.revision); sd.Document.revision < seen {
		ar.cause = &Reverted{revision: sd.Document.revision, seen: seen}
		return ApplyResult{}, ar.pending == noWrite, ar.cause
	}
	ar.AtLeast = max(ar.AtLeast, sd.Document.revision)
	return ar.merge(ctx, sd)
}

// settled returns the outcome once the change's id was found in the service. If
// the id was used for another change, these wishes were not applied:
// ErrChangeIDUsed.
func (ar *applier) settled(sd VersionedDocument, ch Change) (ApplyResult, bool, error) {
	ou := ApplyResult{ChangeID: ar.ChangeID, Document: sd.Document, Settled: true}
	base := ar.Base
	for _, to := range ch.touched {
		if digestIn(ar.Wanted, to.Name) != to.After {
			return ApplyResult{}, true, errors.Wrap(ErrChangeIDUsed, ar.ChangeID)
		}
		base = base.with(to.Name, to.After)
		pr, _ := find(ar.Wanted, to.Name)
		ou.Wishes = append(ou.Wishes, Difference{Name: to.Name, Wanted: pr.source})
	}
	me := mergeThree(base, sd.Document, ar.Wanted)
	if len(me.Wishes) > 0 {
		return ApplyResult{}, true, errors.Wrap(ErrChangeIDUsed, ar.ChangeID)
	}
	ou.Kept = me.Kept
	return ou, true, nil
}

// merge merges the wishes into what was read and writes the result if it differs.
func (ar *applier) merge(ctx context.Context, sd VersionedDocument) (ApplyResult, bool, error) {
	me := mergeThree(ar.Base, sd.Document, ar.Wanted)
	ou := ApplyResult{Document: sd.Document, Kept: me.Kept, Wishes: me.Wishes}
	if len(me.Conflicts) > 0 {
		return ou, true, newConflict(sd.Document, me.Conflicts)
	}
	if len(me.Wishes) == 0 {
		return ou, true, nil
	}
	if err := Check(me.profiles); err != nil {
		return ou, true, errors.Mark(err, ErrInvalid)
	}
	next := sd.Document.next(me.profiles, Change{
		at:      time.Now().UTC().Truncate(time.Millisecond),
		by:      ar.By,
		id:      ar.ChangeID,
		message: ar.Message,
		touched: me.touched,
	})
	if ar.DryRun {
		return ou, true, nil
	}
	ou.ChangeID = ar.ChangeID
	ou.Document = next
	done, err := ar.write(ctx, next, sd.Version)
	return ou, done, err
}

// write puts the next document over a version of the item.
func (ar *applier) write(ctx context.Context, next Document, over int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := ar.store.put(ctx, next, over)
	ar.cause = err
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, keyvalue.ErrTooLarge):
		return true, err
	case errors.Is(err, keyvalue.ErrConflict):
		return false, nil // another write went first: merge with it
	case errors.Is(err, keyvalue.ErrUnavailable):
		return ar.pending == noWrite, err
	default:
		ar.pending = over // may have taken effect, or may do so yet
		return false, nil
	}
}

// readWithin reads and gives up after a while: a connection that went silent
// must not hold an operator's command for good.
func (st *Store) readWithin(ctx context.Context, within time.Duration) (VersionedDocument, error) {
	limited, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	sd, err := st.Read(limited)
	if err != nil && limited.Err() != nil {
		return sd, errors.Mark(err, keyvalue.ErrUnavailable)
	}
	return sd, err
}

// sleep waits and tells whether it did so to the end.
func sleep(ctx context.Context, du time.Duration) bool {
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}
