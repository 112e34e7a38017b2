package profile

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/keyvalue"
)

// Limits of Apply.
const (
	maxApplyAttempts = 10 // read-merge-write cycles of one Apply
	callTimeout      = 3 * time.Second
	firstBackoff     = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// An ApplyRequest asks to put the profiles of a directory in force.
type ApplyRequest struct {
	AtLeast  uint64 // highest revision known to have been in force; 0: unknown
	Base     Base
	By       string // the operator
	ChangeID string // unique; generated if it is ""
	DryRun   bool
	Message  string
	Wanted   []Profile
}

// An ApplyResult is what Apply changed, or with DryRun would change.
type ApplyResult struct {
	ChangeID string       // "" if there was nothing to change
	Document Document     // in the service now
	Kept     []Difference // changed by other operators only, not touched
	Settled  bool         // a response was lost; a later read showed the change
	Wishes   []Difference // changed by this request
}

// Changed reports whether the request changes any profile.
func (res ApplyResult) Changed() bool { return len(res.Wishes) > 0 }

// An applier is the state of one Apply.
type applier struct {
	ApplyRequest
	cause   error // error of the last attempt
	pending int64 // expected version of a write of unknown outcome, or noPendingWrite
	store   *Store
}

// noPendingWrite means that no write has an unknown outcome.
const noPendingWrite = -1

// Apply merges an operator's profiles into the document in force and writes the
// result as the next revision. It writes nothing if there is no difference.
//
// Errors: *Conflict, *Reverted, *OutcomeUnknownError, ErrChangeIDUsed, ErrInvalid with a
// *finding.Error, keyvalue.ErrTooLarge and keyvalue.ErrUnavailable. Nothing was
// written unless the error is *OutcomeUnknownError.
func (st *Store) Apply(ctx context.Context, ap ApplyRequest) (ApplyResult, error) {
	if ap.ChangeID == "" {
		ap.ChangeID = uuid.NewString()
	}
	ar := applier{ApplyRequest: ap, pending: noPendingWrite, store: st}
	backoff := firstBackoff
	for range maxApplyAttempts {
		res, done, err := ar.attempt(ctx)
		if done {
			return res, err
		}
		if !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return ApplyResult{}, ar.exhausted()
}

// exhausted returns the error after the last attempt. It is an
// *OutcomeUnknownError if the change may have taken effect.
func (ar *applier) exhausted() error {
	if ar.pending != noPendingWrite {
		return &OutcomeUnknownError{cause: ar.cause, id: ar.ChangeID}
	}
	return errors.Mark(errors.Wrap(ar.cause, "profiles not applied, retries exhausted"), keyvalue.ErrUnavailable)
}

// attempt reads, merges and writes once. It returns false if the write lost a
// race or has an unknown outcome; the next attempt's read then decides.
func (ar *applier) attempt(ctx context.Context) (ApplyResult, bool, error) {
	vd, err := ar.store.readWithin(ctx, callTimeout)
	if err != nil {
		ar.cause = err
		return ApplyResult{}, ar.pending == noPendingWrite, err // else read again: the outcome of a write is unknown
	}
	// A write whose response was lost may have taken effect, possibly followed by
	// writes of others. The change's id in the document shows it; without this check
	// the change would be written twice or reported as failed.
	if ch, ok := vd.Document.Change(ar.ChangeID); ok {
		return ar.confirmed(vd, ch)
	}
	if ar.pending != noPendingWrite && vd.Version > ar.pending {
		ar.pending = noPendingWrite // the write can't take effect any more
	}
	if seen := max(ar.AtLeast, ar.Base.revision); vd.Document.revision < seen {
		ar.cause = &Reverted{revision: vd.Document.revision, seen: seen}
		return ApplyResult{}, ar.pending == noPendingWrite, ar.cause
	}
	ar.AtLeast = max(ar.AtLeast, vd.Document.revision)
	return ar.merge(ctx, vd)
}

// confirmed returns the result once the change's id was found in the service, or
// ErrChangeIDUsed if the id belongs to a change of something else.
func (ar *applier) confirmed(vd VersionedDocument, ch Change) (ApplyResult, bool, error) {
	res := ApplyResult{ChangeID: ar.ChangeID, Document: vd.Document, Settled: true}
	base := ar.Base
	for _, cp := range ch.changed {
		if digestIn(ar.Wanted, cp.Name) != cp.After {
			return ApplyResult{}, true, errors.Wrap(ErrChangeIDUsed, ar.ChangeID)
		}
		base = base.with(cp.Name, cp.After)
		pr, _ := find(ar.Wanted, cp.Name)
		res.Wishes = append(res.Wishes, Difference{Name: cp.Name, Wanted: pr.source})
	}
	me := threeWayMerge(base, vd.Document, ar.Wanted)
	if len(me.Wishes) > 0 {
		return ApplyResult{}, true, errors.Wrap(ErrChangeIDUsed, ar.ChangeID)
	}
	res.Kept = me.Kept
	return res, true, nil
}

// merge merges the request into the document that was read and writes the result
// if it differs.
func (ar *applier) merge(ctx context.Context, vd VersionedDocument) (ApplyResult, bool, error) {
	me := threeWayMerge(ar.Base, vd.Document, ar.Wanted)
	res := ApplyResult{Document: vd.Document, Kept: me.Kept, Wishes: me.Wishes}
	if len(me.Conflicts) > 0 {
		return res, true, newConflict(vd.Document, me.Conflicts)
	}
	if len(me.Wishes) == 0 {
		return res, true, nil
	}
	if err := Check(me.profiles); err != nil {
		return res, true, errors.Mark(err, ErrInvalid)
	}
	next := vd.Document.next(me.profiles, Change{
		at:      time.Now().UTC().Truncate(time.Millisecond),
		by:      ar.By,
		id:      ar.ChangeID,
		message: ar.Message,
		changed: me.changed,
	})
	if ar.DryRun {
		return res, true, nil
	}
	res.ChangeID = ar.ChangeID
	res.Document = next
	done, err := ar.write(ctx, next, vd.Version)
	return res, done, err
}

// write writes the next document if the key is at the expected version.
func (ar *applier) write(ctx context.Context, next Document, expected int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := ar.store.put(ctx, next, expected)
	ar.cause = err
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, keyvalue.ErrTooLarge):
		return true, err
	case errors.Is(err, keyvalue.ErrConflict):
		return false, nil // another write was first: merge with it
	case errors.Is(err, keyvalue.ErrUnavailable):
		return ar.pending == noPendingWrite, err
	default:
		ar.pending = expected // may have taken effect, or may take effect later
		return false, nil
	}
}

// readWithin reads with a timeout: a connection that hangs must not block an
// operator's command forever.
func (st *Store) readWithin(ctx context.Context, timeout time.Duration) (VersionedDocument, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	vd, err := st.Read(limited)
	if err != nil && limited.Err() != nil {
		return vd, errors.Mark(err, keyvalue.ErrUnavailable)
	}
	return vd, err
}

// sleep waits and reports whether the full time passed.
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
