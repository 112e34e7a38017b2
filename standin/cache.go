package standin

import (
	"container/list"
	"time"

	"wisteriacroft/engine"
)

// maxEvents is how many cache events an engine keeps.
const maxEvents = 1000

// A timedEvent is a cache event and the time from which readers see it.
type timedEvent struct {
	event     engine.CacheEvent
	visibleAt time.Time
}

// A prefixCache holds the most recently used prompt prefixes.
type prefixCache struct {
	events   []timedEvent
	gap      int           // every gap-th event is lost; 0: none
	lag      time.Duration // until an event is visible
	limit    int           // in prefixes
	order    *list.List    // of prefixes, most recently used first
	elements map[string]*list.Element
	sequence uint64
}

func newPrefixCache(row EndpointRow) prefixCache {
	return prefixCache{
		gap:      row.CacheEventGap,
		lag:      time.Duration(row.CacheEventLag),
		limit:    row.CacheMemory,
		order:    list.New(),
		elements: map[string]*list.Element{},
	}
}

// use stores a prefix and reports whether it was already cached.
func (pc *prefixCache) use(prefix string, now time.Time) bool {
	if place, ok := pc.elements[prefix]; ok {
		pc.order.MoveToFront(place)
		return true
	}
	pc.elements[prefix] = pc.order.PushFront(prefix)
	pc.record(prefix, true, now)
	for pc.order.Len() > pc.limit {
		oldest := pc.order.Back()
		pc.order.Remove(oldest)
		evicted, _ := oldest.Value.(string)
		delete(pc.elements, evicted)
		pc.record(evicted, false, now)
	}
	return false
}

// record appends an event, except every gap-th one.
func (pc *prefixCache) record(prefix string, stored bool, now time.Time) {
	pc.sequence++
	if pc.gap > 0 && pc.sequence%uint64(pc.gap) == 0 {
		return
	}
	pc.events = append(pc.events, timedEvent{
		event:     engine.CacheEvent{Prefix: prefix, Sequence: pc.sequence, Stored: stored},
		visibleAt: now.Add(pc.lag),
	})
	if len(pc.events) > maxEvents {
		pc.events = pc.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that are visible by now.
func (pc *prefixCache) eventsAfter(sequence uint64, now time.Time) []engine.CacheEvent {
	evs := []engine.CacheEvent{}
	for _, te := range pc.events {
		if te.event.Sequence > sequence && !now.Before(te.visibleAt) {
			evs = append(evs, te.event)
		}
	}
	return evs
}
