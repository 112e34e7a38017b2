package admission

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// arrivalSpan and burstSpan are the time constants of the arrival rates: the short one detects
	// the start of a burst quickly, the long one falls slowly after its end.
	arrivalSpan = time.Second
	burstSpan   = 200 * time.Millisecond
	// standingSpan is how long the minimum queueing delay must exceed its limit until the queue
	// counts as standing.
	standingSpan = 100 * time.Millisecond
	// standingDivisor divides the maximum queueing delay of a request to give the limit beyond which the
	// queue no longer absorbs a burst but only delays all requests.
	standingDivisor = 2
	// maxWaiting is the maximum length of a queue.
	maxWaiting = 1000
	// maxRetryAfter is the maximum Retry-After of a rejection.
	maxRetryAfter = 5 * time.Second
	// contendedSpan is how long a service counts as short of capacity after a request was queued or
	// rejected.
	contendedSpan = time.Second
)

// A Queue holds requests that wait for capacity at the endpoints of a service. The zero Queue is
// ready to use. It is not safe for concurrent use.
//
// It accepts requests that can still be answered in time and serves them in FIFO order. While it is
// a standing queue, it serves the newest first (adaptive LIFO), since requests that have waited long
// would be late in either order.
//
// Requests of customers with few queued requests are served first. In FIFO order a customer that
// sends far more than its share would take most of the capacity.
type Queue struct {
	arrivals  decay
	burst     decay
	counts    map[string]int // queued requests by customer
	queuedAt  time.Time      // last time that a request found no capacity
	overSince time.Time      // start of the period in which each queueing delay exceeded the limit
	refusedAt time.Time      // last rejection
	nextRetry time.Time      // time at which the caller rejected last may retry
	standing  bool
	waiting   []Waiter // unordered; see before
}

// Len returns the number of queued requests.
func (qu *Queue) Len() int { return len(qu.waiting) }

// NewestFirst reports whether the queue is standing, and so serves the newest requests first.
func (qu *Queue) NewestFirst() bool { return qu.standing }

// Arrived counts a request for the arrival rate, whether or not it is queued.
func (qu *Queue) Arrived(now time.Time) {
	qu.arrivals.add(now, arrivalSpan)
	qu.burst.add(now, burstSpan)
}

// rate returns the recent arrivals a second.
func (qu *Queue) rate(now time.Time) float64 {
	return max(qu.arrivals.rate(now, arrivalSpan), qu.burst.rate(now, burstSpan))
}

// MeetsGoal reports whether a request would meet its goal if queued now.
func (qu *Queue) MeetsGoal(wa Waiter, fo Forecast, now time.Time) bool {
	start := qu.expectedDelay(wa, fo)
	return start <= wa.maxDelay()-now.Sub(wa.Arrived) && !now.Add(start+fo.Expected).After(wa.Goal)
}

// expectedDelay returns the expected queueing delay of a request.
func (qu *Queue) expectedDelay(wa Waiter, fo Forecast) time.Duration {
	ahead := 0
	for _, other := range qu.waiting {
		if other.ID != wa.ID && qu.before(other, wa) {
			ahead++
		}
	}
	return timeToServe(ahead+1, fo.Rate)
}

// timeToServe returns the time in which count requests are served at a rate a second, at most
// maxRetryAfter.
func timeToServe(count int, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(float64(count)/rate*float64(time.Second)), maxRetryAfter)
}

// Enqueue queues a request, and returns the requests that are rejected: the request itself, one that it
// evicts from a full queue, or none.
func (qu *Queue) Enqueue(wa Waiter, fo Forecast, now time.Time) []Refusal {
	qu.queuedAt = now
	if !qu.MeetsGoal(wa, fo, now) {
		reason, ok := qu.allowLate(wa, fo, now)
		if !ok {
			return []Refusal{qu.reject(wa, reason, fo, now)}
		}
		wa.Late = true
	}
	var out []Refusal
	if len(qu.waiting) >= maxWaiting {
		last := qu.lastIndex()
		if !qu.before(wa, qu.waiting[last]) || qu.sameRank(wa, qu.waiting[last]) {
			return []Refusal{qu.reject(wa, QueueFull, fo, now)}
		}
		out = append(out, qu.reject(qu.waiting[last], Yielded, fo, now))
		qu.removeAt(last)
	}
	qu.add(wa)
	return out
}

// allowLate reports whether a request that misses its goal may be queued until its deadline, and why
// not.
//
// Late requests only get spare capacity: under overload, each late request that runs would delay
// another one beyond its goal.
func (qu *Queue) allowLate(wa Waiter, fo Forecast, now time.Time) (Reason, bool) {
	ahead := 1
	for _, other := range qu.waiting {
		if other.ID != wa.ID && (!other.Late || other.Priority <= wa.Priority) {
			ahead++
		}
	}
	if now.Add(timeToServe(1, fo.Rate) + fo.Expected).After(wa.Deadline) {
		return NoTime, false
	}
	if qu.Refusing(now) {
		return NoRoom, false
	}
	wa.Late = true
	start := now.Add(timeToServe(ahead, fo.Rate-qu.rate(now)))
	if start.After(wa.Arrived.Add(wa.maxDelay())) || start.Add(fo.Expected).After(wa.Deadline) {
		return NoRoom, false
	}
	return "", true
}

