package standby

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/peer"
)

const (
	// reportTimeout bounds one report.
	reportTimeout = reportWait + time.Second
	// retryPause is the mean pause after a failed report.
	retryPause = 500 * time.Millisecond
	// maxFailures is how many reports of an idle process to the holder may fail, one after the other, before
	// it stands by.
	maxFailures = 4
)

// A Member is a process that stands by for the lease, or is idle, as the holder of the lease assigns. A process that
// starts, or finds no holder, stands by. Set the exported fields before use.
type Member struct {
	Address  string // IP:port of this process
	Domain   string // its failure domain
	Instance string
	Lease    Lease
	Log      *logrus.Entry
	Pool     *peer.Pool
	// RetireFunc is called, perhaps repeatedly, when an operator asks to retire the instance.
	RetireFunc func()
	// Tasks run while the process stands by or holds the lease, each until its ctx ends.
	Tasks []func(ctx context.Context)

	holder   atomic.Pointer[string] // address, as an idle process knows it
	idle     atomic.Bool
	retiring atomic.Bool
}

// A Lease is the lease that processes stand by for.
type Lease struct {
	// AbstainFunc sets whether this process acquires the lease.
	AbstainFunc func(abstain bool)
	// HeldFunc reports whether this process holds the lease.
	HeldFunc func() bool
	// LookupFunc reads the holder's address, or returns keyvalue.ErrNotFound.
	LookupFunc func(ctx context.Context) (string, error)
	// OtherFunc returns the address of another process that holds the lease, as this process knows it while it stands
	// by, or "".
	OtherFunc func() string
	// ReleaseFunc releases the lease, if it is held. No acquisition may be under way when it returns.
	ReleaseFunc func(ctx context.Context) error
}

// Run stands by or is idle until ctx ends.
func (me *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		me.standBy(ctx)
		me.beIdle(ctx)
	}
}

// Idle reports whether the process is idle.
func (me *Member) Idle() bool { return me.idle.Load() }

// Holder returns the address of another process that holds the lease, as far as known, or "".
func (me *Member) Holder() string {
	if known := me.holder.Load(); me.Idle() && known != nil {
		return *known
	}
	return me.Lease.OtherFunc()
}

// standBy runs the tasks until the holder doesn't need the process, or ctx ends.
func (me *Member) standBy(ctx context.Context) {
	sub, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, run := range me.Tasks {
		wg.Go(func() { run(sub) })
	}
	me.reportWhile(ctx, true)
	cancel()
	wg.Wait()
}

// beIdle waits until the holder needs the process, or there is none, or ctx ends.
func (me *Member) beIdle(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	me.idle.Store(true)
	defer me.idle.Store(false)
	me.Log.WithField("holder", me.Holder()).Info("idle, the lease has enough standbys")
	me.reportWhile(ctx, false)
	me.Log.WithField("holder", me.Holder()).Info("standing by for the lease")
}

// reportWhile reports to the holder while the process has to do what it does: to stand by, or to be idle. An idle process
// also returns if the lease is vacant.
func (me *Member) reportWhile(ctx context.Context, standing bool) {
	failures := 0
	for ctx.Err() == nil {
		as, err := me.report(ctx, me.currentHolder(standing), standing)
		if err != nil {
			pause(ctx)
			if !standing && me.isVacant(ctx, &failures) {
				return
			}
			continue
		}
		failures = 0
		if as.Retire {
			me.RetireFunc()
		}
		switch {
		case me.retiring.Load():
			pause(ctx)
		case as.StandBy != standing && !me.Lease.HeldFunc():
			return
		}
	}
}

// currentHolder returns the address of the holder, as this process knows it. An idle process doesn't follow the lease.
func (me *Member) currentHolder(standing bool) string {
	if standing {
		address := me.Lease.OtherFunc()
		me.holder.Store(&address)
	}
	return *me.holder.Load()
}

// isVacant looks for the holder after an idle process couldn't report to it, and counts its failures. It reports whether the
// lease has no holder, or one that can't be reached. While the key-value service is unavailable, neither is known.
func (me *Member) isVacant(ctx context.Context, failures *int) bool {
	address, err := me.lookUp(ctx)
	switch {
	case errors.Is(err, keyvalue.ErrNotFound) || err == nil && address == me.Address:
		return true
	case err != nil:
		return false
	}
	*failures++
	me.holder.Store(&address)
	return *failures >= maxFailures
}

// lookupTimeout bounds one lookup of the holder.
const lookupTimeout = 800 * time.Millisecond

func (me *Member) lookUp(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return me.Lease.LookupFunc(ctx)
}

// report reports to the holder.
func (me *Member) report(ctx context.Context, holder string, standing bool) (Assignment, error) {
	if holder == "" || holder == me.Address {
		return Assignment{}, errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return peer.Call[Report, Assignment](ctx, me.Pool, holder, reportMethod, Report{
		Address: me.Address, Domain: me.Domain, Instance: me.Instance, Retiring: me.retiring.Load(), Standing: standing,
	})
}

// pause waits for retryPause on the mean, so that processes don't call all at once.
func pause(ctx context.Context) { sleep(ctx, retryPause/2+rand.N(retryPause)) }

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
