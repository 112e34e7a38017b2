package gate

// A profileCounts counts the running and waiting requests of one profile.
type profileCounts struct {
	running int
	waiting int
}

// counts returns the counts of a profile.
func (ta *Table) counts(profile string) *profileCounts {
	tl := ta.profiles[profile]
	if tl == nil {
		tl = &profileCounts{}
		ta.profiles[profile] = tl
	}
	return tl
}

// uncount subtracts a request from the counts of its profile.
func (ta *Table) uncount(ro *row) {
	tl := ta.counts(ro.request.Profile)
	if ro.running {
		tl.running--
	} else {
		tl.waiting--
	}
	if *tl == (profileCounts{}) {
		delete(ta.profiles, ro.request.Profile)
	}
}

// profileFull reports whether a profile has reached its MaxRunning.
func (ta *Table) profileFull(name string) bool {
	most := ta.policy.profile(name).MaxRunning
	return most > 0 && ta.counts(name).running >= most
}

// profileQueueFull reports whether a profile has reached its MaxWaiting.
func (ta *Table) profileQueueFull(name string) bool {
	most := ta.policy.profile(name).MaxWaiting
	return most > 0 && ta.counts(name).waiting >= most
}
