package directory

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
)

// Holds returns the operators' holds, or nil before they are known. They stay in force while
// the key-value service is unavailable.
func (di *Directory) Holds() *hold.Set {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.holds
}

// SetHolds replaces the holds if the new set has a higher version, and reports whether it did.
func (di *Directory) SetHolds(se *hold.Set) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	if se == nil || di.holds != nil && se.Version() <= di.holds.Version() {
		return false
	}
	di.replaceHolds(se.After(di.holds))
	return true
}

// restoreHolds replaces the holds with an older set, and reports whether it did. Known is the
// set that was in force when the older one was requested from the key-value service; if it has
// been replaced since, nothing changes.
//
// After a restore of the service from an older backup, later holds would otherwise stay in
// force until its revision is as high again. An older set is accepted only from the service
// itself, as one from another process may be stale.
func (di *Directory) restoreHolds(se, known *hold.Set) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	if known == nil || di.holds != known || se.Version() >= known.Version() {
		return false
	}
	di.replaceHolds(se.AsRestored(known))
	return true
}

// replaceHolds replaces the holds and drops the cached lists of endpoints, which depend on
// them. The lock is held.
func (di *Directory) replaceHolds(se *hold.Set) {
	di.holds = se
	di.endpoints.clearLists()
	di.changed.Notify()
}

// ReadHolds reads the holds from the key-value service and puts them in force, even if they are
// older than the current ones. It returns the new set, or nil if nothing changed.
func (di *Directory) ReadHolds(ctx context.Context, st *hold.Store) (*hold.Set, error) {
	known := di.Holds()
	se, err := st.Read(ctx)
	if err != nil {
		return nil, err
	}
	if se.Version() > 0 && di.SetHolds(se) || di.restoreHolds(se, known) {
		return di.Holds(), nil
	}
	return nil, nil //nolint:nilnil // nothing changed
}

// drained returns an endpoint, marked as leaving if an operator drains it. The lock is held.
func (di *Directory) drained(en Endpoint) Endpoint {
	if _, ok := di.holds.Endpoint(en.ID, en.Address); ok {
		en.Leaving = true
	}
	return en
}

// entry returns an endpoint as in its entry, without the effect of holds.
func (di *Directory) entry(id string) (Endpoint, bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.endpoints.get(id)
}

// entries returns the endpoints as in their entries, without the effect of holds, for a process
// that gets the holds too and applies them itself, and their generation.
func (di *Directory) entries() ([]Endpoint, uint64) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return sortedEndpoints(di.endpoints.byID, ""), di.changes.generation()
}

// applyHolds applies the holds if they are among the items. Full means that the items are a
// complete listing, so that there are no holds if they are missing.
func (fo *Follower) applyHolds(ctx context.Context, its []keyvalue.Item, full bool) {
	var version int64
	for _, it := range its {
		if it.Key != hold.Key || it.Value == nil {
			continue
		}
		version = it.Version
		se, err := hold.Decode(it)
		if err != nil {
			fo.logUndecodable(err)
			continue
		}
		fo.setHolds("key-value", se)
	}
	if full {
		fo.checkHolds(ctx, version)
	}
}

func (fo *Follower) logUndecodable(err error) {
	fo.Log.WithError(err).Error("cannot decode holds, keeping the current ones")
}

// setHolds puts holds in force if they are newer, and logs them.
func (fo *Follower) setHolds(from string, se *hold.Set) {
	if fo.Directory.SetHolds(se) {
		fo.logHolds(from, se)
	}
}

func (fo *Follower) logHolds(from string, se *hold.Set) {
	fields := logrus.Fields{"from": from, revisionField: se.Version()}
	for _, ki := range hold.Kinds {
		fields[string(ki)+"s"] = se.Count(ki)
	}
	if chs := se.Changes(); len(chs) > 0 {
		last := chs[len(chs)-1]
		fields["action"], fields["by"], fields["of"], fields["why"] = last.Action, last.By, last.String(), last.Why
	}
	fo.Log.WithFields(fields).Info("holds")
}

// checkHolds reads the holds from the key-value service if another source has an older version
// than this process, or none (0): the service may have been restored from a backup.
func (fo *Follower) checkHolds(ctx context.Context, version int64) {
	if version < fo.Directory.Holds().Version() {
		fo.readHolds(ctx)
	}
}

// readHolds reads the holds from the key-value service. On an error the current ones stay in
// force.
func (fo *Follower) readHolds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	before := fo.Directory.Holds().Version()
	se, err := fo.Directory.ReadHolds(ctx, &hold.Store{Client: fo.Client})
	fo.recordContact(err)
	switch {
	case errors.Is(err, hold.ErrUndecodable):
		fo.logUndecodable(err)
	case err != nil:
		fo.Log.WithError(err).Warn("cannot read holds")
	case se != nil:
		if se.Version() < before {
			fo.Log.WithFields(logrus.Fields{"before": before, revisionField: se.Version()}).Warn("holds went back with the key-value service")
		}
		fo.logHolds("key-value", se)
	}
}
