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
	// leaseTime is how long a scheduler that is gone keeps others from taking
	// its place. Twice the least that the service grants: one renewal may be
	// lost.
	leaseTime = 2 * time.Second
	// probeEvery is how often a scheduler asks for its lease while the service does
	// not answer: by how much later than it could it learns of the service's return.
	probeEvery = 100 * time.Millisecond
	// releaseTime bounds giving the lease up.
	releaseTime = time.Second
	// markEvery is how often a mark that an instance is empty is tried again.
	markEvery = 300 * time.Millisecond
)

// A PlatformSchedulerCmd runs a scheduler on the platform.
type PlatformSchedulerCmd struct{ PlatformFlags }

// Run serves until ctx ends.
func (pc *PlatformSchedulerCmd) Run(ctx context.Context, out Output) error {
	return pc.serve(ctx, out, "scheduler", func(ho *host) fx.Option { return fx.Invoke(ho.startScheduler) })
}

// startScheduler builds a scheduler.
func (ho *host) startScheduler(lc fx.Lifecycle) {
	fw := ho.forwarder()
	sc := &step.Scheduler{
		CallFunc: fw.Call, Directory: ho.directory,
		Holder: &lease.Holder{
			Client: ho.store, Follow: true, Log: ho.log, Name: step.LeaseName, Owner: ho.settings.PeerAddress,
			ProbeEvery: probeEvery, TTL: leaseTime,
		},
		Holds: &hold.Store{Client: ho.store}, Keep: ho.settings.KeepResults, Keeper: &step.Store{Client: ho.store, Log: ho.log}, Log: ho.log,
		Metrics:  ho.metrics,
		PeerPort: ho.settings.PeerPort, Pool: ho.pool, Quarantine: ho.requests,
	}
	sc.Holder.SuspectFunc = sc.IsDead
	var ps peer.Server
	sc.Register(&ps)
	ho.reportUsage(lc, sc, &ps)
	ce := &scale.LoadAggregator{}
	al := &allocation.Allocator{Census: ce, Log: ho.log, Metrics: ho.metrics, StandingFunc: sc.Holder.Held, WeightsFunc: ho.directory.Weights}
	al.Register(&ps)
	sc.LiveFunc = al.Parts
	gr := &allocation.TokenServer{
		Metrics: ho.metrics, Overshoot: ho.settings.QuotaOvershoot, QuotaFunc: ho.directory.Quota, StandingFunc: sc.Holder.Held,
	}
	gr.Register(&ps)
	ho.orderEndpoints(lc, &ps, &loadView{census: ce, directory: ho.directory, forwarder: fw, scheduler: sc})
	fo := ho.follower(sc.IsLeader)
	fo.Own = platform.RetireKey(ho.settings.Instance)
	directory.RegisterFeed(&ps, fo, uuid.NewString())
	fo.OperatorFunc = func(it keyvalue.Item) {
		if it.Key == fo.Own {
			go ho.retire(sc)
		}
	}
	background(lc, sc.Run)
	background(lc, fo.Run)
	background(lc, expire(fw))
	background(lc, ho.keepQuarantine())
	ho.serveMetrics(lc)
	ho.servePeers(lc, &ps)
	// Stops first, so that another scheduler takes over while this one still
	// answers.
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		sc.StepDown()
		return release(ctx, sc)
	}})
}

// reportUsage gathers what entries count, and reports it while the process is the
// scheduler: one lease for both, so that one process is looked for and one may be lost.
func (ho *host) reportUsage(lc fx.Lifecycle, sc *step.Scheduler, ps *peer.Server) {
	if ho.settings.UsageAddress == "" {
		return
	}
	uh := &usage.Collector{
		Client: ho.store, FenceFunc: sc.Holder.Fence, Log: ho.log, Metrics: ho.metrics, Overlap: ho.settings.UsageOverlap,
		Owner: ho.settings.PeerAddress, SendFunc: platform.NewUsageSender(ho.settings.UsageAddress, ho.settings.Instance),
		StandingFunc: sc.Holder.Held, Window: ho.settings.UsageWindow,
	}
	sc.WallFunc = uh.AddClockSample
	uh.Register(ps)
	background(lc, uh.Run)
}

// orderEndpoints gives orders for endpoints by the load of the steps and of entries, under
// the lease of the scheduler as the reports of use.
func (ho *host) orderEndpoints(lc fx.Lifecycle, ps *peer.Server, lv *loadView) {
	if ho.settings.ScaleAddress == "" {
		return
	}
	so := &scale.Scaler{
		Census: lv.census,
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
	so.Register(ps)
	background(lc, so.Run)
}

// release gives the lease up, so that another takes the steps over at once.
func release(ctx context.Context, sc *step.Scheduler) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	return sc.Holder.Release(ctx)
}

// retire empties the instance: it holds nothing but perhaps the lease, which
// goes to another, and then marks it as empty.
func (ho *host) retire(sc *step.Scheduler) {
	ctx := context.Background()
	ho.log.Info("instance is to be emptied")
	sc.StepDown()
	if err := release(ctx, sc); err != nil {
		ho.log.WithError(err).Warn("lease can't be released and ends by itself")
	}
	for {
		err := platform.MarkRetired(ctx, ho.store, ho.settings.Instance)
		ho.log.WithField("error", err).Info("instance marked as empty")
		if err == nil {
			return
		}
		time.Sleep(markEvery)
	}
}
