package scale

import (
	"maps"
	"slices"
	"time"
)

// Times of holding a number steady.
const (
	// sureFor is for how long more must be wanted before it is ordered: a step that is
	// handed in wants all its places at once, and has most of them a moment later.
	sureFor = time.Second
	// leastHold and holdStartups say for how long fewer must be wanted before endpoints are
	// given away. An endpoint that is needed again is missing for the time that it
	// takes to serve, so that it is kept for several of these.
	leastHold    = 10 * time.Second
	holdStartups = 4
)

// hold returns for how long endpoints are kept that are not needed.
func (bo Bounds) hold() time.Duration { return max(leastHold, holdStartups*bo.startup()) }

// A sample is how many endpoints were wanted at a moment.
type sample struct {
	at   time.Time
	keep int // as Service.ScaleDownLimit returned
	want int // as Service.Desired returned
}

// A row is what is remembered of a service.
type row struct {
	floor      int                  // no fewer are ordered in all until floorUntil
	floorUntil time.Time            // zero if there is no floor
	samples    []sample             // the oldest first, none older than what is held
	seen       map[string]time.Time // when it last ran in a failure domain
	targets    map[string]int       // ordered last, by failure domain, or forgotten
}

// forgotten stands for the target of a failure domain that is gone. Should it come back,
// it is ordered anew, since no one knows what the platform took last.
const forgotten = -1

// A Table holds the numbers of all services steady. The zero Table is empty and ready to
// use.
type Table struct{ rows map[string]*row }

// An Order is how many endpoints a subject is to have.
type Order struct {
	Subject
	From   int `json:"from"` // that it was to have before, or has
	Target int `json:"target"`
	Want   int `json:"want"` // of the whole service, at this moment
}

// Adopt takes in what an earlier holder ordered, so that a new one gives nothing away
// before it has seen the load for as long as any other.
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
		ro = &row{seen: map[string]time.Time{}, targets: map[string]int{}}
		ta.rows[service] = ro
	}
	return ro
}

// Decide returns the orders that make a difference.
//
// Load pattern: steps come and end every second, so that the open work goes up and down
// around what the endpoints can do. The number therefore has hysteresis: it is the most
// that was wanted for sureFor without a break, within the hold. So it rises soon and falls
// late; endpoints serve the peaks of such a load, and don't come and go with it.
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

// decide returns the orders of a service. One that is held is watched like any other:
// once it is released, it is known what was ordered and what was wanted meanwhile.
func (ta *Table) decide(se Service, now time.Time) []Order {
	if len(se.Domains) == 0 || se.Bounds.Max < max(se.Bounds.Min, 1) {
		return nil // nothing is known of it, or the bounds allow nothing
	}
	ro := ta.row(se.Name)
	if se.Unknown {
		ro.doubt()
		return nil
	}
	ro.begin(se, now)
	want := se.Desired()
	ro.note(sample{at: now, keep: se.ScaleDownLimit(), want: want}, se.Bounds.hold())
	var ors []Order
	domains := ro.domains(se, now)
	ro.forget(now)
	if se.Held {
		return nil
	}
	for domain, target := range Spread(ro.number(now), domains, se.Bounds) {
		from, ordered := ro.targets[domain]
		back := ordered && from == forgotten
		if !ordered || back {
			from = se.Domains[domain]
		}
		if target != from || back {
			ors = append(ors, Order{From: from, Subject: Subject{Domain: domain, Service: se.Name}, Target: target, Want: want})
		}
		ro.targets[domain] = target
	}
	return ors
}

// begin sets the floor of a service that has just become known: what is ordered, or
// there.
func (ro *row) begin(se Service, now time.Time) {
	if !ro.floorUntil.IsZero() {
		return
	}
	ro.floor, ro.floorUntil = 0, now.Add(se.Bounds.hold())
	for domain, count := range se.Domains {
		if target, ordered := ro.targets[domain]; ordered {
			count = target
		}
		ro.floor += count
	}
}

// doubt takes in that the load is not known. Once it is, nothing is given away before it
// was seen for as long as by a new holder.
func (ro *row) doubt() { ro.floorUntil, ro.samples = time.Time{}, nil }

// domains returns the failure domains in which a service runs, or ran of late.
//
// A failure domain that is dark for some seconds comes back with its endpoints. Forgotten
// at once, its part would be ordered elsewhere, and given away again.
func (ro *row) domains(se Service, now time.Time) []string {
	for domain := range se.Domains {
		ro.seen[domain] = now
	}
	maps.DeleteFunc(ro.seen, func(_ string, at time.Time) bool { return now.Sub(at) > se.Bounds.hold() })
	return slices.Collect(maps.Keys(ro.seen))
}

// forget drops the targets of failure domains in which the service did not run for long.
func (ro *row) forget(now time.Time) {
	if now.Before(ro.floorUntil) {
		return // one that an earlier holder ordered may not have been seen yet
	}
	for domain := range ro.targets {
		if _, ok := ro.seen[domain]; !ok {
			ro.targets[domain] = forgotten
		}
	}
}

// Removed reports whether a subject's failure domain is gone from its service.
func (ta *Table) Removed(su Subject) bool {
	ro := ta.rows[su.Service]
	return ro != nil && ro.targets[su.Domain] == forgotten
}

// note takes a sample in, and drops what is older than what is held.
func (ro *row) note(sa sample, hold time.Duration) {
	ro.samples = append(ro.samples, sa)
	ro.samples = slices.DeleteFunc(ro.samples, func(old sample) bool { return sa.at.Sub(old.at) > hold })
}

// number returns how many endpoints the service is to have: as many as were wanted, or as
// many as are ordered while they are to be kept.
func (ro *row) number(now time.Time) int {
	ordered := 0
	for _, target := range ro.targets {
		ordered += max(target, 0)
	}
	want := ro.steady(now, func(sa sample) int { return sa.want })
	keep := ro.steady(now, func(sa sample) int { return sa.keep })
	return max(want, min(keep, ordered))
}

// steady returns the most that was asked for as long as it takes to be sure, within
// what is remembered.
func (ro *row) steady(now time.Time, asked func(sa sample) int) int {
	most := 0
	if now.Before(ro.floorUntil) {
		most = ro.floor
	}
	for i, sa := range ro.samples {
		least := asked(sa)
		for _, next := range ro.samples[i+1:] {
			least = min(least, asked(next))
			// Looks are seldom exactly sureFor apart: the first that is at least as late
			// ends the span, and counts.
			if next.at.Sub(sa.at) >= sureFor {
				most = max(most, least)
				break
			}
		}
	}
	return most
}
