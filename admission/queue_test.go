package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waiter returns a request with a goal of 150 ms.
func waiter(id uint64, at time.Time) Waiter {
	return Waiter{Arrived: at, ID: id, Deadlines: Deadlines{Deadline: at.Add(2 * time.Second), Goal: at.Add(150 * time.Millisecond)}}
}

var steady = Forecast{Expected: 50 * time.Millisecond, Rate: 100, Total: 800}

func ids(was []Waiter) []uint64 {
	var out []uint64
	for _, wa := range was {
		out = append(out, wa.ID)
	}
	return out
}

func acceptAll(Waiter, bool) bool { return true }

func TestQueueOrder(t *testing.T) {
	var qu Queue
	for id, priority := range []int{2, 0, 1, 0} {
		wa := waiter(uint64(id), begin)
		wa.Priority = priority
		assert.Equal(t, len(qu.Enqueue(wa, Forecast{Expected: time.Millisecond, Rate: 1000, Total: 1000}, begin)), 0)
	}
	assert.DeepEqual(t, ids(qu.Next(begin, acceptAll)), []uint64{1, 3, 2, 0})
}

func TestQueueRejectsLateRequests(t *testing.T) {
	var qu Queue
	for id := range uint64(3) {
		assert.Equal(t, len(qu.Enqueue(waiter(id, begin), steady, begin)), 0, id)
	}
	for range 40 {
		qu.Arrived(begin)
	}
	res := qu.Enqueue(waiter(4, begin), steady, begin)
	assert.Equal(t, len(res), 1)
	assert.Equal(t, res[0].Reason, NoRoom)
	assert.Equal(t, res[0].ID, uint64(4))

	wa := waiter(5, begin)
	wa.Deadline = begin.Add(55 * time.Millisecond)
	assert.Equal(t, qu.Enqueue(wa, steady, begin)[0].Reason, NoTime)
}

// A request that misses its goal is still queued, behind those that can meet theirs, while the
// endpoints have spare capacity.
func TestQueueServesLateRequestsWithSpareCapacity(t *testing.T) {
	var qu Queue
	qu.Arrived(begin)
	late := waiter(1, begin)
	late.Goal = begin.Add(10 * time.Millisecond)
	assert.Equal(t, len(qu.Enqueue(late, steady, begin)), 0)
	assert.Equal(t, len(qu.Enqueue(waiter(2, begin), steady, begin)), 0)
	assert.DeepEqual(t, ids(qu.Next(begin, acceptAll)), []uint64{2, 1})
}

func TestFullQueueEvictsLeastUrgent(t *testing.T) {
	fast := Forecast{Expected: time.Millisecond, Rate: 1e6, Total: 1e6}
	var qu Queue
	for id := range uint64(maxWaiting) {
		wa := waiter(id, begin)
		wa.Priority = 1
		assert.Equal(t, len(qu.Enqueue(wa, fast, begin)), 0)
	}
	wa := waiter(maxWaiting, begin)
	wa.Priority = 1
	assert.Equal(t, qu.Enqueue(wa, fast, begin)[0].Reason, QueueFull)
	wa.Priority = 0
	res := qu.Enqueue(wa, fast, begin)
	assert.Equal(t, res[0].Reason, Yielded)
	assert.Equal(t, res[0].ID, uint64(maxWaiting-1))
	assert.Equal(t, qu.Len(), maxWaiting)
}

func TestQueueExpiresWaiters(t *testing.T) {
	var qu Queue
	for range 40 {
		qu.Arrived(begin)
	}
	assert.Equal(t, len(qu.Enqueue(waiter(1, begin), steady, begin)), 0)
	assert.Equal(t, len(qu.Expire(steady, begin.Add(37*time.Millisecond))), 0)
	res := qu.Expire(steady, begin.Add(38*time.Millisecond))
	assert.Equal(t, len(res), 1)
	assert.Equal(t, res[0].Reason, TooLong)
	assert.Equal(t, qu.Len(), 0)
}

// Under sustained overload a FIFO queue would let every request wait for the maximum, including
// those that are served. The queue must switch to LIFO and keep the median wait short.
func TestStandingQueue(t *testing.T) {
	optimistic := Forecast{Expected: 20 * time.Millisecond, Rate: 2000, Total: 2000}
	var qu Queue
	var waits []time.Duration
	refused, wasStanding := 0, false
	for at := range 3000 {
		now := begin.Add(time.Duration(at) * time.Millisecond)
		if at%2 == 0 {
			qu.Arrived(now)
			refused += len(qu.Enqueue(waiter(uint64(at), now), optimistic, now))
		}
		if at%10 < 3 {
			room := 1
			for _, wa := range qu.Next(now, func(Waiter, bool) bool { room--; return room >= 0 }) {
				if at >= 500 {
					waits = append(waits, now.Sub(wa.Arrived))
				}
			}
		}
		refused += len(qu.Expire(optimistic, now))
		wasStanding = wasStanding || qu.NewestFirst()
	}
	slices.Sort(waits)
	median := waits[len(waits)/2]
	t.Logf("median wait %v, %d served, %d refused", median, len(waits), refused)
	assert.Assert(t, wasStanding)
	assert.Assert(t, median <= 5*time.Millisecond, "median wait %v", median)
	for range 3 {
		qu.Next(begin.Add(4*time.Second), acceptAll)
	}
	assert.Assert(t, !qu.NewestFirst())
}