// before reports whether a is served before b.
func (qu *Queue) before(a, b Waiter) bool {
	switch {
	case a.Late != b.Late:
		return b.Late
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case qu.sizeClass(a) != qu.sizeClass(b):
		return qu.sizeClass(a) < qu.sizeClass(b)
	case qu.standing && !a.Late:
		return a.ID > b.ID
	default:
		return a.ID < b.ID
	}
}

// sameRank reports whether only the order of arrival distinguishes two requests.
func (qu *Queue) sameRank(a, b Waiter) bool {
	return a.Late == b.Late && a.Priority == b.Priority && qu.sizeClass(a) == qu.sizeClass(b)
}

// sizeClass returns the size class, in powers of two, of the number of queued requests of the request's
// customer. Requests of customers in one class are served in order of arrival.
func (qu *Queue) sizeClass(wa Waiter) int { return bits.Len(uint(qu.counts[wa.Customer])) }

// add appends a request.
func (qu *Queue) add(wa Waiter) {
	if qu.counts == nil {
		qu.counts = map[string]int{}
	}
	qu.counts[wa.Customer]++
	qu.waiting = append(qu.waiting, wa)
}

// removeAt removes the request at an index.
func (qu *Queue) removeAt(at int) {
	customer := qu.waiting[at].Customer
	if qu.counts[customer]--; qu.counts[customer] <= 0 {
		delete(qu.counts, customer)
	}
	qu.waiting = slices.Delete(qu.waiting, at, at+1)
}

// lastIndex returns the index of the request that would be served last.
func (qu *Queue) lastIndex() int {
	at := 0
	for i := range qu.waiting {
		if qu.before(qu.waiting[at], qu.waiting[i]) {
			at = i
		}
	}
	return at
}

// Next removes and returns requests in order while placeFunc finds capacity for them. The argument
// late tells placeFunc that the request misses its goal.
func (qu *Queue) Next(now time.Time, placeFunc func(wa Waiter, late bool) bool) []Waiter {
	var out []Waiter
	for len(qu.waiting) > 0 {
		at := 0
		for i := range qu.waiting {
			if qu.before(qu.waiting[i], qu.waiting[at]) {
				at = i
			}
		}
		wa := qu.waiting[at]
		if !placeFunc(wa, wa.Late) {
			break
		}
		qu.updateStanding(wa, now)
		qu.removeAt(at)
		out = append(out, wa)
	}
	if len(qu.waiting) == 0 {
		qu.standing, qu.overSince = false, time.Time{}
	}
	return out
}

// updateStanding updates from the queueing delay of a request whether the queue is standing.
func (qu *Queue) updateStanding(wa Waiter, now time.Time) {
	if wa.Late {
		return
	}
	if now.Sub(wa.Arrived) < wa.maxDelay()/standingDivisor {
		// In LIFO order a short delay says nothing about the other requests.
		if !qu.standing {
			qu.overSince = time.Time{}
		}
		return
	}
	if qu.overSince.IsZero() {
		qu.overSince = now
	}
	qu.standing = qu.standing || now.Sub(qu.overSince) >= standingSpan
}

// Expire removes and returns the requests that reached their maximum time in the queue, except those
// that may stay as late requests.
func (qu *Queue) Expire(fo Forecast, now time.Time) []Refusal {
	var out []Refusal
	for _, wa := range slices.Clone(qu.waiting) {
		if now.Sub(wa.Arrived) < wa.maxDelay() && !now.Add(fo.Expected).After(wa.Deadline) {
			continue
		}
		qu.Remove(wa.ID)
		if _, ok := qu.allowLate(wa, fo, now); ok && !wa.Late {
			wa.Late = true
			qu.add(wa)
			continue
		}
		out = append(out, qu.reject(wa, TooLong, fo, now))
	}
	return out
}

// Remove removes a request whose caller has disconnected.
func (qu *Queue) Remove(id uint64) {
	if at := slices.IndexFunc(qu.waiting, func(wa Waiter) bool { return wa.ID == id }); at >= 0 {
		qu.removeAt(at)
	}
}

// reject returns the rejection of a request. Its RetryAfter spreads callers from the time at which the
// next slot becomes free to the last one at which a response still meets their goal. With the same
// value, all would return together and be rejected again.
func (qu *Queue) reject(wa Waiter, reason Reason, fo Forecast, now time.Time) Refusal {
	qu.refusedAt = now
	each := timeToServe(1, fo.Rate)
	soonest := now.Add(timeToServe(len(qu.waiting)+1, fo.Total))
	if latest := wa.Goal.Add(-fo.Expected - wa.maxDelay()); qu.nextRetry.Before(soonest) || qu.nextRetry.After(latest) {
		qu.nextRetry = soonest
	}
	wait := qu.nextRetry.Sub(now)
	qu.nextRetry = qu.nextRetry.Add(each)
	return Refusal{
		Waiter: wa, Reason: reason, RetryAfter: max(wait.Round(time.Millisecond), time.Millisecond), Waited: now.Sub(wa.Arrived),
		Arrivals: qu.rate(now), Length: len(qu.waiting), Outlook: fo, Standing: qu.standing,
	}
}

// Refusing reports whether a request was rejected within contendedSpan.
func (qu *Queue) Refusing(now time.Time) bool {
	return !qu.refusedAt.IsZero() && now.Sub(qu.refusedAt) < contendedSpan
}

// Contended reports whether a request was queued or rejected within contendedSpan. Optional work, such
// as hedging, is then to be skipped.
func (qu *Queue) Contended(now time.Time) bool {
	return !qu.queuedAt.IsZero() && now.Sub(qu.queuedAt) < contendedSpan
}
