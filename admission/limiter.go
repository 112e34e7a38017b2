package admission

import (
	"math"
	"time"
)

const (
	// latencyWeight is the part of a new figure in the mean time of one request.
	latencyWeight = 0.1
	// recentWeight is the part of a new latency in the recent one, which must follow
	// an endpoint that turns slow within a few answers.
	recentWeight = 0.3
	// bestLife is for how long the best latency seen counts.
	bestLife = 10 * time.Second
	// loadLife is for how long others' requests at an endpoint are believed to be as
	// they were when it last answered.
	loadLife = time.Second
	// toldLife is for how long an endpoint's word on its load counts in choosing one.
	toldLife = 2 * time.Second
	// paceLife is for how long an endpoint's word on its pace counts: the pace changes
	// with what others do on its machine.
	paceLife = 400 * time.Millisecond
	// gain is the part of the way to what the endpoint bears that the limit goes by one
	// round of answers: less than one, as the news is one round old.
	gain = 0.4
	// growth is the most that one answer adds to a limit.
	growth = 0.25
	// firstRounds is how many times its places an endpoint may get that has not
	// answered yet.
	firstRounds = 2
	// leastLimit keeps an entry asking, so that it sees when there is room again.
	leastLimit = 1.0 / 16
	// spareWork is how much more than its places an endpoint is always given: without
	// any it would stand idle for the way between two requests.
	spareWork = 1.25
	// spread is how many times the usual time few requests take longer than.
	spread = 2
	// aimlessWork is how many times as long as usual a request may take that has no
	// goal: it then waits for as long as two requests run.
	aimlessWork = 3
)

// A Limiter is what one sender may have in flight at an endpoint, learned from its
// answers. The zero Limiter holds nothing back.
//
// Load pattern: many entries before few endpoints, of which each sees only its own
// requests. The limit is multiplied by how far the endpoint is from the time that a
// request may spend there, by its load as told where it tells one, else by its
// latency. Entries that each changed theirs by a number would all overshoot together;
// a share of what each has adds up to the same for one entry and for a hundred.
type Limiter struct {
	best      [2]time.Duration // least recent latency in this span and the one before
	bestUntil time.Time
	cutAt     time.Time // when the limit was last halved
	extraAt   time.Time // when the part of the limit beyond whole requests was last used
	heardAt   time.Time // the last answer
	limit     float64   // 0 while nothing holds back
	load      Load
	loadAt    time.Time
	own       int // own requests among those that the load tells of
	recent    time.Duration
	target    time.Duration // that a request may spend there
	unit      time.Duration // mean time of a request that waits for none, at the usual pace
}

// Observe learns from an answer.
func (ro *Limiter) Observe(an Response) {
	ro.relax(an.At)
	ro.heardAt = an.At
	if an.Told {
		ro.load, ro.loadAt, ro.own = an.Load, an.At, max(an.InFlight-1, 0)
	}
	if an.Refused {
		ro.cut(an)
		return
	}
	ro.learn(an)
	ro.steer(an)
}

// learn takes in how long a request took.
func (ro *Limiter) learn(an Response) {
	one := float64(an.UnloadedLatency())
	if ro.unit == 0 {
		ro.unit, ro.recent = time.Duration(one), an.Took
	}
	ro.unit += time.Duration(latencyWeight * (one - float64(ro.unit)))
	ro.recent += time.Duration(recentWeight * float64(an.Took-ro.recent))
	if !an.At.Before(ro.bestUntil) {
		ro.best[1], ro.best[0] = ro.best[0], ro.recent
		ro.bestUntil = an.At.Add(bestLife)
	}
	ro.best[0] = min(ro.best[0], ro.recent)
}

// usual returns the time of a request that waits for none.
func (ro *Limiter) usual() time.Duration {
	if !ro.loadAt.IsZero() || ro.best[0] == 0 {
		return ro.unit
	}
	if ro.best[1] == 0 {
		return ro.best[0]
	}
	return min(ro.best[0], ro.best[1])
}

// steer moves the limit towards what the endpoint bears.
func (ro *Limiter) steer(an Response) {
	spent := float64(ro.recent)
	usual := float64(ro.usual())
	if an.Told {
		usual *= an.Load.slowdown()
		spent = usual * crowd(an.Load.Running+an.Load.Waiting, an.slots())
	}
	if spent <= 0 {
		return
	}
	target := float64(an.Target)
	if an.Target <= 0 {
		target = aimlessWork * usual
	}
	ro.target = time.Duration(target)
	bears := max(target, spareWork*usual) / spent
	if bears >= 1 {
		ro.grow(bears, an)
		return
	}
	// A limit that isn't reached says nothing of what is borne.
	limit := float64(an.InFlight)
	if ro.limit > 0 {
		limit = min(ro.limit, limit+1)
	}
	ro.limit = max(limit+gain*(bears-1)*min(limit, 1), leastLimit)
}

// grow lets more in flight, until the limit is as far off as it can matter.
func (ro *Limiter) grow(bears float64, an Response) {
	if ro.limit == 0 {
		return
	}
	ro.limit += growth * min(bears-1, 1) * max(min(ro.limit, 1), leastLimit)
	if an.Told && an.Load.Waiting == 0 && an.Load.Running < an.slots() {
		ro.limit = max(ro.limit, 1)
	}
	if ro.limit > 2*float64(an.slots()) {
		ro.limit = 0
	}
}

