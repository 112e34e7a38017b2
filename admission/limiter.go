package admission

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the mean service time.
	latencyWeight = 0.1
	// recentWeight is the weight of a new sample in the recent latency, which must follow a slowing
	// endpoint within a few responses.
	recentWeight = 0.3
	// minLatencySpan is how long a minimum latency is valid.
	minLatencySpan = 10 * time.Second
	// loadTTL is how long a reported load is used to estimate other senders' requests.
	loadTTL = time.Second
	// rankingTTL is how long a reported load is used to choose between endpoints.
	rankingTTL = 2 * time.Second
	// paceTTL is how long a reported pace is valid. It is short, since the pace changes with other
	// work on the endpoint's machine.
	paceTTL = 400 * time.Millisecond
	// gain is the fraction of the distance to the target that the limit moves in one round trip. It
	// is below 1 because feedback is one round trip old.
	gain = 0.4
	// maxGrowth is the maximum increase of a limit by one response.
	maxGrowth = 0.25
	// initialFactor is the initial limit in multiples of the endpoint's slots, until its first response.
	initialFactor = 2
	// minLimit is the minimum limit. It is above 0 so that some requests still probe the endpoint.
	minLimit = 1.0 / 16
	// minLoadFactor is the minimum load in multiples of the endpoint's slots. It is above 1 so that the
	// endpoint does not idle between requests.
	minLoadFactor = 1.25
	// latencySpread is the multiple of the mean service time that few requests exceed.
	latencySpread = 2
	// defaultTargetFactor is the target of requests without a latency goal, in multiples of the service
	// time.
	defaultTargetFactor = 3
)

// A Limiter is an adaptive concurrency limit: how many requests one sender may have in flight at an
// endpoint. The zero Limiter does not limit. It is not safe for concurrent use.
//
// The limit is changed in proportion to the distance of the endpoint's reported load or, without
// one, its latency from the target. With proportional changes the total over all senders converges
// whatever their number; with fixed steps many senders would overshoot together.
type Limiter struct {
	minLatency     [2]time.Duration // minimum latency of the current and the previous minLatencySpan
	minUntil       time.Time        // end of the current minLatencySpan
	halvedAt       time.Time        // last halving of the limit
	fractionUsedAt time.Time        // last use of the fractional part of the limit
	respondedAt    time.Time        // last response, or last relaxation of the limit
	limit          float64          // 0 for no limit
	load           Load
	loadAt         time.Time
	ownInLoad      int           // the sender's requests included in load
	recent         time.Duration // moving mean of the latency
	target         time.Duration // time that a request may spend at the endpoint
	serviceTime    time.Duration // mean service time without concurrent requests, at normal speed
}

// Observe updates the limit from a response.
func (li *Limiter) Observe(re Response) {
	li.relax(re.At)
	li.respondedAt = re.At
	if re.Told {
		li.load, li.loadAt, li.ownInLoad = re.Load, re.At, max(re.InFlight-1, 0)
	}
	if re.Refused {
		li.halve(re)
		return
	}
	li.updateLatency(re)
	li.adjust(re)
}

// updateLatency updates the latency estimates.
func (li *Limiter) updateLatency(re Response) {
	one := float64(re.UnloadedLatency())
	if li.serviceTime == 0 {
		li.serviceTime, li.recent = time.Duration(one), re.Took
	}
	li.serviceTime += time.Duration(latencyWeight * (one - float64(li.serviceTime)))
	li.recent += time.Duration(recentWeight * float64(re.Took-li.recent))
	if !re.At.Before(li.minUntil) {
		li.minLatency[1], li.minLatency[0] = li.minLatency[0], li.recent
		li.minUntil = re.At.Add(minLatencySpan)
	}
	li.minLatency[0] = min(li.minLatency[0], li.recent)
}

// baseLatency returns the service time of a request without concurrent ones.
func (li *Limiter) baseLatency() time.Duration {
	if !li.loadAt.IsZero() || li.minLatency[0] == 0 {
		return li.serviceTime
	}
	if li.minLatency[1] == 0 {
		return li.minLatency[0]
	}
	return min(li.minLatency[0], li.minLatency[1])
}

// adjust moves the limit towards the target.
func (li *Limiter) adjust(re Response) {
	spent := float64(li.recent)
	usual := float64(li.baseLatency())
	if re.Told {
		usual *= re.Load.slowdown()
		spent = usual * loadFactor(re.Load.Running+re.Load.Waiting, re.slots())
	}
	if spent <= 0 {
		return
	}
	target := float64(re.Target)
	if re.Target <= 0 {
		target = defaultTargetFactor * usual
	}
	li.target = time.Duration(target)
	headroom := max(target, minLoadFactor*usual) / spent
	if headroom >= 1 {
		li.raise(headroom, re)
		return
	}
	// The limit may be far above the requests in flight, and then has no effect; lower those instead.
	limit := float64(re.InFlight)
	if li.limit > 0 {
		limit = min(li.limit, limit+1)
	}
	li.limit = max(limit+gain*(headroom-1)*min(limit, 1), minLimit)
}

// raise raises the limit, and removes it once it exceeds twice the endpoint's slots.
func (li *Limiter) raise(headroom float64, re Response) {
	if li.limit == 0 {
		return
	}
	li.limit += maxGrowth * min(headroom-1, 1) * max(min(li.limit, 1), minLimit)
	if re.Told && re.Load.Waiting == 0 && re.Load.Running < re.slots() {
		li.limit = max(li.limit, 1)
	}
	if li.limit > 2*float64(re.slots()) {
		li.limit = 0
	}
}

