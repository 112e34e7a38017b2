package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
	"wisteriacroft/process"
	"wisteriacroft/settings"
	"wisteriacroft/telemetry"
	"wisteriacroft/weightstore"
)

// Module runs an entry during the app's life. The app supplies settings.Entry and
// includes telemetry.Module.
var Module = fx.Module("entry",
	fx.Provide(NewOptions, New),
	fx.Invoke(run),
)

// NewOptions returns the options for the given settings.
func NewOptions(se settings.Entry, log *logrus.Logger, set *metrics.Set) Options {
	now := time.Now()
	op := Options{
		Address:       se.Advertise().String(),
		FailureDomain: se.FailureDomain(),
		Grace:         time.Duration(process.GracePart * float64(se.ShutdownGrace())),
		Incarnation:   uint64(now.UnixNano()),
		Instance:      se.Instance(),
		Instances:     instancelist.NewHTTP(se.Platform().InstanceList(), nil),
		KeyValue:      keyvalue.NewHTTP(se.Platform().KeyValue(), nil),
		LeaseTTL:      se.LeaseTTL(),
		Log:           log,
		Metrics:       set,
		Seed:          uint64(now.UnixNano()),
		TickEvery:     se.TickInterval(),
		Weights:       weightstore.NewHTTP(se.Platform().WeightStore(), nil),
	}
	for _, pe := range se.Peers() {
		op.Peers = append(op.Peers, pe.String())
	}
	return op
}

// run ties an entry to the app's life cycle.
func run(li fx.Lifecycle, en *Entry, se settings.Entry, ad *telemetry.Admin, sd fx.Shutdowner) {
	process.Run(li, sd, ad, se.Listen(), process.Role{
		Log:          en.options.Log,
		ReadyFunc:    en.Ready,
		ServeFunc:    en.Serve,
		ShutdownFunc: en.Shutdown,
		StartFunc:    en.Start,
	})
}