// cut halves the limit of an endpoint that was full, once for all that were on their
// way together.
func (ro *Limiter) cut(an Response) {
	if ro.limit > 0 && an.At.Sub(ro.cutAt) < max(ro.recent, an.Took) {
		return
	}
	ro.cutAt = an.At
	limit := float64(max(an.InFlight, 1))
	if ro.limit > 0 {
		limit = min(ro.limit, limit)
	}
	ro.limit = max(limit/2, leastLimit)
}

// relax doubles the limit with each while in which the endpoint did not answer: it may
// have been emptied since.
func (ro *Limiter) relax(now time.Time) {
	for ro.limit > 0 && ro.limit < 1 && now.Sub(ro.heardAt) >= loadLife {
		ro.limit = min(2*ro.limit, 1)
		ro.heardAt = ro.heardAt.Add(loadLife)
	}
}

// Available reports whether one more request may go to the endpoint.
func (ro *Limiter) Available(inFlight, slots int, now time.Time) bool {
	ro.relax(now)
	if ro.limit == 0 && ro.target == 0 {
		return slots <= 0 || inFlight < firstRounds*slots
	}
	if ro.limit == 0 {
		bears := max(float64(ro.target), spareWork*float64(ro.usual())*ro.Slowdown(now))
		return float64(ro.ExpectedLatency(inFlight, slots, now)) <= bears
	}
	whole, part := math.Modf(ro.limit)
	if inFlight < int(whole) {
		return true
	}
	return inFlight == int(whole) && part > 0 && now.Sub(ro.extraAt) >= ro.pause(part, inFlight, slots, now)
}

// pause is the time from one use of the part of a limit beyond whole requests to the
// next. A limit of a half is a request for half of the time.
func (ro *Limiter) pause(part float64, inFlight, slots int, now time.Time) time.Duration {
	return time.Duration(float64(ro.ExpectedLatency(inFlight, slots, now)) / part)
}

// Sent notes that a request goes to the endpoint.
func (ro *Limiter) Sent(inFlight int, now time.Time) {
	if ro.limit > 0 && inFlight >= int(ro.limit) {
		ro.extraAt = now
	}
}

// ExpectedLatency returns how long a request is likely to take that is sent now. What others
// have there is what the endpoint told beyond the sender's own.
func (ro *Limiter) ExpectedLatency(inFlight, slots int, now time.Time) time.Duration {
	return time.Duration(float64(ro.usual()) * ro.Slowdown(now) * crowd(inFlight+ro.OthersInFlight(now), slots))
}

// UnloadedLatency returns how long a request takes with few exceptions that is alone: once more
// than the usual time, as work is spread about its mean.
func (ro *Limiter) UnloadedLatency(now time.Time) time.Duration {
	return time.Duration(spread * float64(ro.usual()) * ro.Slowdown(now))
}

// LatencyBound returns how long a request takes with few exceptions that is sent now.
func (ro *Limiter) LatencyBound(inFlight, slots int, now time.Time) time.Duration {
	return ro.ExpectedLatency(inFlight, slots, now) + time.Duration((spread-1)*float64(ro.usual())*ro.Slowdown(now))
}

// OthersInFlight returns how many requests of others are believed to be at the endpoint.
func (ro *Limiter) OthersInFlight(now time.Time) int {
	if ro.loadAt.IsZero() || now.Sub(ro.loadAt) >= loadLife {
		return 0
	}
	return max(ro.load.Running+ro.load.Waiting-ro.own, 0)
}

// ReportedLoad returns how many requests the endpoint last said to have, or 0 if that was long
// ago.
func (ro *Limiter) ReportedLoad(now time.Time) int {
	if now.Sub(ro.loadAt) >= toldLife {
		return 0
	}
	return ro.load.Running + ro.load.Waiting
}

// Slowdown returns how many times as long as usual work takes now: as told, and less
// sure with its age.
func (ro *Limiter) Slowdown(now time.Time) float64 {
	age := now.Sub(ro.loadAt)
	if ro.loadAt.IsZero() || age >= paceLife {
		return 1
	}
	return 1 + (ro.load.slowdown()-1)*(1-float64(age)/float64(paceLife))
}

// Rate returns how many requests a second the sender may have answered there.
func (ro *Limiter) Rate(inFlight, slots int, now time.Time) float64 {
	expected := ro.ExpectedLatency(inFlight, slots, now).Seconds()
	limit := ro.limit
	if limit == 0 {
		limit = float64(max(slots, 1))
	}
	return limit / max(expected, time.Millisecond.Seconds())
}

// TotalRate returns how many requests a second the endpoint answers to all senders.
func (ro *Limiter) TotalRate(slots int, now time.Time) float64 {
	return float64(max(slots, 1)) / max(ro.usual().Seconds()*ro.Slowdown(now), time.Millisecond.Seconds())
}

// Limit returns how many requests the sender may have in flight there, or 0 while
// nothing holds it back.
func (ro *Limiter) Limit() float64 { return ro.limit }

// crowd returns how many times as long as alone a request takes beside busy others.
func crowd(busy, slots int) float64 {
	return max(1, float64(busy+1)/float64(max(slots, 1)))
}