// halve halves the limit after a rejection, but only once for requests that were in flight together.
func (li *Limiter) halve(re Response) {
	if li.limit > 0 && re.At.Sub(li.halvedAt) < max(li.recent, re.Took) {
		return
	}
	li.halvedAt = re.At
	limit := float64(max(re.InFlight, 1))
	if li.limit > 0 {
		limit = min(li.limit, limit)
	}
	li.limit = max(limit/2, minLimit)
}

// relax doubles a limit below 1 for each loadTTL without a response, since the endpoint may have
// become idle.
func (li *Limiter) relax(now time.Time) {
	for li.limit > 0 && li.limit < 1 && now.Sub(li.respondedAt) >= loadTTL {
		li.limit = min(2*li.limit, 1)
		li.respondedAt = li.respondedAt.Add(loadTTL)
	}
}

// Available reports whether one more request may be sent to the endpoint.
func (li *Limiter) Available(inFlight, slots int, now time.Time) bool {
	li.relax(now)
	if li.limit == 0 && li.target == 0 {
		return slots <= 0 || inFlight < initialFactor*slots
	}
	if li.limit == 0 {
		headroom := max(float64(li.target), minLoadFactor*float64(li.baseLatency())*li.Slowdown(now))
		return float64(li.ExpectedLatency(inFlight, slots, now)) <= headroom
	}
	whole, part := math.Modf(li.limit)
	if inFlight < int(whole) {
		return true
	}
	return inFlight == int(whole) && part > 0 &&
		now.Sub(li.fractionUsedAt) >= li.fractionInterval(part, inFlight, slots, now)
}

// fractionInterval returns the interval between uses of the fractional part of a limit: a limit of 0.5
// allows a request to be in flight half of the time.
func (li *Limiter) fractionInterval(part float64, inFlight, slots int, now time.Time) time.Duration {
	return time.Duration(float64(li.ExpectedLatency(inFlight, slots, now)) / part)
}

// Sent records that a request is sent to the endpoint; inFlight does not include it.
func (li *Limiter) Sent(inFlight int, now time.Time) {
	if li.limit > 0 && inFlight >= int(li.limit) {
		li.fractionUsedAt = now
	}
}

// ExpectedLatency returns the expected duration of a request sent now, including other senders' requests.
func (li *Limiter) ExpectedLatency(inFlight, slots int, now time.Time) time.Duration {
	return time.Duration(float64(li.baseLatency()) * li.Slowdown(now) * loadFactor(inFlight+li.OthersInFlight(now), slots))
}

// UnloadedLatency returns the duration that few requests exceed if they run without concurrent ones.
func (li *Limiter) UnloadedLatency(now time.Time) time.Duration {
	return time.Duration(latencySpread * float64(li.baseLatency()) * li.Slowdown(now))
}

// LatencyBound returns the duration that few requests sent now exceed.
func (li *Limiter) LatencyBound(inFlight, slots int, now time.Time) time.Duration {
	return li.ExpectedLatency(inFlight, slots, now) +
		time.Duration((latencySpread-1)*float64(li.baseLatency())*li.Slowdown(now))
}

// OthersInFlight returns the estimated number of other senders' requests at the endpoint.
func (li *Limiter) OthersInFlight(now time.Time) int {
	if li.loadAt.IsZero() || now.Sub(li.loadAt) >= loadTTL {
		return 0
	}
	return max(li.load.Running+li.load.Waiting-li.ownInLoad, 0)
}

// ReportedLoad returns the last reported number of requests at the endpoint, or 0 if the report is
// older than rankingTTL.
func (li *Limiter) ReportedLoad(now time.Time) int {
	if now.Sub(li.loadAt) >= rankingTTL {
		return 0
	}
	return li.load.Running + li.load.Waiting
}

// Slowdown returns the current duration of work as a multiple of the normal one. A reported value
// fades to 1 over paceTTL.
func (li *Limiter) Slowdown(now time.Time) float64 {
	age := now.Sub(li.loadAt)
	if li.loadAt.IsZero() || age >= paceTTL {
		return 1
	}
	return 1 + (li.load.slowdown()-1)*(1-float64(age)/float64(paceTTL))
}

// Rate returns how many requests a second the endpoint can answer to the sender.
func (li *Limiter) Rate(inFlight, slots int, now time.Time) float64 {
	expected := li.ExpectedLatency(inFlight, slots, now).Seconds()
	limit := li.limit
	if limit == 0 {
		limit = float64(max(slots, 1))
	}
	return limit / max(expected, time.Millisecond.Seconds())
}

// TotalRate returns how many requests a second the endpoint can answer to all senders.
func (li *Limiter) TotalRate(slots int, now time.Time) float64 {
	return float64(max(slots, 1)) / max(li.baseLatency().Seconds()*li.Slowdown(now), time.Millisecond.Seconds())
}

// Limit returns how many requests the sender may have in flight at the endpoint, or 0 for no limit.
func (li *Limiter) Limit() float64 { return li.limit }

// loadFactor returns the duration of a request that runs concurrently with busy others, as a multiple of its
// duration without them.
func loadFactor(busy, slots int) float64 {
	return max(1, float64(busy+1)/float64(max(slots, 1)))
}
