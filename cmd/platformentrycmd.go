package cmd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"wisteriacroft/allocation"
	"wisteriacroft/forward"
	"wisteriacroft/platform"
	roleprocess "wisteriacroft/process"
	"wisteriacroft/step"
	"wisteriacroft/usage"
)

const (
	// stepRetryDelay is the Retry-After of a rejected step. It is short, since another entry
	// may reach the service and trainers retry only for a few seconds.
	stepRetryDelay = 500 * time.Millisecond
)

// A PlatformEntryCmd runs an entry on the platform.
type PlatformEntryCmd struct{ PlatformFlags }

// Run serves until ctx is done.
func (pc *PlatformEntryCmd) Run(ctx context.Context, hangups Hangups, out Output) error {
	build := func(ho *host) fx.Option { return fx.Invoke(ho.startEntry) }
	return pc.serve(ctx, platformRole{build: build, hangups: hangups, name: "entry", out: out})
}

// startEntry adds an entry's parts to the app.
func (ho *host) startEntry(lc fx.Lifecycle) {
	fo := ho.forwarder()
	ho.recordUsage(lc, fo)
	dr := ho.demandReporter(fo)
	fo.CustomerBound, fo.QuotaFunc = dr.CustomerBound, ho.rateLimiter().Allow
	background(lc, dr.Run)
	sh := &platform.StepHandler{
		Access: fo.Access, Directory: ho.directory,
		Door: &step.Frontend{
			CutOffFunc: func() bool { return ho.directory.CutOff(time.Now()) },
			Keeper:     &step.Store{Client: ho.store, Log: ho.log}, Log: ho.log, Pool: ho.pool, Scheduler: ho.resolver,
		},
		Live:       fo,
		RetryAfter: stepRetryDelay,
	}
	requests, giveUp := context.WithCancel(context.Background())
	ga := &gateway{giveUp: giveUp, handler: sh.Handler()}
	fo.EndFunc = ga.end
	background(lc, ho.follower(func() bool { return false }).Run)
	background(lc, expire(fo))
	background(lc, ho.saveQuarantine())
	ho.serveMetrics(lc)
	sv := roleprocess.NewHTTPServer(roleprocess.CloseConnectionsWhile(ga.stopping, ga))
	sv.BaseContext = func(net.Listener) context.Context { return requests }
	ho.guard().Protect(sv)
	serve(lc, ho.settings.CallerAddress, sv, func(ctx context.Context) error {
		ga.drain(ctx)
		return sv.Shutdown(ctx)
	})
	ready := roleprocess.NewHTTPServer(
		platform.Readiness(func() bool { return !ga.stopping() && ho.directory.Ready() && !ho.directory.CutOff(time.Now()) }))
	// The readiness server stops last, so that the balancer sees that the entry is not ready.
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		ga.stop(ctx)
		return nil
	}})
	serve(lc, ho.settings.ReadyAddress, ready, func(context.Context) error { return nil })
}

// recordUsage records the requests that the entry's endpoints start, and sends the counts
// to the usage collector.
func (ho *host) recordUsage(lc fx.Lifecycle, fo *forward.Forwarder) {
	if ho.settings.UsageAddress == "" {
		return
	}
	fo.Usage = &usage.Recorder{}
	pu := &usage.Pusher{Finder: ho.resolver, Instance: ho.settings.Instance, Log: ho.log, Pool: ho.pool, Recorder: fo.Usage}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				pu.Run(ctx)
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			cancel()
			select {
			case <-done:
			case <-ctx.Done():
			}
			return nil
		},
	})
}

// demandReporter reports the demand of live requests to the scheduler and receives the limits
// of this entry for each customer.
func (ho *host) demandReporter(fo *forward.Forwarder) *allocation.DemandReporter {
	return &allocation.DemandReporter{
		DemandsFunc: fo.Demands, Finder: ho.resolver, Instance: ho.settings.Instance, LoadsFunc: fo.Loads, Log: ho.log,
		Metrics: ho.metrics, Pool: ho.pool, WeightsFunc: ho.directory.Weights,
	}
}

// rateLimiter enforces customers' quotas with tokens that the scheduler grants.
func (ho *host) rateLimiter() *allocation.RateLimiter {
	return &allocation.RateLimiter{Finder: ho.resolver, Log: ho.log, Metrics: ho.metrics, Overshoot: ho.settings.QuotaOvershoot, Pool: ho.pool}
}

// guard enforces the limits of the configuration in force on callers.
func (ho *host) guard() *roleprocess.Guard {
	return &roleprocess.Guard{
		LimitsFunc: func() roleprocess.Limits {
			co := ho.directory.Configuration()
			if co == nil {
				return roleprocess.Limits{}
			}
			return roleprocess.Limits{
				HeaderSize: co.Limits.HeaderSize, HeaderTimeout: co.Limits.HeaderTimeout, IdleTimeout: co.Limits.IdleTimeout,
			}
		},
		RejectedFunc: func(rq *http.Request, size int) {
			ho.log.WithFields(logrus.Fields{
				"host": rq.Host, "path": rq.URL.Path, "reason": "head is too large", "size": size,
			}).Warn("rejected")
		},
	}
}
