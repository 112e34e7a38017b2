package scale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A Share is an amount of work with a deadline.
type Share struct {
	Due  time.Duration // deadline from now; negative if it has passed
	Work time.Duration // time that one slot would need
}

// Work is all open work of a service.
type Work []Share

const (
	// targetUtilization is the target share of used slots. Above it bursts have to wait for
	// slots.
	targetUtilization = 0.8
	// minSpan is the minimum time allowed for work. Earlier deadlines, or missed ones, would
	// require too many endpoints.
	minSpan = 2 * time.Second
)

// Desired returns how many endpoints a service needs to complete its open work by the deadlines.
//
// Work is done in the order of its deadlines, so that all work up to each deadline must fit.
// Running endpoints count from now on, additional ones once they have started.
func (se Service) Desired() int {
	places := targetUtilization * float64(max(se.Places, 1))
	have := se.serving()
	wo := slices.Clone(se.Work)
	slices.SortFunc(wo, func(a, b Share) int { return cmp.Compare(a.Due, b.Due) })
	want, sum := 0, time.Duration(0)
	for _, sh := range wo {
		sum += sh.Work
		span := max(sh.Due, minSpan)
		need := int(math.Ceil(sum.Seconds() / span.Seconds() / places))
		if need > have {
			need = have + se.additional(sum, span, places, have)
		}
		want = max(want, need)
	}
	return want
}

// ScaleDownLimit returns the number of endpoints above which the service is scaled down: Desired
// with Slack added to the load.
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

// additional returns how many more endpoints an amount of work needs within a span.
func (se Service) additional(sum, span time.Duration, places float64, have int) int {
	left := sum.Seconds() - float64(have)*places*span.Seconds()
	helps := span - se.Bounds.startup()
	if helps < minSpan {
		// New endpoints would be too late for this work. Assume that the load continues.
		helps = span
	}
	return int(math.Ceil(left / helps.Seconds() / places))
}

// Spread divides a number of endpoints evenly among failure domains, within the bounds. The first
// domains by name get the remainder.
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
