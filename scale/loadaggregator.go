package scale

import (
	"maps"
	"sync"
	"time"
)

// Timing and quorum of the entries' reports.
const (
	// freshTTL is how long a report is fresh: three intervals of reports, to tolerate a lost
	// one.
	freshTTL = 1500 * time.Millisecond
	// entryTTL is the time without a report after which an entry is removed. Entries that are
	// only cut off from the holder keep serving callers.
	entryTTL = time.Minute
	// minReporting is the minimum share of entries with a fresh report. The others count with
	// their last report.
	minReporting = 0.75
)

// A LoadAggregator aggregates the loads of plain services that entries report. The zero value is
// empty and ready to use. It is safe for concurrent use.
//
// The load of a service is spread over all entries. If many of them are cut off from the holder, it
// appears lower than it is, and services would be scaled down. So the load is unknown unless enough
// entries have a fresh report.
type LoadAggregator struct {
	startedAt time.Time // of the holder's term
	expected  int       // entries known to the previous holder
	mu        sync.Mutex
	reports   map[string]report // by instance
}

// A report is the last report of an entry.
type report struct {
	at           time.Time
	observations map[string]Observation // by service
}

// Begin starts a holder's term. Expected is the number of entries known to the previous holder, some
// of which may be cut off from this one.
func (la *LoadAggregator) Begin(expected int, now time.Time) {
	la.mu.Lock()
	defer la.mu.Unlock()
	la.startedAt, la.expected = now, expected
}

// Report sets the report of an entry. Entries are identified by instance, which a restart keeps, so
// that a restarted one isn't counted twice.
func (la *LoadAggregator) Report(instance string, observations map[string]Observation, now time.Time) {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.reports == nil {
		la.reports = map[string]report{}
	}
	la.reports[instance] = report{at: now, observations: observations}
}

// EntryCount returns the number of known entries.
func (la *LoadAggregator) EntryCount(now time.Time) int {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.count(now)
}

// count removes expired entries and returns the number of the others, but at least the expected ones
// during the first entryTTL of the term. The lock is held.
func (la *LoadAggregator) count(now time.Time) int {
	maps.DeleteFunc(la.reports, func(_ string, re report) bool { return now.Sub(re.at) >= entryTTL })
	if now.Sub(la.startedAt) < entryTTL {
		return max(len(la.reports), la.expected)
	}
	return len(la.reports)
}

// Reporting returns the number of entries with a fresh report.
func (la *LoadAggregator) Reporting(now time.Time) int {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.countFresh(now)
}

// countFresh returns the number of entries with a fresh report. The lock is held.
func (la *LoadAggregator) countFresh(now time.Time) int {
	fresh := 0
	for _, re := range la.reports {
		if now.Sub(re.at) < freshTTL {
			fresh++
		}
	}
	return fresh
}

// Loads returns the load by service, and whether it is known: enough entries have a fresh report, and
// the term has lasted long enough for all to report.
func (la *LoadAggregator) Loads(now time.Time) (loads map[string]Load, known bool) {
	la.mu.Lock()
	defer la.mu.Unlock()
	all, fresh := la.count(now), la.countFresh(now)
	known = fresh > 0 && float64(fresh) >= minReporting*float64(all) && now.Sub(la.startedAt) >= freshTTL
	loads = map[string]Load{}
	for _, re := range la.reports {
		for service, ob := range re.observations {
			loads[service] = loads[service].Add(ob)
		}
	}
	return loads, known
}
