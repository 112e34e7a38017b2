package cmd

import (
	"context"
	"time"

	"wisteriacroft/lease"
	"wisteriacroft/platform"
	"wisteriacroft/standby"
	"wisteriacroft/step"
)

// markRetryInterval is the interval of attempts to record the state of a retirement.
const markRetryInterval = 300 * time.Millisecond

// retirement returns what makes the process stand by for the scheduler's lease, and gives the lease up if the instance
// is to be retired.
func (ho *host) retirement(sc *step.Scheduler) *standby.Retirement {
	ro := &standby.Roster{Domain: ho.settings.Domain, HeldFunc: sc.IsLeader, Log: ho.log}
	me := &standby.Member{
		Address: ho.settings.PeerAddress, Domain: ho.settings.Domain, Instance: ho.settings.Instance,
		Lease: standby.Lease{
			AbstainFunc: sc.Holder.Abstain, HeldFunc: sc.IsLeader, OtherFunc: sc.Holder.OtherHolder,
			LookupFunc: func(ctx context.Context) (string, error) {
				rec, err := lease.Current(ctx, ho.store, step.LeaseName)
				return rec.Owner, err
			},
			ReleaseFunc: func(ctx context.Context) error { return release(ctx, sc) },
		},
		Log: ho.log, Pool: ho.pool,
	}
	rt := &standby.Retirement{Member: me, Roster: ro}
	rt.WaitingFunc = func() { ho.markRetirement(context.Background(), platform.Retiring) }
	me.RetireFunc = func() { go ho.retire(rt) }
	ho.metrics.NewGauge("wisteriacroft_standbys", func() float64 { return float64(ro.Successors()) })
	ho.metrics.NewGauge("wisteriacroft_idle", func() float64 { return indicator(me.Idle()) })
	return rt
}

// handleRetirement handles a key of the operator's.
func (ho *host) handleRetirement(rt *standby.Retirement, key string) {
	instance, ok := platform.RetiredInstance(key)
	switch {
	case !ok:
	case instance == ho.settings.Instance:
		go ho.retire(rt)
	default:
		rt.Roster.Retire(instance)
	}
}

// retire drains the instance at the operator's request: it gives up the lease, the only state of the instance, and then
// marks the instance as retired.
func (ho *host) retire(rt *standby.Retirement) {
	ctx := context.Background()
	if rt.Run(ctx) {
		ho.markRetirement(ctx, platform.Retired)
	}
}

// markRetirement records the state of the instance's retirement for the operator, and retries until that succeeds.
func (ho *host) markRetirement(ctx context.Context, st platform.RetireState) {
	for {
		err := platform.MarkRetirement(ctx, ho.store, ho.settings.Instance, st)
		ho.log.WithField("error", err).WithField("state", st).Info("recording the state of the retirement")
		if err == nil {
			return
		}
		time.Sleep(markRetryInterval)
	}
}
