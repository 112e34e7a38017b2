package directory

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
)

// Holds returns what operators hold back, or nil before it is known. It is kept while
// the key-value service is away.
func (di *Directory) Holds() *hold.Set {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.holds
}

// SetHolds puts a sheet in force unless a newer one is. It returns whether it did.
func (di *Directory) SetHolds(sh *hold.Set) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	if sh == nil || di.holds != nil && sh.Version() <= di.holds.Version() {
		return false
	}
	di.putHolds(sh.After(di.holds))
	return true
}

// restoreHolds puts a sheet in force that is older than the one that is. Known is the sheet
// that was in force when the key-value service was asked; its answer counts only if that
// one still is. It returns whether the sheet is in force now.
//
// Symptom without it: operators restore the service from an older copy, its revision goes
// back, and what was held after the copy stays held until the revision is as high again.
// A lower version from another process may just be late. But the service's own answer, asked
// for after the higher one was known, is what lasts.
func (di *Directory) restoreHolds(sh, known *hold.Set) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	if known == nil || di.holds != known || sh.Version() >= known.Version() {
		return false
	}
	di.putHolds(sh.AsRestored(known))
	return true
}

// putHolds replaces the sheet, and the lists of endpoints, which say who drains. The lock is
// held.
func (di *Directory) putHolds(sh *hold.Set) {
	di.holds = sh
	di.endpoints.forgetLists()
}

// ReadHolds reads what operators hold from the key-value service itself and puts it in
// force, also if it is older than what is known. It returns the sheet that it put in force,
// nil if it put none.
func (di *Directory) ReadHolds(ctx context.Context, ke *hold.Store) (*hold.Set, error) {
	known := di.Holds()
	sh, err := ke.Read(ctx)
	if err != nil {
		return nil, err
	}
	if sh.Version() > 0 && di.SetHolds(sh) || di.restoreHolds(sh, known) {
		return di.Holds(), nil
	}
	return nil, nil //nolint:nilnil // there is nothing new
}

// drained returns an endpoint as one that leaves if an operator drains it.
func (di *Directory) drained(en Endpoint) Endpoint {
	if _, ok := di.holds.Endpoint(en.ID, en.Address); ok {
		en.Leaving = true
	}
	return en
}

// entry returns an endpoint as its entry names it, drained or not.
func (di *Directory) entry(id string) (Endpoint, bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.endpoints.get(id)
}

// entries returns the endpoints as their entries name them, for a process that gets the
// holds besides and applies them itself.
func (di *Directory) entries() []Endpoint {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return sortedEndpoints(di.endpoints.byID, "")
}

// applyHolds takes in the sheet if it is among items of the key-value service. Whole means
// that these are all items, so that without the sheet there is none.
func (fo *Follower) applyHolds(ctx context.Context, its []keyvalue.Item, whole bool) {
	var version int64
	for _, it := range its {
		if it.Key != hold.Key || it.Value == nil {
			continue
		}
		version = it.Version
		sh, err := hold.Decode(it)
		if err != nil {
			fo.logUndecodable(err)
			continue
		}
		fo.takeHolds("key-value", sh)
	}
	if whole {
		fo.doubtHolds(ctx, version)
	}
}

func (fo *Follower) logUndecodable(err error) {
	fo.Log.WithError(err).Error("holds do not decode, those known stay")
}

// takeHolds puts a sheet in force and logs it.
func (fo *Follower) takeHolds(from string, sh *hold.Set) {
	if fo.Directory.SetHolds(sh) {
		fo.logHolds(from, sh)
	}
}

func (fo *Follower) logHolds(from string, sh *hold.Set) {
	fields := logrus.Fields{"from": from, revisionField: sh.Version()}
	for _, ki := range hold.Kinds {
		fields[string(ki)+"s"] = sh.Count(ki)
	}
	if chs := sh.Changes(); len(chs) > 0 {
		last := chs[len(chs)-1]
		fields["action"], fields["by"], fields["of"], fields["why"] = last.Action, last.By, last.String(), last.Why
	}
	fo.Log.WithFields(fields).Info("holds")
}

// doubtHolds asks the key-value service itself for the holds if another source gave an older
// version than this process knows, or none (0): the service may have been restored.
func (fo *Follower) doubtHolds(ctx context.Context, version int64) {
	if version < fo.Directory.Holds().Version() {
		fo.readHolds(ctx)
	}
}

// readHolds asks the key-value service itself for the holds. Those that are known stay in
// force until it answers.
func (fo *Follower) readHolds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	before := fo.Directory.Holds().Version()
	sh, err := fo.Directory.ReadHolds(ctx, &hold.Store{Client: fo.Client})
	fo.hear(err)
	switch {
	case errors.Is(err, hold.ErrUndecodable):
		fo.logUndecodable(err)
	case err != nil:
		fo.Log.WithError(err).Warn("holds can't be read")
	case sh != nil:
		if sh.Version() < before {
			fo.Log.WithFields(logrus.Fields{"before": before, revisionField: sh.Version()}).Warn("holds went back with the key-value service")
		}
		fo.logHolds("key-value", sh)
	}
}
