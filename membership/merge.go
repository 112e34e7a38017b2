package membership

import "time"

// An urgency says for how long news may wait.
type urgency int

const (
	rough  urgency = iota // a load: while much of the rate is left
	waits                 // a change: while the rate allows, and in turn
	urgent                // who leaves: not at all
)

// newer reports whether a replaces b, both of the same incarnation.
func newer(a, b *StateUpdate) bool {
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.Doubt > b.Doubt
}

// merge takes news that came through an entry, or from the attendant itself
// (via ""). It returns the row, and whether it is from now on that it leaves.
//
// Messages overtake each other, and a restarted attendant's earlier self may
// still speak: its late word would put a dead process's endpoints back into
// service. Only a higher incarnation replaces an incarnation, only a later
// beat a beat, and leaving is never taken back within one.
func (ta *Table) merge(ne StateUpdate, via string, now time.Time) (ro *row, left bool) {
	ro, ok := ta.rows.get(ne.Instance)
	if !ok {
		ro = &row{}
		ta.rows.set(ne.Instance, ro)
	}
	switch {
	case !ok || ne.Incarnation > ro.news.Incarnation:
		*ro = row{endpoints: ro.endpoints, heard: now, news: ne, via: via}
		left = ne.Leaving
	case ne.Incarnation < ro.news.Incarnation:
		ta.stale++
		return ro, false
	default:
		left = ne.Leaving && !ro.news.Leaving
		ro.update(ne, via, now)
	}
	if ne.Card != nil {
		ro.card, ro.carded = *ne.Card, true
	}
	ro.news.Card = nil
	if in, listed := ta.listed[ne.Instance]; listed && leaves(in) && !ro.news.Leaving {
		ro.news.Leaving = true
		left = true
	}
	if ro.news.Doubt == Gone && ro.gone.IsZero() {
		ro.gone = now
	}
	ta.refresh(ro)
	return ro, left
}

// update takes news of the incarnation that the row holds.
func (ro *row) update(ne StateUpdate, via string, now time.Time) {
	leaving := ro.news.Leaving || ne.Leaving
	if newer(&ne, &ro.news) {
		if ne.Beat > ro.news.Beat {
			ro.heard, ro.via = now, via
		}
		ro.news = ne
		if ne.Doubt != Gone {
			ro.gone = time.Time{}
		}
	}
	ro.news.Leaving = leaving
}
