package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/lease"
	"wisteriacroft/step"
)

// Optional parts of a soak, which depend on the seed.
const (
	crowdPart  = "crowd"  // steps that exceed the capacity
	rivalsPart = "rivals" // customers whose live calls compete for scarce endpoints
	quotaPart  = "quota"  // a quota that changes
	holdsPart  = "holds"  // operators' holds in a quiet run; other runs always have them
)

// parts holds the parts of a run.
type parts struct {
	bounds bool // check bounds that a slow machine can exceed
	names  []string
}

// newParts returns the named parts and, with DrawParts, random ones.
func newParts(opts Options) (*parts, error) {
	pa := &parts{bounds: opts.Bounds, names: opts.Parts}
	rng := newStream(opts.Seed, partsStream)
	known := []string{crowdPart, rivalsPart, quotaPart, holdsPart}
	for _, name := range known[:3] {
		if drawn := rng.IntN(2) == 0; opts.DrawParts && drawn {
			pa.names = append(pa.names, name)
		}
	}
	for _, name := range pa.names {
		if !slices.Contains(known, name) {
			return nil, errors.Newf("unknown part of a soak: %q", name)
		}
	}
	return pa, nil
}

func (pa *parts) has(name string) bool { return slices.Contains(pa.names, name) }

// between returns a random duration between two fractions of a length.
func between(rng *rand.Rand, length time.Duration, from, to float64) time.Duration {
	return time.Duration((from + (to-from)*rng.Float64()) * float64(length))
}

// failoverTime is how long after the loss of the scheduler the bounds for trainers and callers
// don't apply: its lease expires, and another scheduler takes over, loads the stored state
// and receives reports of all engines.
const failoverTime = 8 * time.Second

// loseScheduler kills the scheduler that holds the lease.
func (rn *run) loseScheduler(ctx context.Context, why string) {
	cl := rn.world.store.Memory.Client()
	ctx, cancel := context.WithTimeout(ctx, failoverTime)
	defer cancel()
	for ctx.Err() == nil {
		re, err := lease.Current(ctx, cl, step.LeaseName)
		if err == nil && rn.kill(re.Owner, why) {
			return
		}
		sleep(ctx, storeRetry)
	}
}

// kill kills the program with an address, and records the time. It reports false if there
// is none.
func (rn *run) kill(address, why string) bool {
	for _, pg := range rn.world.programs {
		if ip, _, err := net.SplitHostPort(address); err == nil && ip == pg.ip {
			rn.recordEvent(fmt.Sprintf("kill %s, which holds the lease, %s", pg.name, why))
			pg.signal(syscall.SIGKILL)
			rn.mu.Lock()
			rn.losses = append(rn.losses, time.Now())
			rn.mu.Unlock()
			return true
		}
	}
	return false
}

// nearLoss reports whether the scheduler was lost in a period, or up to failoverTime before it.
func (rn *run) nearLoss(from, to time.Time) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return slices.ContainsFunc(rn.losses, func(at time.Time) bool { return at.Before(to) && at.Add(failoverTime).After(from) })
}

// lostTime returns how much of a period was within failoverTime after a loss of the scheduler.
func (rn *run) lostTime(from, to time.Time) time.Duration {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	var lost time.Duration
	for _, at := range rn.losses {
		begun, ended := maxTime(at, from), at.Add(failoverTime)
		if ended.After(to) {
			ended = to
		}
		if ended.After(begun) {
			lost += ended.Sub(begun)
			from = ended
		}
	}
	return lost
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checksBounds reports whether to check bounds that a slow machine can exceed.
func (rn *run) checksBounds() bool { return rn.opts.Quiet && rn.parts.bounds }
