package admission

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// arrivalSpan and burstSpan are the times over which arrivals are counted: a burst
	// shows in the shorter one first, and for a while after its end in the longer.
	arrivalSpan = time.Second
	burstSpan   = 200 * time.Millisecond
	// standingSpan is for how long the least time that anyone waited must be over its
	// bound for the queue to stand.
	standingSpan = 100 * time.Millisecond
	// standingPart is by what a request's patience is divided to give the longest wait
	// in a queue that works off a peak; over it the queue only makes all wait.
	standingPart = 2
	// maxWaiting bounds the queue of a service.
	maxWaiting = 1000
	// maxReturn bounds the time that a refused caller is told to wait.
	maxReturn = 5 * time.Second
	// tightSpan is for how long after the last wait, or refusal, a service counts as
	// short of room.
	tightSpan = time.Second
)

// A Queue holds the requests of a service that wait for room at its endpoints. The
// zero Queue is empty and ready to use.
//
// Load pattern: a burst beyond the room. The queue takes in what can still be answered
// in time, and lets it go in order of arrival. Once it stands, the newest go first
// (adaptive LIFO): those that have waited long would be late in either order.
//
// Customers of whom few wait go before one of whom many do. In order of arrival, a customer
// that asks for many times its part would take nearly all room, and the others' requests
// would be refused as often as its own.
type Queue struct {
	arrivals  decay
	burst     decay
	counts    map[string]int // of those that wait, by customer
	heldAt    time.Time      // when a request last found no room
	overSince time.Time      // since when no one waited less than the bound
	refusedAt time.Time      // when a request was last refused
	returns   time.Time      // when the caller refused last was told to come back
	standing  bool
	waiting   []Waiter // in no order; before tells who goes first
}

// Len returns how many wait.
func (qu *Queue) Len() int { return len(qu.waiting) }

// NewestFirst reports whether the newest go first.
func (qu *Queue) NewestFirst() bool { return qu.standing }

// Arrived counts a request, whether it must wait or not.
func (qu *Queue) Arrived(now time.Time) {
	qu.arrivals.add(now, arrivalSpan)
	qu.burst.add(now, burstSpan)
}

// rate returns the arrivals a second of late.
func (qu *Queue) rate(now time.Time) float64 {
	return max(qu.arrivals.rate(now, arrivalSpan), qu.burst.rate(now, burstSpan))
}

// MeetsGoal reports whether a request that came now would wait and still meet its goal.
func (qu *Queue) MeetsGoal(wa Waiter, ou Forecast, now time.Time) bool {
	start := qu.foreseen(wa, ou)
	return start <= wa.patience()-now.Sub(wa.Arrived) && !now.Add(start+ou.Expected).After(wa.Goal)
}

// foreseen returns how long a request is likely to wait.
func (qu *Queue) foreseen(wa Waiter, ou Forecast) time.Duration {
	ahead := 0
	for _, other := range qu.waiting {
		if other.ID != wa.ID && qu.before(other, wa) {
			ahead++
		}
	}
	return after(ahead+1, ou.Rate)
}

// after returns the time in which so many requests find room.
func after(count int, rate float64) time.Duration {
	if rate <= 0 {
		return maxReturn
	}
	return min(time.Duration(float64(count)/rate*float64(time.Second)), maxReturn)
}

// Enqueue takes a request in, and returns who is refused for it: the request itself,
// another, or no one.
func (qu *Queue) Enqueue(wa Waiter, ou Forecast, now time.Time) []Refusal {
	qu.heldAt = now
	if !qu.MeetsGoal(wa, ou, now) {
		reason, ok := qu.lateRoom(wa, ou, now)
		if !ok {
			return []Refusal{qu.refuse(wa, reason, ou, now)}
		}
		wa.Late = true
	}
	var out []Refusal
	if len(qu.waiting) >= maxWaiting {
		last := qu.last()
		if !qu.before(wa, qu.waiting[last]) || qu.alike(wa, qu.waiting[last]) {
			return []Refusal{qu.refuse(wa, QueueFull, ou, now)}
		}
		out = append(out, qu.refuse(qu.waiting[last], Yielded, ou, now))
		qu.drop(last)
	}
	qu.add(wa)
	return out
}

// lateRoom reports whether a request that misses its goal may wait for its deadline.
//
// An answer that is late is worth something to its caller, but not at the price of
// one in time. While more comes than the endpoints serve, each late one that runs
// makes another late. When less comes, what is left over is theirs.
func (qu *Queue) lateRoom(wa Waiter, ou Forecast, now time.Time) (Reason, bool) {
	ahead := 1
	for _, other := range qu.waiting {
		if other.ID != wa.ID && (!other.Late || other.Priority <= wa.Priority) {
			ahead++
		}
	}
	if now.Add(after(1, ou.Rate) + ou.Expected).After(wa.Deadline) {
		return NoTime, false
	}
	if qu.Refusing(now) {
		return NoRoom, false
	}
	wa.Late = true
	start := now.Add(after(ahead, ou.Rate-qu.rate(now)))
	if start.After(wa.Arrived.Add(wa.patience())) || start.Add(ou.Expected).After(wa.Deadline) {
		return NoRoom, false
	}
	return "", true
}

