package directory

import (
	"maps"
	"slices"
	"time"

	"wisteriacroft/keyvalue"
)

const (
	// reregisterGrace is how long after the return of the key-value service an endpoint whose entry is missing is
	// still used: the 2 s within which endpoints register again, and the delay until their entries are read.
	reregisterGrace = 2500 * time.Millisecond
	// minOutage is the shortest time without the key-value service after which entries may have
	// expired for lack of heartbeats. A failed call that is retried at once is not an outage.
	minOutage = 2 * time.Second
)

// An outage is the last time in which the key-value service was away for so long that entries may have
// expired for lack of heartbeats. The zero value means that there was none.
type outage struct {
	returnedAt time.Time
	version    int64 // of the first state of the endpoints that was read after the return; 0 if unknown
}

// left returns the rest of the time in which endpoints register again; 0 if it is over. Time in which the instance was suspended counts.
func (ou outage) left(now time.Time) time.Duration {
	if ou.returnedAt.IsZero() {
		return 0
	}
	return max(0, reregisterGrace-elapsed(ou.returnedAt, now))
}

// mayHaveExpired reports whether an entry that is missing may have expired, so that its endpoint may be alive and register again.
//
// An entry expires without heartbeats, in the outage or shortly after it. One that was written since the return did not: its
// endpoint reached the service, and has left.
func (ou outage) mayHaveExpired(en Endpoint, now time.Time) bool {
	writtenSince := ou.version != 0 && en.Revision > ou.version
	return ou.left(now) > 0 && !writtenSince
}

// RecordOutage records an outage that this process has noticed, and the version of the state of the endpoints that it has read
// after it. It returns the length of the outage if entries may have expired in it. One that is known already, or in which no call has
// failed since the endpoints were last confirmed, has no effect.
//
// An outage that is too short for entries to expire, but falls into the time in which endpoints register, prolongs that by its length.
func (di *Directory) RecordOutage(ke keyvalue.Outage, version int64) (time.Duration, bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	confirmedAt := di.confirmedAt[TopicEndpoints]
	if !ke.To.After(di.outageSeen) || !ke.Failure.After(confirmedAt) {
		return 0, false
	}
	di.outageSeen = ke.To
	from := ke.From
	if confirmedAt.After(from) {
		from = confirmedAt
	}
	length := ke.To.Sub(from)
	if length >= minOutage {
		di.outage = outage{returnedAt: ke.To, version: version}
		return length, true
	}
	if di.outage.left(ke.To) > 0 {
		di.outage.returnedAt = di.outage.returnedAt.Add(length)
	}
	return 0, false
}

// registrations returns how long ago the key-value service has returned, and the version of the first state since, while endpoints
// may register again after an outage; zeros otherwise.
func (di *Directory) registrations(now time.Time) (time.Duration, int64) {
	di.mu.RLock()
	defer di.mu.RUnlock()
	left := di.outage.left(now)
	if left == 0 {
		return 0, 0
	}
	return reregisterGrace - left, di.outage.version
}

// learnReturn records the end of the outage that a feeder tells. The feeder's endpoints are those that it has kept since, so
// that its word counts and not what this process has noticed.
func (di *Directory) learnReturn(returnedAt time.Time, version int64) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.outage = outage{returnedAt: returnedAt, version: version}
}

// SetUnavailable records whether the key-value service is unavailable for endpoints. While it is, none is dropped by Expire, as none
// can register again.
func (di *Directory) SetUnavailable(unavailable bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.unavailable = unavailable
}

// RemoveEndpoint removes an endpoint whose entry was removed, and returns what became of it.
//
// Entries also expire during an outage of the key-value service, and endpoints register again
// after it. To keep serving requests meanwhile, endpoints whose entries may have expired are kept
// until the time to register again is over.
func (di *Directory) RemoveEndpoint(id string, now time.Time) Removal {
	di.mu.Lock()
	defer di.mu.Unlock()
	re := Removal{id: id, returnedAt: di.outage.returnedAt}
	en, known := di.endpoints.get(id)
	if !known || !di.outage.mayHaveExpired(en, now) {
		di.drop(id)
		return re
	}
	if di.missing == nil {
		di.missing = map[string]bool{}
	}
	di.missing[id] = true
	re.kept = di.outage.left(now)
	return re
}

// Drop removes an endpoint that can't be used any more.
func (di *Directory) Drop(id string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.drop(id)
}

// Expire removes the endpoints that did not register again in time after an outage. It returns
// their IDs.
func (di *Directory) Expire(now time.Time) []string {
	di.mu.Lock()
	defer di.mu.Unlock()
	if di.unavailable || di.outage.left(now) > 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(di.missing))
	for _, id := range ids {
		di.drop(id)
	}
	return ids
}

// isMissing reports whether an endpoint is kept though its entry was removed.
func (di *Directory) isMissing(id string) bool {
	di.mu.RLock()
	defer di.mu.RUnlock()
	return di.missing[id]
}
