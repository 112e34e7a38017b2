package profile

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
)

// Reconcile compares what a process holds with what the service holds and
// returns the document to be in force. It writes only if the service lacks
// changes that were accepted before.
//
// A service restored from a copy shows an older revision, and operators may
// have written on top of it before anyone looked. Following its revision alone
// would revert accepted changes, or drop the new ones. One would notice it by
// a change that the history of another process shows and the service doesn't.
// So the lineage decides, by change ids: an ancestor is replaced by what is
// held, and a branch is merged with it at a higher revision. The write is by
// compare-and-swap over the version that was read, so that a lagging read,
// whose version is outdated, writes nothing.
func (st *Store) Reconcile(ctx context.Context, held Document, sd VersionedDocument) (Document, error) {
	if sd.Document.descendsFrom(held) {
		return sd.Document, nil
	}
	merged := held
	if !held.descendsFrom(sd.Document) {
		merged = held.join(sd.Document)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := st.put(ctx, merged, sd.Version); err != nil {
		return held, errors.Wrapf(err, "put revision %d back", merged.revision)
	}
	return merged, nil
}

// descendsFrom tells whether a document came from another by further changes:
// whether it has all changes of the other, as far back as its record goes. The
// last change alone would not do, since a join of two branches ends with a
// change that one of them has as well.
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

// join adds another branch's changes to the document. Where both changed a
// profile, the branch counts: it was accepted by the service last.
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

// replay adds one change of a branch. A profile is taken as the branch holds
// it, unless a change that both have came after; so no text is in force that
// the branch has given up.
func (do Document) replay(ch Change, trunk, branch Document) Document {
	profiles := slices.Clone(do.profiles)
	var touched []ChangedProfile
	for _, to := range ch.touched {
		if _, shared := trunk.Change(branch.lastChange(to.Name).id); !shared {
			profiles = slices.DeleteFunc(profiles, func(pr Profile) bool { return pr.name == to.Name })
			if pr, ok := branch.Profile(to.Name); ok {
				profiles = append(profiles, pr)
			}
		}
		touched = append(touched, ChangedProfile{
			After:  digestIn(profiles, to.Name),
			Before: digestIn(do.profiles, to.Name),
			Name:   to.Name,
		})
	}
	ch.touched = touched
	return do.next(profiles, ch)
}

// lastChange returns the latest recorded change to a profile.
func (do Document) lastChange(name string) Change {
	for _, ch := range slices.Backward(do.changes) {
		for _, to := range ch.touched {
			if to.Name == name {
				return ch
			}
		}
	}
	return Change{}
}
