package cmd

import (
	"context"
	"net/http"
	"sync/atomic"
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
	// drainDelay is how long a stopping entry still accepts connections: the balancer
	// checks readiness every second and removes an entry after the second failure.
	drainDelay = 3500 * time.Millisecond
	// drainPollInterval is how often a stopping entry checks whether it is idle.
	drainPollInterval = 50 * time.Millisecond
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
	ga := &gateway{handler: sh.Handler()}
	background(lc, ho.follower(func() bool { return false }).Run)
	background(lc, expire(fo))
	background(lc, ho.saveQuarantine())
	ho.serveMetrics(lc)
	sv := roleprocess.NewHTTPServer(roleprocess.CloseConnectionsWhile(ga.stopping.Load, ga))
	ho.guard().Protect(sv)
	serve(lc, ho.settings.CallerAddress, sv, func(ctx context.Context) error {
		ga.drain(ctx)
		return sv.Shutdown(ctx)
	})
	ready := roleprocess.NewHTTPServer(
		platform.Readiness(func() bool { return !ga.stopping.Load() && ho.directory.Ready() && !ho.directory.CutOff(time.Now()) }))
	// The readiness server stops last, so that the balancer sees that the entry is not ready.
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		ga.stopping.Store(true)
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

// A gateway counts running requests.
type gateway struct {
	handler  http.Handler
	open     atomic.Int64
	stopping atomic.Bool
}

// ServeHTTP implements http.Handler.
func (ga *gateway) ServeHTTP(rw http.ResponseWriter, hr *http.Request) {
	ga.open.Add(1)
	defer ga.open.Add(-1)
	ga.handler.ServeHTTP(rw, hr)
}

// drain waits until the balancer has removed the entry and no request runs, or ctx is done.
func (ga *gateway) drain(ctx context.Context) {
	ga.stopping.Store(true)
	end := time.Now().Add(drainDelay)
	for ctx.Err() == nil && (time.Now().Before(end) || ga.open.Load() > 0) {
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}
