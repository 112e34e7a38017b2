package scale

import (
	"maps"
	"slices"
	"time"
)

// Hysteresis of scaling.
const (
	// confirmTime is how long a higher demand must last before it is ordered. A newly submitted
	// step needs many slots only briefly.
	confirmTime = time.Second
	// minRetention and retentionStartups determine how long a lower demand must last before
	// endpoints are removed: several startup times, as an endpoint that is needed again is
	// missing for one.
	minRetention      = 10 * time.Second
	retentionStartups = 4
)

// retention returns how long endpoints that are not needed are kept.
func (bo Bounds) retention() time.Duration { return max(minRetention, retentionStartups*bo.startup()) }

// A sample is the demand at a point in time.
type sample struct {
	at             time.Time
	scaleDownLimit int
	desired        int
}

// A row is the state of a service.
type row struct {
	floor      int                  // minimum of the total target until floorUntil
	floorUntil time.Time            // zero if there is no floor
	samples    []sample             // the oldest first, within the retention
	lastSeen   map[string]time.Time // when endpoints last served, by failure domain
	targets    map[string]int       // last orders by failure domain, or removedTarget
}

// removedTarget is the target of a removed failure domain. If it returns, it is ordered again, as it
// is unknown which order the platform accepted last.
const removedTarget = -1

// A Table computes the orders of all services, with hysteresis. The zero value is empty and ready to
// use.
type Table struct{ rows map[string]*row }

// An Order sets the number of endpoints of a subject.
type Order struct {
	Subject
	From   int `json:"from"` // previous target, or serving endpoints
	Target int `json:"target"`
	Want   int `json:"want"` // current demand of the whole service
}

// Adopt sets the targets ordered by the previous holder, so that a new one doesn't scale down before
// it has observed the load for the retention.
func (ta *Table) Adopt(targets map[Subject]int) {
	ta.rows = nil
	for su, target := range targets {
		ta.row(su.Service).targets[su.Domain] = target
	}
}

func (ta *Table) row(service string) *row {
	if ta.rows == nil {
		ta.rows = map[string]*row{}
	}
	ro := ta.rows[service]
	if ro == nil {
		ro = &row{lastSeen: map[string]time.Time{}, targets: map[string]int{}}
		ta.rows[service] = ro
	}
	return ro
}

// Decide returns the orders that change a target.
//
// The open work fluctuates as steps start and end. So the target is the maximum demand within the
// retention that lasted for confirmTime: it rises soon and falls late, and follows the peaks.
func (ta *Table) Decide(ses []Service, now time.Time) []Order {
	var ors []Order
	known := map[string]bool{}
	for _, se := range ses {
		known[se.Name] = true
		ors = append(ors, ta.decide(se, now)...)
	}
	maps.DeleteFunc(ta.rows, func(service string, _ *row) bool { return !known[service] })
	slices.SortFunc(ors, func(a, b Order) int { return compareSubjects(a.Subject, b.Subject) })
	return ors
}

// decide returns the orders of a service. A service that is held is sampled all the same, so that
// its targets and demand are known once it is released.
func (ta *Table) decide(se Service, now time.Time) []Order {
	if len(se.Domains) == 0 || se.Bounds.Max < max(se.Bounds.Min, 1) {
		return nil // no endpoints known, or invalid bounds
	}
	ro := ta.row(se.Name)
	if se.Unknown {
		ro.reset()
		return nil
	}
	ro.initFloor(se, now)
	want := se.Desired()
	ro.addSample(sample{at: now, scaleDownLimit: se.ScaleDownLimit(), desired: want}, se.Bounds.retention())
	var ors []Order
	domains := ro.recentDomains(se, now)
	ro.dropRemoved(now)
	if se.Held {
		return nil
	}
	for domain, target := range Spread(ro.target(now), domains, se.Bounds) {
		from, ordered := ro.targets[domain]
		returned := ordered && from == removedTarget
		if !ordered || returned {
			from = se.Domains[domain]
		}
		if target != from || returned {
			ors = append(ors, Order{From: from, Subject: Subject{Domain: domain, Service: se.Name}, Target: target, Want: want})
		}
		ro.targets[domain] = target
	}
	return ors
}

// initFloor sets the floor of a service whose load has just become known to its targets, or else its
// serving endpoints.
func (ro *row) initFloor(se Service, now time.Time) {
	if !ro.floorUntil.IsZero() {
		return
	}
	ro.floor, ro.floorUntil = 0, now.Add(se.Bounds.retention())
	for domain, count := range se.Domains {
		if target, ordered := ro.targets[domain]; ordered {
			count = target
		}
		ro.floor += count
	}
}

// reset drops the samples and the floor as the load is unknown. Once it is known again, a new floor
// prevents scaling down as for a new holder.
func (ro *row) reset() { ro.floorUntil, ro.samples = time.Time{}, nil }

// recentDomains returns the failure domains in which a service runs, or ran within the retention.
//
// Without the retention, the part of a failure domain that is unreachable for some seconds would be
// ordered elsewhere, and removed again.
func (ro *row) recentDomains(se Service, now time.Time) []string {
	for domain := range se.Domains {
		ro.lastSeen[domain] = now
	}
	maps.DeleteFunc(ro.lastSeen, func(_ string, at time.Time) bool { return now.Sub(at) > se.Bounds.retention() })
	return slices.Collect(maps.Keys(ro.lastSeen))
}

// dropRemoved drops the targets of failure domains in which the service has not run within the
// retention.
func (ro *row) dropRemoved(now time.Time) {
	if now.Before(ro.floorUntil) {
		return // a failure domain with orders of a previous holder may not have been seen yet
	}
	for domain := range ro.targets {
		if _, ok := ro.lastSeen[domain]; !ok {
			ro.targets[domain] = removedTarget
		}
	}
}

// Removed reports whether a subject's failure domain was removed from its service.
func (ta *Table) Removed(su Subject) bool {
	ro := ta.rows[su.Service]
	return ro != nil && ro.targets[su.Domain] == removedTarget
}

// addSample adds a sample, and drops those older than the retention.
func (ro *row) addSample(sa sample, retention time.Duration) {
	ro.samples = append(ro.samples, sa)
	ro.samples = slices.DeleteFunc(ro.samples, func(old sample) bool { return sa.at.Sub(old.at) > retention })
}

// target returns the total target of the service: the sustained demand, or the current total if it
// is higher and within the scale-down limit.
func (ro *row) target(now time.Time) int {
	ordered := 0
	for _, target := range ro.targets {
		ordered += max(target, 0)
	}
	desired := ro.sustained(now, func(sa sample) int { return sa.desired })
	limit := ro.sustained(now, func(sa sample) int { return sa.scaleDownLimit })
	return max(desired, min(limit, ordered))
}

// sustained returns the highest value of the samples that lasted for confirmTime, or the floor if
// that is higher.
func (ro *row) sustained(now time.Time, valueFunc func(sa sample) int) int {
	most := 0
	if now.Before(ro.floorUntil) {
		most = ro.floor
	}
	for i, sa := range ro.samples {
		least := valueFunc(sa)
		for _, next := range ro.samples[i+1:] {
			least = min(least, valueFunc(next))
			// Samples are rarely exactly confirmTime apart, so the span ends with the first
			// that is at least as late.
			if next.at.Sub(sa.at) >= confirmTime {
				most = max(most, least)
				break
			}
		}
	}
	return most
}
