package attendant

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/plainservice"
	"wisteriacroft/process"
	"wisteriacroft/settings"
	"wisteriacroft/telemetry"
)

// errShuttingDown is the readiness error during shutdown.
var errShuttingDown = errors.New("leaving")

// Module runs an attendant during the lifetime of the app. The app supplies settings.Attendant and
// includes telemetry.Module.
var Module = fx.Module("attendant",
	fx.Provide(NewOptions, New),
	fx.Invoke(run),
)

// NewOptions converts settings to options.
func NewOptions(se settings.Attendant, log *logrus.Logger, set *metrics.Set) Options {
	now := time.Now()
	op := Options{
		Address:       se.Advertise().String(),
		FailureDomain: se.FailureDomain(),
		Grace:         time.Duration(process.GracePart * float64(se.ShutdownGrace())),
		Incarnation:   uint64(now.UnixNano()),
		Instance:      se.Instance(),
		Log:           log,
		Metrics:       set,
		Seed:          uint64(now.UnixNano()),
		TickEvery:     se.TickInterval(),
	}
	if base := se.Platform().InstanceList(); base != "" {
		op.Instances = instancelist.NewHTTP(base, nil)
	}
	for _, entry := range se.Entries() {
		op.Entries = append(op.Entries, entry.String())
	}
	for _, en := range se.Endpoints() {
		op.Endpoints = append(op.Endpoints, newEndpointOptions(en))
	}
	if folder := se.DataFolder(); folder != "" {
		op.Store = &blob.Store{Folder: folder}
	}
	return op
}

// newEndpointOptions returns the options of an HTTP endpoint.
func newEndpointOptions(en settings.Endpoint) EndpointOptions {
	eo := EndpointOptions{Name: en.Name(), Service: en.Service()}
	if en.Kind() == settings.EngineKind {
		eo.Engine = engine.NewHTTP(en.Address(), nil)
	} else {
		eo.Plain = plainservice.NewHTTP(en.Address(), nil)
	}
	return eo
}

// run binds an attendant to the lifecycle of the app.
func run(li fx.Lifecycle, at *Attendant, se settings.Attendant, ad *telemetry.Admin, sd fx.Shutdowner) {
	process.Run(li, sd, ad, se.Listen(), process.Role{
		Log:          at.options.Log,
		ReadyFunc:    at.Ready,
		ServeFunc:    at.Serve,
		ShutdownFunc: at.Shutdown,
		StartFunc:    at.Start,
	})
}

// Ready returns an error during shutdown.
func (at *Attendant) Ready() error {
	if at.inflight.isLeaving() {
		return errShuttingDown
	}
	return nil
}