// before reports whether a goes before b.
func (qu *Queue) before(a, b Waiter) bool {
	switch {
	case a.Late != b.Late:
		return b.Late
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case qu.crowd(a) != qu.crowd(b):
		return qu.crowd(a) < qu.crowd(b)
	case qu.standing && !a.Late:
		return a.ID > b.ID
	default:
		return a.ID < b.ID
	}
}

// alike reports whether nothing but the time at which they came tells two requests apart.
func (qu *Queue) alike(a, b Waiter) bool {
	return a.Late == b.Late && a.Priority == b.Priority && qu.crowd(a) == qu.crowd(b)
}

// crowd tells how many requests of a request's customer wait, in steps of a doubling: the
// order among customers that ask for about as much is that of arrival.
func (qu *Queue) crowd(wa Waiter) int { return bits.Len(uint(qu.counts[wa.Customer])) }

// add takes a request in.
func (qu *Queue) add(wa Waiter) {
	if qu.counts == nil {
		qu.counts = map[string]int{}
	}
	qu.counts[wa.Customer]++
	qu.waiting = append(qu.waiting, wa)
}

// drop takes out the request at a position.
func (qu *Queue) drop(at int) {
	customer := qu.waiting[at].Customer
	if qu.counts[customer]--; qu.counts[customer] <= 0 {
		delete(qu.counts, customer)
	}
	qu.waiting = slices.Delete(qu.waiting, at, at+1)
}

// last returns the position of the waiter that goes last.
func (qu *Queue) last() int {
	at := 0
	for i := range qu.waiting {
		if qu.before(qu.waiting[at], qu.waiting[i]) {
			at = i
		}
	}
	return at
}

// Next lets waiters go in turn while placeFunc finds room for them, and returns them.
// It is told the waiter and whether its answer will be late.
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
		qu.note(wa, now)
		qu.drop(at)
		out = append(out, wa)
	}
	if len(qu.waiting) == 0 {
		qu.standing, qu.overSince = false, time.Time{}
	}
	return out
}

// note looks whether the queue stands, by the least time that anyone waited.
func (qu *Queue) note(wa Waiter, now time.Time) {
	if wa.Late {
		return
	}
	if now.Sub(wa.Arrived) < wa.patience()/standingPart {
		// Of the newest first, a short wait says nothing of the others.
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

// Expire refuses those that have waited as long as they may, but for those that are
// still of use late.
func (qu *Queue) Expire(ou Forecast, now time.Time) []Refusal {
	var out []Refusal
	for _, wa := range slices.Clone(qu.waiting) {
		if now.Sub(wa.Arrived) < wa.patience() && !now.Add(ou.Expected).After(wa.Deadline) {
			continue
		}
		qu.Remove(wa.ID)
		if _, ok := qu.lateRoom(wa, ou, now); ok && !wa.Late {
			wa.Late = true
			qu.add(wa)
			continue
		}
		out = append(out, qu.refuse(wa, TooLong, ou, now))
	}
	return out
}

// Remove takes out a waiter whose caller has left.
func (qu *Queue) Remove(id uint64) {
	if at := slices.IndexFunc(qu.waiting, func(wa Waiter) bool { return wa.ID == id }); at >= 0 {
		qu.drop(at)
	}
}

// refuse refuses a waiter, and says when its caller is to come back. During an overload
// places still become free all the time, only too few. So callers are spread from when the
// next place is free to the last time at which an answer still meets their goal: were all
// told the same, they would come back together and be refused again.
func (qu *Queue) refuse(wa Waiter, reason Reason, ou Forecast, now time.Time) Refusal {
	qu.refusedAt = now
	each := after(1, ou.Rate)
	soonest := now.Add(after(len(qu.waiting)+1, ou.Total))
	if latest := wa.Goal.Add(-ou.Expected - wa.patience()); qu.returns.Before(soonest) || qu.returns.After(latest) {
		qu.returns = soonest
	}
	wait := qu.returns.Sub(now)
	qu.returns = qu.returns.Add(each)
	return Refusal{
		Waiter: wa, Reason: reason, RetryAfter: max(wait.Round(time.Millisecond), time.Millisecond), Waited: now.Sub(wa.Arrived),
		Arrivals: qu.rate(now), Length: len(qu.waiting), Outlook: ou, Standing: qu.standing,
	}
}

// Refusing reports whether a request was refused within tightSpan.
func (qu *Queue) Refusing(now time.Time) bool {
	return !qu.refusedAt.IsZero() && now.Sub(qu.refusedAt) < tightSpan
}

// Contended reports whether a request had to wait or was refused within tightSpan. Then what
// isn't needed, such as a second attempt beside the first, is not sent.
func (qu *Queue) Contended(now time.Time) bool {
	return !qu.heldAt.IsZero() && now.Sub(qu.heldAt) < tightSpan
}
