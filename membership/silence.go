package membership

import (
	"cmp"
	"time"
)

// judge doubts attendants that stay silent towards this entry, their home.
//
// When an entry's own connection fails, all its attendants go silent to it at
// once. Were it to say so, it would take every endpoint of its failure domain
// out of service elsewhere too. So when most are silent it blames itself,
// keeps its view and says that it is cut off.
func (ta *Table) judge(now time.Time) {
	timeout := cmp.Or(ta.SilenceTimeout, DefaultSilenceTimeout)
	var silent []*row
	homed := 0
	for _, ro := range ta.rows.values() {
		if ro.via != "" || ro.news.Doubt == Gone || ro.news.Leaving {
			continue
		}
		homed++
		if now.Sub(ro.heard) > timeout {
			silent = append(silent, ro)
		}
	}
	lost := ta.lostEntries(now)
	cutOff := most(len(silent), homed) || most(lost, len(ta.entries.keys))
	ta.setCutOff(cutOff, now)
	if cutOff {
		return
	}
	for _, ro := range silent {
		if ro.news.Doubt == Alive {
			ro.news.Doubt = Silent
			ta.refresh(ro)
			ta.tellAll(ro.news.Instance, waits)
		}
	}
}

// most reports whether part is more than half of whole, and not just a few.
func most(part, whole int) bool { return part > smallGroup && 2*part > whole }

// setCutOff notes since when this entry is cut off. Its endpoints' states
// depend on that.
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

// lostEntries counts the other entries that can't be reached, and refreshes
// the attendants that are known through one that was lost just now.
func (ta *Table) lostEntries(now time.Time) int {
	lost := 0
	for _, er := range ta.entries.values() {
		if ta.reach(er, now) {
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

// reach reports whether another entry was heard of in time. Entries talk to
// each other more seldom the more there are, so the time grows with them.
func (ta *Table) reach(er *entryRow, now time.Time) bool {
	round := time.Duration(len(ta.entries.keys)) * cmp.Or(ta.ExchangeInterval, DefaultExchangeInterval)
	return now.Sub(er.heard) <= cmp.Or(ta.SilenceTimeout, DefaultSilenceTimeout)+2*round
}

// unreachable reports whether the entry that hears an attendant's beats is
// lost to this one. This judgement is this entry's own: it tells no one.
func (ta *Table) unreachable(via string) bool {
	if via == "" || !ta.cutOff.IsZero() {
		return false
	}
	er, ok := ta.entries.get(via)
	return ok && er.lost
}

// refreshVia refreshes the attendants that are known through an entry.
func (ta *Table) refreshVia(entry string) {
	for _, ro := range ta.rows.values() {
		if ro.via == entry {
			ta.refresh(ro)
		}
	}
}

// expire removes attendants that are silent and off the platform's list, and
// forgets those that were removed long ago.
//
// Neither sign is enough: the list lags behind a start, and a silent
// attendant may only be cut off.
func (ta *Table) expire(now time.Time) {
	for _, ro := range ta.rows.values() {
		_, listed := ta.listed[ro.news.Instance]
		switch {
		case ro.news.Doubt == Gone:
			if now.Sub(ro.gone) > tombstoneLife {
				ta.rows.remove(ro.news.Instance)
			}
		case ta.listed == nil || listed || ro.via != "" && !ta.orphan(ro):
		case (ro.news.Doubt == Silent || ro.news.Leaving || ro.via != "") &&
			now.Sub(ro.heard) > cmp.Or(ta.RemoveTimeout, DefaultRemoveTimeout):
			ro.news.Doubt = Gone
			ro.gone = now
			ta.refresh(ro)
			ta.tellAll(ro.news.Instance, waits)
		}
	}
}

// orphan reports whether the entry that heard an attendant's beats is no more,
// so that no home is left to judge it.
func (ta *Table) orphan(ro *row) bool {
	_, ok := ta.entries.get(ro.via)
	return !ok && ro.via != ta.Instance
}
