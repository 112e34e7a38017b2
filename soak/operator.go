package soak

import (
	"context"
	"fmt"
	"time"

	"wisteriacroft/hold"
)

// storeRetry is the pause before a call of the key-value service is made again.
const storeRetry = 100 * time.Millisecond

// holdAndDrain has an operator drain an engine or hold a customer for a while, and release
// it, whatever faults the key-value service has. What is held waits, and what is refused
// has not run: no promise may break for it.
func (rn *run) holdAndDrain(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, operatorStream)
	calm := rn.opts.Quiet && rn.parts.has(holdsPart)
	for end := time.Now().Add(length); (!rn.opts.Quiet || calm) && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
		ta := hold.Target{Kind: hold.Endpoint, Name: rn.world.engines[rng.IntN(len(rn.world.engines))].ID}
		if rng.IntN(2) == 0 {
			ta = hold.Target{Kind: hold.Customer, Name: firstCustomer}
		}
		rn.note("operator holds " + ta.String())
		rn.operate(ctx, hold.Held, ta)
		ht := heldTime{from: time.Now().Add(forceTime), target: ta}
		if calm {
			sleep(ctx, forceTime)
		}
		sleep(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond)
		ht.to = time.Now()
		rn.holds = append(rn.holds, ht)
		rn.operate(ctx, hold.Released, ta)
	}
}

// A heldTime is from when until when an operator's word is surely in force, in calm.
type heldTime struct {
	from, to time.Time
	target   hold.Target
}

func (ht heldTime) covers(at time.Time) bool { return at.After(ht.from) && at.Before(ht.to) }

// judgeHolds checks that in calm nothing began that was held, nor at an engine that drained.
func (rn *run) judgeHolds() {
	if !rn.opts.Quiet {
		return
	}
	begun := rn.firstRuns()
	for _, ht := range rn.holds {
		switch ht.target.Kind {
		case hold.Customer:
			rn.judgeHeld(ht, begun)
		case hold.Endpoint:
			rn.judgeDrained(ht)
		}
	}
}

// firstRuns returns when the engines first began each item.
func (rn *run) firstRuns() firsts {
	begun := firsts{}
	for _, en := range rn.world.engines {
		for _, no := range en.Notes() {
			begun.note(no.ID, no.At)
		}
	}
	return begun
}

// firsts say when something first happened, by the ID that it happened to.
type firsts map[string]time.Time

func (fi firsts) note(id string, at time.Time) {
	if first, ok := fi[id]; !ok || at.Before(first) {
		fi[id] = at
	}
}

// judgeHeld checks that no item of a customer began while the customer was held.
func (rn *run) judgeHeld(ht heldTime, begun firsts) {
	for id, at := range begun {
		if customerOf(id) == ht.target.Name && ht.covers(at) {
			rn.violate("%s began %s before its customer was released", id, ht.to.Sub(at))
		}
	}
}

// judgeDrained checks that nothing began at an engine while it drained.
func (rn *run) judgeDrained(ht heldTime) {
	for _, en := range rn.world.engines {
		for _, no := range en.Notes() {
			if en.ID == ht.target.Name && ht.covers(no.At) {
				rn.violate("%s began at %s, which drains", no.ID, en.ID)
			}
		}
	}
}

// operate makes a change, again until it is made.
func (rn *run) operate(ctx context.Context, ac hold.Action, ta hold.Target) {
	ke := hold.Store{Client: rn.world.store.Memory.Client()}
	ch := hold.Change{
		Action: ac, ID: fmt.Sprintf("%s %s at %s", ac, ta, time.Since(rn.begun)),
		Record: hold.Record{At: time.Now().UTC(), By: "operator", Target: ta, Why: "soak"},
	}
	for ctx.Err() == nil {
		if _, err := ke.Change(ctx, ch); err == nil {
			return
		}
		sleep(ctx, storeRetry)
	}
}
