package profile

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
)

// Reconcile compares the document of a process with the stored one and returns
// the document to put in force. It writes only if the service lacks changes that
// were accepted before.
//
// A service restored from a backup returns an older revision, and operators may
// already have changed that one. Comparing revisions alone would lose accepted
// changes, so the recorded change ids decide: an ancestor is replaced by held,
// and a branch is merged with held at a higher revision. The write is a
// compare-and-swap over the version that was read: after a stale read, it writes
// nothing.
func (st *Store) Reconcile(ctx context.Context, held Document, vd VersionedDocument) (Document, error) {
	if vd.Document.descendsFrom(held) {
		return vd.Document, nil
	}
	merged := held
	if !held.descendsFrom(vd.Document) {
		merged = held.join(vd.Document)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := st.put(ctx, merged, vd.Version); err != nil {
		return held, errors.Wrapf(err, "restore revision %d", merged.revision)
	}
	return merged, nil
}

// descendsFrom reports whether a document has all changes of another one, as far
// back as its recorded changes go. Comparing the last change is not enough: a
// merge of two branches ends with a change that one of them has too.
func (do Document) descendsFrom(other Document) bool {
	if other.revision > do.revision {
		return false
	}
	if len(do.changes) == 0 {
		return true
	}
	oldest := do.changes[0].revision
	for _, ch := range other.changes {
		if _, ok := do.Change(ch.id); !ok && ch.revision >= oldest {
			return false
		}
	}
	return true
}

// join adds another branch's changes to the document. If both changed a profile,
// the branch wins: the service accepted it last.
func (do Document) join(branch Document) Document {
	joined := do
	joined.revision = max(do.revision, branch.revision)
	for _, ch := range branch.changes {
		if _, ok := do.Change(ch.id); !ok {
			joined = joined.replay(ch, do, branch)
		}
	}
	return joined
}

// replay adds one change of a branch. It uses the branch's latest text of each
// profile, since a later change may have replaced the text of ch. If the trunk also
// has that later change, it keeps the trunk's text.
func (do Document) replay(ch Change, trunk, branch Document) Document {
	profiles := slices.Clone(do.profiles)
	var touched []ChangedProfile
	for _, cp := range ch.changed {
		if _, shared := trunk.Change(branch.lastChange(cp.Name).id); !shared {
			profiles = slices.DeleteFunc(profiles, func(pr Profile) bool { return pr.name == cp.Name })
			if pr, ok := branch.Profile(cp.Name); ok {
				profiles = append(profiles, pr)
			}
		}
		touched = append(touched, ChangedProfile{
			After:  digestIn(profiles, cp.Name),
			Before: digestIn(do.profiles, cp.Name),
			Name:   cp.Name,
		})
	}
	ch.changed = touched
	return do.next(profiles, ch)
}

// lastChange returns the latest recorded change to a profile.
func (do Document) lastChange(name string) Change {
	for _, ch := range slices.Backward(do.changes) {
		for _, cp := range ch.changed {
			if cp.Name == name {
				return ch
			}
		}
	}
	return Change{}
}
