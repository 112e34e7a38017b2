package directory

import (
	"wisteriacroft/hold"
)

// A feedState identifies what a feeder sends. Equal states have equal content.
type feedState struct {
	configuration *Configuration
	generation    uint64
	held          uint64 // generation of the quarantined requests
	holds         *hold.Set
	revision      uint64
	standbys      string // see standbyList.joined
}

// differences are changes of endpoints up to a generation.
type differences struct {
	changed    []Endpoint // without the effect of holds
	generation uint64
	removed    []string // IDs
	total      int      // endpoints after the changes
}

// Changed returns a channel that is closed at the next change of the endpoints, the configuration or
// the holds. Versions of weights don't count.
func (di *Directory) Changed() <-chan struct{} { return di.changed.Changed() }

// feedState returns the current state.
func (di *Directory) feedState() feedState {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return feedState{configuration: di.configuration, generation: di.changes.generation(), holds: di.holds, revision: di.revision}
}

// coversChanges reports whether all changes of endpoints since a generation are known.
func (di *Directory) coversChanges(generation uint64) bool {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.changes.covers(generation)
}

// differences returns what changed since a generation: the current entries of changed endpoints, and
// the IDs of removed ones. It returns false if not all changes are known.
func (di *Directory) differences(since uint64) (differences, bool) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	ids, ok := di.changes.since(since)
	df := differences{generation: di.changes.generation(), total: len(di.endpoints.byID)}
	for _, id := range ids {
		if en, present := di.endpoints.get(id); present {
			df.changed = append(df.changed, en)
		} else {
			df.removed = append(df.removed, id)
		}
	}
	return df, ok
}

// applyDifferences applies a feeder's differences. It returns false, and changes nothing, if the
// result would have another number of endpoints than the feeder: the two have diverged.
func (di *Directory) applyDifferences(df differences) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	total := len(di.endpoints.byID)
	for _, en := range df.changed {
		if _, known := di.endpoints.get(en.ID); !known {
			total++
		}
	}
	for _, id := range df.removed {
		if _, known := di.endpoints.get(id); known {
			total--
		}
	}
	if total != df.total {
		return false
	}
	for _, en := range df.changed {
		di.endpoints.set(di.newest(en))
		di.revision++
		di.recordChange(en.ID)
		delete(di.missing, en.ID)
	}
	for _, id := range df.removed {
		di.drop(id)
	}
	return true
}

// newest returns an endpoint of a feeder, or the known one if the feeder does not have that endpoint's
// new incarnation yet. The lock is held.
func (di *Directory) newest(en Endpoint) Endpoint {
	old, _ := di.endpoints.get(en.ID)
	if old.Incarnation.Supersedes(en.Incarnation) {
		en = old
	}
	en.Incarnation = max(en.Incarnation, old.Incarnation)
	return en
}

// recordChange records a change of an endpoint. The lock is held.
func (di *Directory) recordChange(id string) {
	di.changes.add(id, len(di.endpoints.byID))
	di.changed.Notify()
}