// Requests rejected together get different Retry-After times, so that they do not all return at
// once and are rejected again.
func TestRetryAfterIsSpread(t *testing.T) {
	var qu Queue
	for range 200 {
		qu.Arrived(begin)
	}
	times := map[time.Duration]int{}
	for id := range uint64(30) {
		for _, re := range qu.Enqueue(waiter(id, begin), steady, begin) {
			times[re.RetryAfter]++
			assert.Assert(t, re.RetryAfter > 0 && re.RetryAfter < 150*time.Millisecond, re.RetryAfter)
		}
	}
	assert.Assert(t, len(times) >= 5, times)

	var none Queue
	none.Arrived(begin)
	res := none.Enqueue(waiter(1, begin), Forecast{}, begin)
	assert.Equal(t, res[0].RetryAfter, maxRetryAfter, "nothing is served")
}

// Callers that retry with their remaining deadline are recognised as retries.
func TestRetryHistogram(t *testing.T) {
	var rh RetryHistogram
	assert.Equal(t, rh.Elapsed(1900*time.Millisecond), time.Duration(0), "no deadlines observed yet")
	for i := range 1000 {
		rh.Observe(2 * time.Second)
		rh.Observe(0)
		if i%2 == 0 {
			rh.Observe(time.Duration(1600+i%300) * time.Millisecond)
		}
	}
	assert.Equal(t, rh.Elapsed(2*time.Second), time.Duration(0))
	assert.Equal(t, rh.Elapsed(1997*time.Millisecond), time.Duration(0))
	assert.Equal(t, rh.Elapsed(1880*time.Millisecond), 120*time.Millisecond)
	assert.Equal(t, rh.Elapsed(5*time.Second), time.Duration(0))
	assert.Equal(t, rh.Elapsed(0), time.Duration(0))
	for range 1000 {
		rh.Observe(time.Second)
	}
	assert.Equal(t, rh.Elapsed(900*time.Millisecond), 100*time.Millisecond, "the usual deadline changes")
	for i := range 10000 {
		rh.Observe(time.Duration(i) * time.Second)
	}
	assert.Assert(t, len(rh.counts) <= maxDeadlines+1)
}

// Callers that read their responses slowly neither exceed the memory limit nor let one customer
// use all of it.
func TestMemoryBudgetWithSlowReaders(t *testing.T) {
	mb := NewMemoryBudget(1000)
	slow := 0
	for mb.Fits("slow", 0, 10) && slow < 1000 {
		mb.Add("slow", 10)
		slow++
	}
	assert.Equal(t, slow, 50, "a single customer may hold half")
	assert.Assert(t, mb.Fits("other", 0, 10))
	mb.Add("other", 490)
	assert.Assert(t, !mb.Fits("third", 0, 20))
	assert.Assert(t, mb.Fits("third", 0, 10))
	name, bytes := mb.Largest()
	assert.Equal(t, name, "slow")
	assert.Equal(t, bytes, int64(500))
	mb.Add("slow", -500)
	mb.Add("other", -490)
	assert.Equal(t, mb.Total(), int64(0))
	assert.Equal(t, len(mb.byCustomer), 0)
	assert.Assert(t, !mb.Fits("other", 0, 1001))
	assert.Assert(t, mb.TooLarge(1001) && !mb.TooLarge(1000))

	var none MemoryBudget
	none.Add("a", 1<<40)
	assert.Assert(t, none.Fits("a", 0, 1<<40), "no bound")
	assert.Assert(t, !none.TooLarge(1<<40), "no bound")
}

// A body larger than half of the limit is accepted when no memory is in use: the parts of it
// already read must not count as other requests of its customer.
func TestMemoryBudgetAcceptsLargeBody(t *testing.T) {
	for _, size := range []int64{10, 500, 510, 1000} {
		mb := NewMemoryBudget(1000)
		for taken := int64(0); taken < size; taken += 10 {
			assert.Assert(t, mb.Fits("a", taken, 10), "%d of %d", taken, size)
			mb.Add("a", 10)
		}
		assert.Equal(t, mb.ReservesWhole(size), size > 500)
	}
	mb := NewMemoryBudget(1000)
	mb.Add("a", 600)
	assert.Assert(t, !mb.Fits("a", 0, 300), "a second body of the same customer")
	assert.Assert(t, !mb.Fits("b", 0, 600), "two bodies larger than half of the limit")
	assert.Assert(t, mb.Fits("b", 0, 400))
}

// A customer that requests ten times the capacity must not crowd out one that requests less than
// its share. In FIFO order both would be rejected equally often.
func TestQueueIsFairToSmallCustomers(t *testing.T) {
	const goal = 1200 * time.Millisecond
	fo := Forecast{Expected: 300 * time.Millisecond, Rate: 40, Total: 40}
	var qu Queue
	id, asked, served := uint64(0), map[string]int{}, map[string]int{}
	join := func(customer string, now time.Time) {
		id++
		asked[customer]++
		qu.Arrived(now)
		qu.Enqueue(Waiter{
			Arrived: now, Customer: customer, ID: id, Deadlines: Deadlines{Deadline: now.Add(4 * goal), Goal: now.Add(goal)},
		}, fo, now)
	}
	for ms := range 10_000 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		if ms%5 == 0 {
			join("large", now)
		}
		if ms%200 == 13 { // never at the time at which a slot becomes free
			join("small", now)
		}
		if ms%25 == 0 {
			given := false
			for _, wa := range qu.Next(now, func(Waiter, bool) bool { free := !given; given = true; return free }) {
				served[wa.Customer]++
			}
		}
		qu.Expire(fo, now)
	}
	assert.Assert(t, served["small"] >= asked["small"]*9/10, "%d of %d", served["small"], asked["small"])
	assert.Assert(t, served["large"] > 9*(400-asked["small"])/10, "%d served with the remaining capacity", served["large"])
}
