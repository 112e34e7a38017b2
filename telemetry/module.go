package telemetry

import (
	"context"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"wisteriacroft/settings"
)

// Module provides a *logrus.Logger, an *Admin, a *metrics.Set and a *Tracing from the
// settings.Process that the app supplies. Log lines are written to logOutput. The admin
// server and the tracing start before the components that use them and stop after them.
func Module(logOutput io.Writer) fx.Option {
	return fx.Module("telemetry",
		fx.Provide(
			func(pr settings.Process) (*logrus.Logger, error) { return NewLogger(pr.Log(), logOutput) },
			metrics.NewSet,
			provideAdmin,
			provideTracing,
		),
		fx.Invoke(func(*Tracing, *Admin) {}),
	)
}

// provideAdmin returns the admin server, which starts and stops with the app.
func provideAdmin(li fx.Lifecycle, logger *logrus.Logger, pr settings.Process, se *metrics.Set) *Admin {
	ad := &Admin{Logger: logger, Set: se}
	li.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return ad.Start(ctx, pr.AdminListen().String()) },
		OnStop:  ad.Stop,
	})
	return ad
}

// provideTracing returns the tracing, whose spans are flushed when the app stops.
func provideTracing(li fx.Lifecycle, logger *logrus.Logger, pr settings.Process) (*Tracing, error) {
	tr, err := NewTracing(context.Background(), pr, logger)
	if err != nil {
		return nil, err
	}
	li.Append(fx.Hook{OnStop: tr.Shutdown})
	return tr, nil
}
