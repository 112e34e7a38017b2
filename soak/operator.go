package soak

import (
	"context"
	"fmt"
	"time"

	"wisteriacroft/hold"
)

// storeRetry is the pause before a call of the key-value service is retried.
const storeRetry = 100 * time.Millisecond

// runOperator repeatedly drains an engine or holds a customer for a while, and releases
// it, also while the key-value service has faults. No guarantee may be violated meanwhile.
func (rn *run) runOperator(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, operatorStream)
	calm := rn.opts.Quiet && rn.parts.has(holdsPart)
	for end := time.Now().Add(length); (!rn.opts.Quiet || calm) && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
		ta := hold.Target{Kind: hold.Endpoint, Name: rn.world.engines[rng.IntN(len(rn.world.engines))].ID}
		if rng.IntN(2) == 0 {
			ta = hold.Target{Kind: hold.Customer, Name: firstCustomer}
		}
		rn.recordEvent("operator holds " + ta.String())
		rn.operate(ctx, hold.Held, ta)
		hp := holdPeriod{from: time.Now().Add(applyTime), target: ta}
		if calm {
			sleep(ctx, applyTime)
		}
		sleep(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond)
		hp.to = time.Now()
		rn.holds = append(rn.holds, hp)
		rn.operate(ctx, hold.Released, ta)
	}
}

// A holdPeriod is a time in which a hold is certainly in force in a quiet run.
type holdPeriod struct {
	from, to time.Time
	target   hold.Target
}

func (hp holdPeriod) covers(at time.Time) bool { return at.After(hp.from) && at.Before(hp.to) }

// checkHolds checks that in a quiet run nothing of a held customer began, and nothing at a
// draining engine.
func (rn *run) checkHolds() {
	if !rn.opts.Quiet {
		return
	}
	begun := rn.firstRuns()
	for _, hp := range rn.holds {
		switch hp.target.Kind {
		case hold.Customer:
			rn.checkHeldCustomer(hp, begun)
		case hold.Endpoint:
			rn.checkDrainedEngine(hp)
		}
	}
}

// firstRuns returns when each item first began at an engine.
func (rn *run) firstRuns() firstTimes {
	begun := firstTimes{}
	for _, en := range rn.world.engines {
		for _, no := range en.Runs() {
			begun.note(no.ID, no.At)
		}
	}
	return begun
}

// firstTimes holds the time of the first event of each ID.
type firstTimes map[string]time.Time

func (fi firstTimes) note(id string, at time.Time) {
	if first, ok := fi[id]; !ok || at.Before(first) {
		fi[id] = at
	}
}

// checkHeldCustomer checks that no item of a customer began while the customer was on hold.
func (rn *run) checkHeldCustomer(hp holdPeriod, begun firstTimes) {
	for id, at := range begun {
		if customerOf(id) == hp.target.Name && hp.covers(at) {
			rn.addViolation("%s began %s before its customer was released", id, hp.to.Sub(at))
		}
	}
}

// checkDrainedEngine checks that nothing began at an engine while it drained.
func (rn *run) checkDrainedEngine(hp holdPeriod) {
	for _, en := range rn.world.engines {
		for _, no := range en.Runs() {
			if en.ID == hp.target.Name && hp.covers(no.At) {
				rn.addViolation("%s began at %s, which drains", no.ID, en.ID)
			}
		}
	}
}

// operate makes a change of holds, with retries until it succeeds or ctx ends.
func (rn *run) operate(ctx context.Context, ac hold.Action, ta hold.Target) {
	st := hold.Store{Client: rn.world.store.Memory.Client()}
	ch := hold.Change{
		Action: ac, ID: fmt.Sprintf("%s %s at %s", ac, ta, time.Since(rn.begun)),
		Record: hold.Record{At: time.Now().UTC(), By: "operator", Target: ta, Why: "soak"},
	}
	for ctx.Err() == nil {
		if _, err := st.Change(ctx, ch); err == nil {
			return
		}
		sleep(ctx, storeRetry)
	}
}
