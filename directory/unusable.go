package directory

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// maxEntry bounds an endpoint's entry, in bytes.
const maxEntry = 64 << 10

var errLargeEntry = errors.New("entry too large")

// unusableEntries holds the keys of the entries that don't describe a valid endpoint, and the
// version of each that was logged. The zero value is empty and ready to use.
//
// A process without a feeder reads all entries twice a second. Logging an entry at each read
// would flood the log.
type unusableEntries struct {
	mu       sync.Mutex
	versions map[string]int64
}

// add records an entry, and reports whether it or its version is new.
func (es *unusableEntries) add(it keyvalue.Item) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.versions == nil {
		es.versions = map[string]int64{}
	}
	version, known := es.versions[it.Key]
	es.versions[it.Key] = it.Version
	return !known || version != it.Version
}

// remove removes an entry that is valid now or was deleted.
func (es *unusableEntries) remove(key string) {
	es.mu.Lock()
	defer es.mu.Unlock()
	delete(es.versions, key)
}

// retain removes all entries that are missing from a complete listing.
func (es *unusableEntries) retain(its []keyvalue.Item) {
	es.mu.Lock()
	defer es.mu.Unlock()
	present := map[string]bool{}
	for _, it := range its {
		present[it.Key] = true
	}
	for key := range es.versions {
		if !present[key] {
			delete(es.versions, key)
		}
	}
}

// count returns the number of unusable entries.
func (es *unusableEntries) count() int {
	es.mu.Lock()
	defer es.mu.Unlock()
	return len(es.versions)
}

// Unusable returns the number of entries that don't describe a valid endpoint.
func (fo *Follower) Unusable() int { return fo.unusable.count() }

// isUnusable reports whether an entry is unusable, given the error of decoding it, and logs it
// once for each version.
func (fo *Follower) isUnusable(it keyvalue.Item, err error) bool {
	if err == nil {
		fo.unusable.remove(it.Key)
		return false
	}
	if fo.unusable.add(it) {
		fo.Log.WithError(err).WithFields(logrus.Fields{
			"bytes": len(it.Value), "key": it.Key, revisionField: it.Version,
		}).Error("entry names no endpoint")
	}
	return true
}
