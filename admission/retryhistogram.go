package admission

import "time"

const (
	// deadlineStep is the resolution of counted deadlines.
	deadlineStep = 50 * time.Millisecond
	// maxDeadlines is the maximum number of distinct deadlines that are counted.
	maxDeadlines = 32
	// halveAt is the count at which all counts are halved, so that old observations lose weight.
	halveAt = 200
	// minUsualCount is the minimum count of the usual deadline; below it there is none.
	minUsualCount = 8
)

// RetryHistogram estimates how much of its time a caller has used in earlier attempts, by comparing the
// remaining time that it sends with the one that callers of the route usually send. The zero
// RetryHistogram is ready to use.
//
// Without it, retries of rejected callers would count as new requests: they would use capacity
// although they are already late, and delay others.
type RetryHistogram struct {
	counts map[int]int // by remaining time, in steps
}

// Observe counts the remaining time that a caller sent; values below or equal to 0 are ignored.
func (rh *RetryHistogram) Observe(left time.Duration) {
	if left <= 0 {
		return
	}
	if rh.counts == nil {
		rh.counts = map[int]int{}
	}
	at := toSteps(left)
	if _, ok := rh.counts[at]; !ok && len(rh.counts) >= maxDeadlines {
		rh.halve()
	}
	rh.counts[at]++
	if rh.counts[at] >= halveAt {
		rh.halve()
	}
}

func (rh *RetryHistogram) halve() {
	for at := range rh.counts {
		if rh.counts[at] /= 2; rh.counts[at] == 0 {
			delete(rh.counts, at)
		}
	}
}

// Elapsed returns how much of its time the caller of a request with remaining time left has used in
// earlier attempts: the difference to the most frequent remaining time.
func (rh *RetryHistogram) Elapsed(left time.Duration) time.Duration {
	usual, most := 0, minUsualCount-1
	for at, count := range rh.counts {
		if count > most || count == most && at > usual {
			usual, most = at, count
		}
	}
	if left <= 0 || toSteps(left) >= usual {
		return 0
	}
	return time.Duration(usual)*deadlineStep - left
}

// toSteps returns a duration in steps, rounded up.
func toSteps(left time.Duration) int { return int((left + deadlineStep - 1) / deadlineStep) }
