package cmd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"wisteriacroft/settings"
	"wisteriacroft/telemetry"
)

// errShutItselfDown means that a role shut its process down with an exit code other than 0.
var errShutItselfDown = errors.New("the process shut itself down; see its log")

// serveRole runs a role until ctx is done and then stops it within the shutdown grace of
// its settings. Requests that still run after it are aborted.
func serveRole(ctx context.Context, out Output, pr settings.Process, role fx.Option) error {
	app := fx.New(
		fx.NopLogger,
		fx.Supply(pr),
		telemetry.Module(out.Stderr),
		role,
		fx.Invoke(logLifecycle),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "build the process")
	}
	if err := start(ctx, app); err != nil {
		return errors.Wrap(err, "start the process")
	}
	var ended error
	select {
	case <-ctx.Done():
	case si := <-app.Wait(): // fx also handles the process's signals
		if si.ExitCode != 0 {
			ended = errShutItselfDown
		}
	}
	return errors.CombineErrors(stop(ctx, app, pr.ShutdownGrace()), ended)
}

// start starts an app within its start timeout. A signal does not cancel the start: the
// app is stopped gracefully after it, instead of exiting half started with a failure.
func start(ctx context.Context, app *fx.App) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StartTimeout())
	defer cancel()
	return app.Start(ctx)
}

// stop stops an app within grace. It ignores the cancellation of ctx, which triggered the
// shutdown.
func stop(ctx context.Context, app *fx.App, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return errors.Wrapf(app.Stop(ctx), "stop the process within %s", grace)
}

// logLifecycle logs the start and stop of a process. It must be the app's last hook, so
// that it logs after all others have started and before any is stopped.
func logLifecycle(li fx.Lifecycle, logger *logrus.Logger, pr settings.Process, ad *telemetry.Admin) {
	entry := logger.WithFields(logrus.Fields{
		"failure-domain": pr.FailureDomain(),
		"instance":       pr.Instance(),
		"role":           pr.Role(),
	})
	li.Append(fx.StartStopHook(
		func() { entry.WithField("admin-address", ad.Address()).Info("process started") },
		func() { entry.WithField("shutdown-grace", pr.ShutdownGrace().String()).Info("process stops") },
	))
}
