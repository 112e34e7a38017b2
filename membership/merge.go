package membership

import "time"

// An urgency is the priority of an update under the rate limit.
type urgency int

const (
	low    urgency = iota // a load: sent while more than the reserved tokens are left
	normal                // other changes: sent while tokens are left
	urgent                // a leaving attendant: sent at once
)

// newer reports whether a replaces b, both of the same incarnation.
func newer(a, b *StateUpdate) bool {
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.Doubt > b.Doubt
}

// merge merges an update that came via an entry, or from the attendant itself (via ""). It
// returns the row, and whether its attendant is leaving now but was not before.
//
// Messages may be reordered, and messages of a previous incarnation may arrive late. To keep
// endpoints of a dead process from returning, only a higher incarnation or, within one, a later
// heartbeat replaces the state, and leaving is permanent within an incarnation.
func (ta *Table) merge(up StateUpdate, via string, now time.Time) (ro *row, left bool) {
	ro, ok := ta.rows.get(up.Instance)
	if !ok {
		ro = &row{}
		ta.rows.set(up.Instance, ro)
	}
	switch {
	case !ok || up.Incarnation > ro.state.Incarnation:
		*ro = row{endpoints: ro.endpoints, lastSeen: now, state: up, via: via}
		left = up.Leaving
	case up.Incarnation < ro.state.Incarnation:
		ta.stale++
		return ro, false
	default:
		left = up.Leaving && !ro.state.Leaving
		ro.update(up, via, now)
	}
	if up.Card != nil {
		ro.descriptor, ro.hasDescriptor = *up.Card, true
	}
	ro.state.Card = nil
	if in, listed := ta.listed[up.Instance]; listed && isLeaving(in) && !ro.state.Leaving {
		ro.state.Leaving = true
		left = true
	}
	if ro.state.Doubt == Gone && ro.removedAt.IsZero() {
		ro.removedAt = now
	}
	ta.refresh(ro)
	return ro, left
}

// update merges an update of the row's current incarnation.
func (ro *row) update(up StateUpdate, via string, now time.Time) {
	leaving := ro.state.Leaving || up.Leaving
	if newer(&up, &ro.state) {
		if up.Beat > ro.state.Beat {
			ro.lastSeen, ro.via = now, via
		}
		ro.state = up
		if up.Doubt != Gone {
			ro.removedAt = time.Time{}
		}
	}
	ro.state.Leaving = leaving
}
