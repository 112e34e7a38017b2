package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Overload by steps: for a part of the run, a trainer of another customer and model submits
// several concurrent steps that together exceed the engines' capacity several times.
const (
	crowdCustomer = "cleo"
	crowdModel    = "other-model"
	crowdRoute    = "crowd"
	crowdPrefix   = "crowd-" // of the ids of steps and items
	crowdSteps    = 3        // open at once
	crowdSize     = 4        // of a group
	// crowdGap is the time between two events of any item in a run with this part. Each of
	// this trainer's items has crowdEvents events, and occupies a slot for the product of both.
	crowdGap    = 40 * time.Millisecond
	crowdEvents = 60
	// crowdDue is when the trainer's steps are due, and crowdTimeout how long it reads a step.
	crowdDue     = 4 * time.Second
	crowdTimeout = 6 * time.Second
	// crowdGroups is the number of groups in a step for each engine. The open steps together
	// then have several times the items that the engines can complete within crowdDue.
	crowdGroups = 3
)

// runCrowd runs a trainer that exceeds the capacity for a part of the run, and kills the
// scheduler in that time.
func (rn *run) runCrowd(ctx context.Context, length time.Duration) {
	if !rn.parts.has(crowdPart) {
		return
	}
	rng := newStream(rn.opts.Seed, crowdStream)
	from, to := between(rng, length, 0.1, 0.2), between(rng, length, 0.7, 0.9)
	lossAt := from + between(rng, to-from, 0.3, 0.6)
	sleep(ctx, from)
	begun := time.Now()
	rn.recordEvent("steps beyond capacity")
	ctx, cancel := context.WithTimeout(ctx, to-from)
	defer cancel()
	var lanes sync.WaitGroup
	for i := range crowdSteps {
		lanes.Go(func() { rn.trainCrowd(ctx, i) })
	}
	sleep(ctx, lossAt-from)
	if ctx.Err() == nil {
		rn.loseScheduler(ctx, "during steps beyond capacity")
	}
	lanes.Wait()
	rn.recordEvent("no more steps beyond capacity")
	rn.crowdTime = [2]time.Time{begun, time.Now()}
}

// trainCrowd submits steps one by one. It also ends the last one when ctx ends.
func (rn *run) trainCrowd(ctx context.Context, lane int) {
	cl := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for number := 0; ctx.Err() == nil; number++ {
		ta := &task{
			customer: crowdCustomer, groups: crowdGroups * rn.opts.Engines, id: fmt.Sprintf("%s%d-%d", crowdPrefix, lane, number),
			minVersion: 1, model: crowdModel, number: number, timeout: crowdTimeout, route: "/" + crowdRoute + "/", size: crowdSize,
		}
		rn.trainOnce(context.WithoutCancel(ctx), cl, ta)
		if lane == 0 && ctx.Err() == nil {
			rn.world.operator().NameVersion(ctx, crowdModel, uint64(number+2))
		}
	}
}

// maxStarvation is how long a trainer may get no group: after twice the time of a step it has
// priority, and gets a group within another.
const maxStarvation = 3 * crowdDue

// minKeptRatio is the part of its usual goodput that a customer within its share must keep
// beside one that far exceeds its own.
const minKeptRatio = 0.9

// checkCrowd checks which groups trainers got during the overload by steps.
func (rn *run) checkCrowd() {
	if !rn.checksBounds() || !rn.parts.has(crowdPart) {
		return
	}
	rn.checkStarvation(crowdPrefix)
	rn.checkStarvation("step-")
	beside, some := rn.inTime(true)
	alone, others := rn.inTime(false)
	rn.report.InTime = [2]float64{beside, alone}
	if some && others && beside < minKeptRatio*alone {
		rn.addViolation("%.2f of the groups of %s were in time beside steps beyond the room, and %.2f without", beside, firstCustomer, alone)
	}
}

// checkStarvation checks for how long a trainer got no group.
func (rn *run) checkStarvation(prefix string) {
	times := []time.Time{rn.crowdTime[0], rn.crowdTime[1]}
	for _, ta := range rn.tasks {
		for _, at := range ta.completedAt {
			if strings.HasPrefix(ta.id, prefix) && at.After(times[0]) && at.Before(times[1]) {
				times = append(times, at)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i, at := range times[1:] {
		nothing := at.Sub(times[i]) - rn.lostTime(times[i], at)
		rn.report.Nothing = max(rn.report.Nothing, nothing.Seconds())
		if nothing > maxStarvation {
			rn.addViolation("trainer of %s got nothing for %s", prefix, nothing)
		}
	}
}

// inTime returns the fraction of the first customer's groups that were in time: of the steps that
// it submitted during the overload, or of all others. Steps near a loss of the scheduler
// don't count; some reports whether any step counts.
func (rn *run) inTime(beside bool) (part float64, some bool) {
	good, all := 0, 0
	for _, ta := range rn.tasks {
		due := ta.submittedAt.Add(stepDue)
		if !ta.scored || rn.nearLoss(ta.submittedAt, ta.completedBy(due)) {
			continue
		}
		if crowded := ta.submittedAt.After(rn.crowdTime[0]) && ta.submittedAt.Before(rn.crowdTime[1]); crowded != beside {
			continue
		}
		all += ta.groups
		for _, at := range ta.completedAt {
			if at.Before(due) {
				good++
			}
		}
	}
	return float64(good) / float64(max(all, 1)), all > 0
}

// completedBy returns when the step was complete, or due if it was not complete by then.
func (ta *task) completedBy(due time.Time) time.Time {
	var last time.Time
	for _, at := range ta.completedAt {
		last = maxTime(last, at)
	}
	if len(ta.completedAt) < ta.groups || last.After(due) {
		return due
	}
	return last
}
