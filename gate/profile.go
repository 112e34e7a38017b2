package gate

// A profileCounts counts the running and waiting requests of one profile.
type profileCounts struct {
	running int
	waiting int
}

// counts returns the counts of a profile.
func (ta *Table) counts(profile string) *profileCounts {
	pc := ta.profiles[profile]
	if pc == nil {
		pc = &profileCounts{}
		ta.profiles[profile] = pc
	}
	return pc
}

// uncount subtracts a request from the counts of its profile.
func (ta *Table) uncount(ro *row) {
	pc := ta.counts(ro.request.Profile)
	if ro.running {
		pc.running--
	} else {
		pc.waiting--
	}
	if *pc == (profileCounts{}) {
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
