package cmd

import (
	"context"

	"go.uber.org/fx"

	"wisteriacroft/forward"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/platform"
	"wisteriacroft/runner"
	"wisteriacroft/step"
)

// A PlatformAttendantCmd runs an attendant on the platform.
type PlatformAttendantCmd struct{ PlatformFlags }

// Run serves until ctx is done.
func (pc *PlatformAttendantCmd) Run(ctx context.Context, hangups Hangups, out Output) error {
	build := func(ho *host) fx.Option { return fx.Invoke(ho.startAttendant) }
	return pc.serve(ctx, platformRole{build: build, hangups: hangups, name: "attendant", out: out})
}

// startAttendant adds an attendant's parts to the app.
func (ho *host) startAttendant(lc fx.Lifecycle) {
	rn := &runner.Runner{
		Engine:  platform.NewEngine(ho.settings.EngineAddress, ho.settings.Instance, forward.NewHTTPClient()),
		Log:     ho.log,
		Metrics: ho.metrics,
	}
	var ps peer.Server
	peer.Handle(&ps, runner.ExchangeMethod,
		func(ctx context.Context, _ message.Header, rq runner.ExchangeRequest) (runner.ExchangeResponse, error) {
			return rn.Exchange(ctx, rq)
		})
	peer.Handle(&ps, runner.LastContactMethod,
		func(context.Context, message.Header, step.Empty) (runner.LastContactResponse, error) {
			return rn.LastContact(), nil
		})
	background(lc, rn.Run)
	ho.serveMetrics(lc)
	ho.servePeers(lc, &ps)
}
