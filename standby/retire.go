package standby

import (
	"context"
	"time"
)

const (
	// successorTimeout is how long a process that has released the lease waits for another holder before it
	// acquires the lease again.
	successorTimeout = 3 * time.Second
	// successorInterval is the interval of checks for another holder.
	successorInterval = 50 * time.Millisecond
)

// A Retirement gives up the lease of a process whose instance is to be retired, if another process can hold it.
type Retirement struct {
	Member *Member
	Roster *Roster
	// WaitingFunc is called once if there is no successor yet. It is optional.
	WaitingFunc func()
}

// Run returns true once another process holds the lease and this one won't acquire it again. It returns false if ctx
// ends, or another Run of the member's retirement has begun.
//
// A process that left without a successor would leave the role without a process: added instances can start after
// an operator has asked to retire the former ones.
func (rt *Retirement) Run(ctx context.Context) bool {
	if rt.Member.retiring.Swap(true) {
		return false
	}
	for waiting := false; ctx.Err() == nil; {
		if rt.hasSuccessor() && rt.giveUp(ctx) {
			return true
		}
		if !waiting && rt.WaitingFunc != nil {
			rt.WaitingFunc()
		}
		waiting = true
		sleep(ctx, successorInterval)
	}
	return false
}

// hasSuccessor reports whether another process holds the lease or can acquire it, as far as known.
func (rt *Retirement) hasSuccessor() bool {
	return !rt.Member.Lease.HeldFunc() || rt.Roster.Successors() > 0
}

// giveUp releases the lease and returns true if another process then holds it. If none does, this process may acquire
// the lease again.
func (rt *Retirement) giveUp(ctx context.Context) bool {
	le := &rt.Member.Lease
	le.AbstainFunc(true)
	if err := le.ReleaseFunc(ctx); err != nil {
		rt.Member.Log.WithError(err).Warn("releasing the lease failed; it will expire")
	}
	limited, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	for limited.Err() == nil {
		if rt.isSucceeded(limited) {
			return true
		}
		sleep(limited, successorInterval)
	}
	le.AbstainFunc(false)
	rt.Member.Log.Warn("no other process has acquired the lease, acquiring it again")
	return false
}

// isSucceeded reports whether another process holds the lease and responds. It reads the record after this process has
// stopped acquiring the lease: of two processes that retire at the same time, at most one finds the other holding it.
func (rt *Retirement) isSucceeded(ctx context.Context) bool {
	address, err := rt.Member.lookUp(ctx)
	if err != nil {
		return false
	}
	_, err = rt.Member.report(ctx, address, false)
	return err == nil
}
