package cmd

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"

	"wisteriacroft/allocation"
	"wisteriacroft/directory"
	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/leader"
	"wisteriacroft/lease"
	"wisteriacroft/peer"
	"wisteriacroft/platform"
	"wisteriacroft/scale"
	"wisteriacroft/step"
	"wisteriacroft/usage"
)

const (
	// leaseTTL is the TTL of the scheduler's lease. It is twice the minimum of the key-value service, so
	// that one renewal may fail.
	leaseTTL = 2 * time.Second
	// probeInterval is how often a scheduler retries the key-value service during an outage. It
	// bounds the delay until the scheduler notices the end of the outage.
	probeInterval = 100 * time.Millisecond
	// standbyPatience is how long a standby waits for its feeder before it feeds entries in its place. It
	// is shorter than feederTimeout, so that no entry has to read from the key-value service.
	standbyPatience = 300 * time.Millisecond
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = time.Second
)

// A PlatformSchedulerCmd runs a scheduler on the platform.
type PlatformSchedulerCmd struct{ PlatformFlags }

// Run serves until ctx is done.
func (pc *PlatformSchedulerCmd) Run(ctx context.Context, hangups Hangups, out Output) error {
	build := func(ho *host) fx.Option { return fx.Invoke(ho.startScheduler) }
	return pc.serve(ctx, platformRole{build: build, hangups: hangups, name: "scheduler", out: out})
}

// startScheduler adds a scheduler's parts to the app.
func (ho *host) startScheduler(lc fx.Lifecycle) {
	fw := ho.forwarder()
	sc := &step.Scheduler{
		CallFunc: fw.Call, Directory: ho.directory,
		Holder: &lease.Holder{
			Client: ho.store, Follow: true, Log: ho.log, Name: step.LeaseName, Owner: ho.settings.PeerAddress,
			ProbeEvery: probeInterval, TTL: leaseTTL,
		},
		Holds: &hold.Store{Client: ho.store}, Keep: ho.settings.KeepResults, Keeper: &step.Store{Client: ho.store, Log: ho.log}, Log: ho.log,
		Metrics:  ho.metrics,
		PeerPort: ho.settings.PeerPort, Pool: ho.pool,
	}
	sc.Holder.SuspectFunc = sc.IsDead
	var ps peer.Server
	sc.Register(&ps)
	tasks := []func(context.Context){sc.Run, expire(fw), ho.saveQuarantine()}
	tasks = append(tasks, ho.reportUsage(sc, &ps)...)
	la := &scale.LoadAggregator{}
	al := &allocation.Allocator{Census: la, Log: ho.log, Metrics: ho.metrics, StandingFunc: sc.Holder.Held, WeightsFunc: ho.directory.Weights}
	al.Register(&ps)
	sc.LiveFunc = al.Parts
	ts := &allocation.TokenServer{
		Metrics: ho.metrics, Overshoot: ho.settings.QuotaOvershoot, QuotaFunc: ho.directory.Quota, StandingFunc: sc.Holder.Held,
	}
	ts.Register(&ps)
	tasks = append(tasks, ho.scaleEndpoints(&ps, &loadView{aggregator: la, directory: ho.directory, forwarder: fw, scheduler: sc})...)
	fo := ho.follower(sc.IsLeader)
	rt := ho.retirement(sc)
	rt.Member.Tasks = append(tasks, fo.Run, rt.Roster.Run)
	rt.Roster.Register(&ps)
	fo.Address, fo.HolderFunc, fo.Patience = ho.settings.PeerAddress, rt.Member.Holder, standbyPatience
	fo.Own = platform.RetireKey(ho.settings.Instance)
	ho.metrics.NewGauge("wisteriacroft_feed_substitute", func() float64 { return indicator(fo.Substitutes()) })
	ho.metrics.NewGauge("wisteriacroft_exchange_lateness_seconds", func() float64 { return sc.ExchangeLateness().Seconds() })
	directory.RegisterFeed(&ps, fo, uuid.NewString())
	fo.OperatorFunc = func(it keyvalue.Item) { ho.handleRetirement(rt, it.Key) }
	background(lc, rt.Member.Run)
	ho.serveMetrics(lc)
	ho.servePeers(lc, &ps)
	// The scheduler stops first, so that another one takes over while this process still
	// responds to calls.
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		sc.Holder.Abstain(true)
		return release(ctx, sc)
	}})
}

// reportUsage returns the tasks that collect the counts of entries, and report them while the process holds the
// scheduler's lease.
func (ho *host) reportUsage(sc *step.Scheduler, ps *peer.Server) []func(context.Context) {
	if ho.settings.UsageAddress == "" {
		return nil
	}
	co := &usage.Collector{
		Client: ho.store, FenceFunc: sc.Holder.Fence, Log: ho.log, Metrics: ho.metrics, Overlap: ho.settings.UsageOverlap,
		Owner: ho.settings.PeerAddress, SendFunc: platform.NewUsageSender(ho.settings.UsageAddress, ho.settings.Instance),
		StandingFunc: sc.Holder.Held, Window: ho.settings.UsageWindow,
	}
	sc.WallFunc = co.AddClockSample
	co.Register(ps)
	return []func(context.Context){co.Run}
}

// scaleEndpoints returns the tasks that send scaling orders by the load of steps and entries while the process
// holds the scheduler's lease.
func (ho *host) scaleEndpoints(ps *peer.Server, lv *loadView) []func(context.Context) {
	if ho.settings.ScaleAddress == "" {
		return nil
	}
	sc := &scale.Scaler{
		Census: lv.aggregator,
		HeldFunc: func(service string) bool {
			_, held := ho.directory.Holds().Service(service)
			return held
		},
		Log: ho.log, Metrics: ho.metrics, SendFunc: platform.NewScaleSender(ho.settings.ScaleAddress, ho.settings.Instance),
		ServicesFunc: lv.services,
		Tenure: &leader.Term[scale.Record]{
			Client: ho.store, FenceFunc: lv.scheduler.Holder.Fence, Overlap: ho.settings.ScaleOverlap, Owner: ho.settings.PeerAddress,
			StandingFunc: lv.scheduler.Holder.Held,
		},
	}
	sc.Register(ps)
	return []func(context.Context){sc.Run}
}

// release releases the lease, so that another scheduler can acquire it at once.
func release(ctx context.Context, sc *step.Scheduler) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return sc.Holder.Release(ctx)
}

// indicator returns the value of a gauge that shows whether something holds.
func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
