package directory

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// maxEntry bounds an endpoint's entry, in bytes: some 300 and 60 for each model.
const maxEntry = 64 << 10

var errLargeEntry = errors.New("entry is too large")

// entries are those that name no endpoint, by key, and the version of each that
// was logged. The zero entries is empty and ready to use.
//
// While a process is not fed it reads all entries twice a second. One line for
// each reading would fill the log with a fault that is not ours.
type entries struct {
	mu       sync.Mutex
	versions map[string]int64
}

// add takes an entry in, and returns whether it is a new one.
func (es *entries) add(it keyvalue.Item) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.versions == nil {
		es.versions = map[string]int64{}
	}
	version, known := es.versions[it.Key]
	es.versions[it.Key] = it.Version
	return !known || version != it.Version
}

// remove takes out an entry that names an endpoint, or is gone.
func (es *entries) remove(key string) {
	es.mu.Lock()
	defer es.mu.Unlock()
	delete(es.versions, key)
}

// keepOnly takes out all that a whole listing does not hold.
func (es *entries) keepOnly(its []keyvalue.Item) {
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

// count returns how many there are.
func (es *entries) count() int {
	es.mu.Lock()
	defer es.mu.Unlock()
	return len(es.versions)
}

// Unusable returns how many entries name no endpoint.
func (fo *Follower) Unusable() int { return fo.unusable.count() }

// noteUnusable reports whether an entry names no endpoint, as err says, and logs
// it once.
func (fo *Follower) noteUnusable(it keyvalue.Item, err error) bool {
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
