package admission

import "time"

const (
	// timeStep is how exactly the times that callers name are told apart.
	timeStep = 50 * time.Millisecond
	// maxTimes bounds the times that are told apart.
	maxTimes = 32
	// timesFade halves all counts once one has come so far, so that new habits of
	// callers show.
	timesFade = 200
	// leastTimes is how often a time must have been named to be the usual one.
	leastTimes = 8
)

// RetryHistogram knows how long callers of a route wait as a rule, and so how much of that one
// has used before this try of its. The zero RetryHistogram knows nothing.
//
// Load pattern: a burst beyond the room, whose refused callers come again. A try says
// how long its caller still waits, which is less each time. Taken for new ones, half of
// the room goes to callers for whom it is late already, and others become late for it.
type RetryHistogram struct {
	counts map[int]int // by time, in steps
}

// Observe counts the time that a try names.
func (tr *RetryHistogram) Observe(left time.Duration) {
	if left <= 0 {
		return
	}
	if tr.counts == nil {
		tr.counts = map[int]int{}
	}
	at := step(left)
	if _, ok := tr.counts[at]; !ok && len(tr.counts) >= maxTimes {
		tr.fade()
	}
	tr.counts[at]++
	if tr.counts[at] >= timesFade {
		tr.fade()
	}
}

func (tr *RetryHistogram) fade() {
	for at := range tr.counts {
		if tr.counts[at] /= 2; tr.counts[at] == 0 {
			delete(tr.counts, at)
		}
	}
}

// Elapsed returns how much of its time the caller of a try that names left has used
// before: the rest of what callers mostly name.
func (tr *RetryHistogram) Elapsed(left time.Duration) time.Duration {
	usual, most := 0, leastTimes-1
	for at, count := range tr.counts {
		if count > most || count == most && at > usual {
			usual, most = at, count
		}
	}
	if left <= 0 || step(left) >= usual {
		return 0
	}
	return time.Duration(usual)*timeStep - left
}

// step returns a time in steps, rounded up.
func step(left time.Duration) int { return int((left + timeStep - 1) / timeStep) }
