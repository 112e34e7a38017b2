package gate

import "time"

// A share is the usage of a trainer or profile: the total run time of its requests divided by its
// weight, as virtual time in seconds (start-time fair queueing).
type share struct {
	rows    int // waiting and running
	virtual float64
}

// joinShare adds a request to its share. A share that was idle starts at the current virtual time,
// so that it can't accumulate credit.
func (ta *Table) joinShare(name string) {
	sh := ta.shares[name]
	if sh == nil {
		sh = &share{}
		ta.shares[name] = sh
	}
	if sh.rows == 0 {
		sh.virtual = max(sh.virtual, ta.virtual)
	}
	sh.rows++
}

// charge adds the expected run time of a starting request to its share.
func (ta *Table) charge(ro *row) {
	name := ro.request.share()
	sh := ta.shares[name]
	ta.virtual = max(ta.virtual, sh.virtual)
	ro.charged = max(ta.estimate.mean[ro.request.Class], time.Millisecond)
	sh.virtual += ro.charged.Seconds() / ta.policy.weight(name)
}

// leaveShare replaces the charge by the actual run time and removes the request from its share.
func (ta *Table) leaveShare(ro *row, ran time.Duration) {
	name := ro.request.share()
	sh := ta.shares[name]
	if ro.running {
		sh.virtual += (ran - ro.charged).Seconds() / ta.policy.weight(name)
	}
	sh.rows--
	if sh.rows == 0 && sh.virtual <= ta.virtual {
		delete(ta.shares, name)
	}
}

// next returns the index of the waiting request of a class that starts first, or -1.
func (ta *Table) next(cl Class) int {
	best := -1
	for i, ro := range ta.waiting[cl] {
		if ta.profileFull(ro.request.Profile) {
			continue
		}
		if best < 0 || ta.startsBefore(ro, ta.waiting[cl][best]) {
			best = i
		}
	}
	return best
}

// startsBefore reports whether ro starts before other: by least used share, then priority, then arrival.
func (ta *Table) startsBefore(ro, other *row) bool {
	if ta.policy.Order == LiveFirst {
		mine, its := ta.shares[ro.request.share()], ta.shares[other.request.share()]
		if mine.virtual != its.virtual {
			return mine.virtual < its.virtual
		}
		if ro.request.share() == other.request.share() && ro.request.Priority != other.request.Priority {
			return ro.request.Priority > other.request.Priority
		}
	}
	return ro.sequence < other.sequence
}
