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
	// linger is how long an entry that is to stop still takes connections: the
	// balancer asks each second and believes the second refusal.
	linger = 3500 * time.Millisecond
	// drainEvery is how often a stopping entry looks whether it is idle.
	drainEvery = 50 * time.Millisecond
	// stepRetry is when a trainer may come back whose step was refused: another
	// entry may reach the service. Trainers come back for some 6 s; with what an
	// entry tries by itself, their tries leave half a second of it uncovered each.
	// After a second, two of four missed the end of an outage of 7 s.
	stepRetry = 500 * time.Millisecond
)

// A PlatformEntryCmd runs an entry on the platform.
type PlatformEntryCmd struct{ PlatformFlags }

// Run serves until ctx ends.
func (pc *PlatformEntryCmd) Run(ctx context.Context, out Output) error {
	return pc.serve(ctx, out, "entry", func(ho *host) fx.Option { return fx.Invoke(ho.startEntry) })
}

// startEntry builds an entry.
func (ho *host) startEntry(lc fx.Lifecycle) {
	fo := ho.forwarder()
	ho.recordUsage(lc, fo)
	te := ho.teller(fo)
	fo.CustomerBound, fo.QuotaFunc = te.CustomerBound, ho.payer().Allow
	background(lc, te.Run)
	su := &platform.StepHandler{
		Access: fo.Access, Directory: ho.directory,
		Door: &step.Frontend{
			CutOffFunc: func() bool { return ho.directory.CutOff(time.Now()) },
			Keeper:     &step.Store{Client: ho.store, Log: ho.log}, Log: ho.log, Pool: ho.pool, Scheduler: ho.finder,
		},
		Live:       fo,
		RetryAfter: stepRetry,
	}
	ga := &gateway{handler: su.Handler()}
	background(lc, ho.follower(func() bool { return false }).Run)
	background(lc, expire(fo))
	background(lc, ho.keepQuarantine())
	ho.serveMetrics(lc)
	sv := roleprocess.NewHTTPServer(roleprocess.CloseConnectionsWhile(ga.stopping.Load, ga))
	ho.guard().Protect(sv)
	serve(lc, ho.settings.CallerAddress, sv, func(ctx context.Context) error {
		ga.drain(ctx)
		return sv.Shutdown(ctx)
	})
	ready := roleprocess.NewHTTPServer(
		platform.Readiness(func() bool { return !ga.stopping.Load() && ho.directory.Ready() && !ho.directory.CutOff(time.Now()) }))
	// Stops last, so that the balancer hears that the entry is not ready.
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		ga.stopping.Store(true)
		return nil
	}})
	serve(lc, ho.settings.ReadyAddress, ready, func(context.Context) error { return nil })
}

// recordUsage records what the entry's endpoints begin to run, and tells the holder of
// the reports of use.
func (ho *host) recordUsage(lc fx.Lifecycle, fo *forward.Forwarder) {
	if ho.settings.UsageAddress == "" {
		return
	}
	fo.Usage = &usage.Recorder{}
	pu := &usage.Pusher{Finder: ho.finder, Instance: ho.settings.Instance, Log: ho.log, Pool: ho.pool, Recorder: fo.Usage}
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

// teller returns what tells the scheduler of live requests, and learns from it how many
// places this entry may give each customer.
func (ho *host) teller(fo *forward.Forwarder) *allocation.DemandReporter {
	return &allocation.DemandReporter{
		DemandsFunc: fo.Demands, Finder: ho.finder, Instance: ho.settings.Instance, LoadsFunc: fo.Loads, Log: ho.log,
		Metrics: ho.metrics, Pool: ho.pool, WeightsFunc: ho.directory.Weights,
	}
}

// payer returns what spends the tokens of customers' quotas that the scheduler grants.
func (ho *host) payer() *allocation.RateLimiter {
	return &allocation.RateLimiter{Finder: ho.finder, Log: ho.log, Metrics: ho.metrics, Overshoot: ho.settings.QuotaOvershoot, Pool: ho.pool}
}

// guard returns what holds callers to the limits of the configuration in force.
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

// A gateway counts the requests that run.
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

// drain waits until the balancer sends no one any longer and no request runs.
func (ga *gateway) drain(ctx context.Context) {
	ga.stopping.Store(true)
	end := time.Now().Add(linger)
	for ctx.Err() == nil && (time.Now().Before(end) || ga.open.Load() > 0) {
		select {
		case <-ctx.Done():
		case <-time.After(drainEvery):
		}
	}
}
