package scale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A Share is work that is due together: how long one place would take for all of it.
type Share struct {
	Due  time.Duration // from now; what is late already is due at once
	Work time.Duration
}

// Work is all open work of a service.
type Work []Share

const (
	// fullPart is the part of its places that an endpoint is meant to have taken: beyond
	// it, work that comes in bursts waits for places though there are enough on the mean.
	fullPart = 0.8
	// leastTime is the shortest time in which work is meant to be done. What is due
	// sooner, or is late, would ask for more endpoints than its lateness is worth.
	leastTime = 2 * time.Second
)

// Desired returns how many endpoints the open work of a service needs to be done when due.
//
// Work that is due later leaves its places to what is due sooner, so that for each due
// time all that is due until then must fit. Endpoints that are there work from now on,
// others only once they have started: what is due before then is no reason for more.
func (se Service) Desired() int {
	places := fullPart * float64(max(se.Places, 1))
	have := se.serving()
	wo := slices.Clone(se.Work)
	slices.SortFunc(wo, func(a, b Share) int { return cmp.Compare(a.Due, b.Due) })
	want, sum := 0, time.Duration(0)
	for _, sh := range wo {
		sum += sh.Work
		span := max(sh.Due, leastTime)
		need := int(math.Ceil(sum.Seconds() / span.Seconds() / places))
		if need > have {
			need = have + se.more(sum, span, places, have)
		}
		want = max(want, need)
	}
	return want
}

// ScaleDownLimit returns how many endpoints the service needs before some are given away.
func (se Service) ScaleDownLimit() int {
	if se.Slack == 0 {
		return se.Desired()
	}
	se.Work = slices.Clone(se.Work)
	for i := range se.Work {
		se.Work[i].Work += time.Duration(se.Slack * float64(se.Work[i].Work))
	}
	return se.Desired()
}

// more returns how many endpoints beyond those that are there a sum of work needs within
// a span.
func (se Service) more(sum, span time.Duration, places float64, have int) int {
	left := sum.Seconds() - float64(have)*places*span.Seconds()
	helps := span - se.Bounds.startup()
	if helps < leastTime {
		// Nothing that is ordered now comes in time. As much work as that will be open
		// again soon, and is worth what its rate asks for.
		helps = span
	}
	return int(math.Ceil(left / helps.Seconds() / places))
}

// Spread gives each failure domain its part of a number of endpoints: evenly, the first
// by name one more, within the bounds.
func Spread(want int, domains []string, bo Bounds) map[string]int {
	names := slices.Sorted(slices.Values(domains))
	parts := map[string]int{}
	for i, name := range names {
		part := want / len(names)
		if i < want%len(names) {
			part++
		}
		parts[name] = bo.clamp(part)
	}
	return parts
}
