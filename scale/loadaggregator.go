package scale

import (
	"maps"
	"sync"
	"time"
)

// Times of what entries tell.
const (
	// freshFor is for how long what an entry told counts as what it sees: three times as
	// long as from one telling to the next, so that one lost call makes no entry silent.
	freshFor = 1500 * time.Millisecond
	// goneAfter is when an entry that tells nothing counts as gone. Entries that are cut
	// off from the holder alone go on serving callers, and such cuts last for seconds.
	goneAfter = time.Minute
	// toldPart is the least part of the entries that must have told within freshFor. The
	// rest count with what they told last, which may no longer be true.
	toldPart = 0.75
)

// A LoadAggregator holds what entries tell of plain services, and says whether enough of them
// have told for their load to be known. The zero LoadAggregator is empty and ready to use.
//
// Load pattern: the load of a service is spread over all entries. With half of them cut
// off from the holder it looks like half, and endpoints would be given away that are
// needed. So nothing is decided then; a few that are silent count with what they told
// last.
type LoadAggregator struct {
	begunAt  time.Time // of the tenure
	expected int       // entries that the holder before knew
	mu       sync.Mutex
	told     map[string]told // by instance
}

// A told is what an entry told last, and when.
type told struct {
	at   time.Time
	seen map[string]Observation // by service
}

// Begin begins a tenure. Expected is how many entries the holder before knew: some of
// them may not reach this one.
func (ce *LoadAggregator) Begin(expected int, now time.Time) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	ce.begunAt, ce.expected = now, expected
}

// Report takes in what an entry has seen. Entries are known by their instance, which stays
// the same over a restart, so that one that starts anew isn't counted twice.
func (ce *LoadAggregator) Report(instance string, seen map[string]Observation, now time.Time) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	if ce.told == nil {
		ce.told = map[string]told{}
	}
	ce.told[instance] = told{at: now, seen: seen}
}

// EntryCount returns how many entries there are, as far as it is known.
func (ce *LoadAggregator) EntryCount(now time.Time) int {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	return ce.count(now)
}

// count drops the entries that are gone, and counts the others. Until those that the
// holder before knew would have been dropped, it counts at least as many. The lock is held.
func (ce *LoadAggregator) count(now time.Time) int {
	maps.DeleteFunc(ce.told, func(_ string, to told) bool { return now.Sub(to.at) >= goneAfter })
	if now.Sub(ce.begunAt) < goneAfter {
		return max(len(ce.told), ce.expected)
	}
	return len(ce.told)
}

// Reporting returns how many entries have told lately.
func (ce *LoadAggregator) Reporting(now time.Time) int {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	return ce.countFresh(now)
}

// countFresh counts the entries that have told within freshFor. The lock is held.
func (ce *LoadAggregator) countFresh(now time.Time) int {
	fresh := 0
	for _, to := range ce.told {
		if now.Sub(to.at) < freshFor {
			fresh++
		}
	}
	return fresh
}

// Loads returns the load of each service that entries tell of, and whether it is known:
// whether enough of them have told lately, and all have had the time to.
func (ce *LoadAggregator) Loads(now time.Time) (loads map[string]Load, known bool) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	all, fresh := ce.count(now), ce.countFresh(now)
	known = fresh > 0 && float64(fresh) >= toldPart*float64(all) && now.Sub(ce.begunAt) >= freshFor
	loads = map[string]Load{}
	for _, to := range ce.told {
		for service, se := range to.seen {
			loads[service] = loads[service].Add(se)
		}
	}
	return loads, known
}
