package membership

import (
	"cmp"
	"time"
)

// detectSilence marks attendants that report to this entry and have not done so in time.
//
// If the entry's own connection fails, all its attendants become silent at once. Propagating that
// would take all endpoints of its failure domain out of service everywhere. So if most are
// silent, the entry considers itself cut off and keeps its view.
func (ta *Table) detectSilence(now time.Time) {
	timeout := cmp.Or(ta.SilenceTimeout, DefaultSilenceTimeout)
	var silent []*row
	total := 0
	for _, ro := range ta.rows.values() {
		if ro.via != "" || ro.state.Doubt == Gone || ro.state.Leaving {
			continue
		}
		total++
		if now.Sub(ro.lastSeen) > timeout {
			silent = append(silent, ro)
		}
	}
	lost := ta.countLost(now)
	cutOff := majority(len(silent), total) || majority(lost, len(ta.entries.keys))
	ta.setCutOff(cutOff, now)
	if cutOff {
		return
	}
	for _, ro := range silent {
		if ro.state.Doubt == Alive {
			ro.state.Doubt = Silent
			ta.refresh(ro)
			ta.markAllDirty(ro.state.Instance, normal)
		}
	}
}

// majority reports whether part is more than half of whole and above cutOffThreshold.
func majority(part, whole int) bool { return part > cutOffThreshold && 2*part > whole }

// setCutOff records whether this entry is cut off, and refreshes all rows if that has changed.
func (ta *Table) setCutOff(cutOff bool, now time.Time) {
	was := !ta.cutOff.IsZero()
	if cutOff == was {
		return
	}
	ta.cutOff = time.Time{}
	if cutOff {
		ta.cutOff = now
	}
	for _, ro := range ta.rows.values() {
		ta.refresh(ro)
	}
}

// countLost returns the number of unreachable entries, and refreshes the attendants known via
// those that have just become unreachable.
func (ta *Table) countLost(now time.Time) int {
	lost := 0
	for _, er := range ta.entries.values() {
		if ta.reachable(er, now) {
			continue
		}
		lost++
		if !er.lost {
			er.lost = true
			ta.refreshVia(er.instance.ID)
		}
	}
	return lost
}

// reachable reports whether the last contact with another entry is recent. The timeout grows
// with the number of entries, as they are contacted in turn.
func (ta *Table) reachable(er *entryRow, now time.Time) bool {
	round := time.Duration(len(ta.entries.keys)) * cmp.Or(ta.ExchangeInterval, DefaultExchangeInterval)
	return now.Sub(er.lastContact) <= cmp.Or(ta.SilenceTimeout, DefaultSilenceTimeout)+2*round
}

// unreachable reports whether the entry that an attendant reports to is unreachable from this
// one. This is not propagated to other entries.
func (ta *Table) unreachable(via string) bool {
	if via == "" || !ta.cutOff.IsZero() {
		return false
	}
	er, ok := ta.entries.get(via)
	return ok && er.lost
}

// refreshVia refreshes the attendants known via an entry.
func (ta *Table) refreshVia(entry string) {
	for _, ro := range ta.rows.values() {
		if ro.via == entry {
			ta.refresh(ro)
		}
	}
}

// expire removes attendants that are both silent and missing from the platform's list, and
// deletes old tombstones.
//
// Neither condition alone is enough: the list lags behind a start, and a silent attendant may
// only be cut off.
func (ta *Table) expire(now time.Time) {
	for _, ro := range ta.rows.values() {
		_, listed := ta.listed[ro.state.Instance]
		switch {
		case ro.state.Doubt == Gone:
			if now.Sub(ro.removedAt) > tombstoneTTL {
				ta.rows.remove(ro.state.Instance)
			}
		case ta.listed == nil || listed || ro.via != "" && !ta.orphaned(ro):
		case (ro.state.Doubt == Silent || ro.state.Leaving || ro.via != "") &&
			now.Sub(ro.lastSeen) > cmp.Or(ta.RemoveTimeout, DefaultRemoveTimeout):
			ro.state.Doubt = Gone
			ro.removedAt = now
			ta.refresh(ro)
			ta.markAllDirty(ro.state.Instance, normal)
		}
	}
}

// orphaned reports whether the entry that an attendant reported to was removed, so that no entry
// detects its silence.
func (ta *Table) orphaned(ro *row) bool {
	_, ok := ta.entries.get(ro.via)
	return !ok && ro.via != ta.Instance
}
