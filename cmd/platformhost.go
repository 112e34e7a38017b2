package cmd

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"wisteriacroft/allocation"
	"wisteriacroft/directory"
	"wisteriacroft/forward"
	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/platform"
	roleprocess "wisteriacroft/process"
	"wisteriacroft/quarantine"
	"wisteriacroft/scale"
	"wisteriacroft/standby"
	"wisteriacroft/step"
	"wisteriacroft/telemetry"
	"wisteriacroft/usage"
)

const (
	// feederTimeout is how long a process waits for its feeder before it reads from the
	// key-value service itself. It equals the timeout of a call to a feeder that hangs.
	feederTimeout = 1200 * time.Millisecond
	// memoryLimitFraction is the fraction of the platform's memory limit that is set as the
	// Go runtime's soft limit. The rest is for kernel buffers and allocations between two
	// collections.
	memoryLimitFraction = 0.75
	// metricsPath and metricsPort must match the deploy file.
	metricsPath = "/metrics"
	metricsPort = "9464"
	// shutdownFraction is the fraction of the grace period for the shutdown of a role.
	shutdownFraction = 0.85
)

// A host holds the parts that the processes of all roles on the platform share.
type host struct {
	directory   *directory.Directory
	resolver    *lease.Resolver
	live        atomic.Pointer[forward.Forwarder] // nil if the role has none
	log         *logrus.Entry
	memoryLimit atomic.Int64 // bytes; a reload of the settings can change it
	metrics     *metrics.Set
	pool        *peer.Pool
	quarantine  *quarantine.Table // requests that crash endpoints
	settings    platform.Settings
	store       *keyvalue.Client
}

// newHost returns the host of a role.
func newHost(role string, se platform.Settings, out io.Writer) *host {
	setMemoryLimit(se)
	writer := telemetry.NewBoundedWriter(out)
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	set := metrics.NewSet()
	set.NewGauge("wisteriacroft_log_lines_dropped", func() float64 { return float64(writer.Dropped()) })
	set.NewGauge("wisteriacroft_log_lines_written", func() float64 { return float64(writer.Written()) })
	log := logger.WithFields(logrus.Fields{"instance": se.Instance, "role": role})
	store := platform.NewStore(se.StoreAddress, forward.NewHTTPClient())
	ho := &host{
		directory: &directory.Directory{},
		resolver:  &lease.Resolver{Client: store, Log: log, Name: step.LeaseName},
		log:       log,
		metrics:   set,
		pool: &peer.Pool{
			Codes: codes(), DialTimeout: dialTimeout, SilenceTimeout: silenceTimeout,
			DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
				return forward.Dialer().DialContext(ctx, "tcp", address)
			},
		},
		quarantine: &quarantine.Table{Spread: quarantine.SpreadOf(se.Instance)},
		settings:   se,
		store:      store,
	}
	ho.memoryLimit.Store(se.MemoryLimit)
	return ho
}

// Timeouts of connections between the system's processes.
const (
	dialTimeout    = 500 * time.Millisecond
	silenceTimeout = 1200 * time.Millisecond
)

// codes returns the errors that are preserved in calls between processes.
func codes() []peer.Code {
	return append(slices.Concat(step.Codes(), usage.Codes(), scale.Codes(), allocation.Codes(), standby.Codes()),
		peer.Code{Err: directory.ErrNotFeeder, Name: "not-feeder"},
		peer.Code{Err: directory.ErrOldState, Name: "old-endpoints"})
}

func setMemoryLimit(se platform.Settings) {
	if se.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(se.MemoryLimit)))
	}
}

// follower returns the follower that updates the host's directory. While direct returns
// true, it reads from the key-value service instead of a feeder.
func (ho *host) follower(direct func() bool) *directory.Follower {
	fo := &directory.Follower{
		Client: ho.store, DirectFunc: direct, Directory: ho.directory, Feeder: ho.resolver, Log: ho.log,
		Name: ho.settings.Instance, Patience: feederTimeout, Pool: ho.pool, Quarantine: ho.quarantine, Source: platform.Source(),
	}
	ho.metrics.NewGauge("wisteriacroft_unusable_entries", func() float64 { return float64(fo.Unusable()) })
	for name, count := range map[string]func(fc directory.FeedCounts) int64{
		"encoded": func(fc directory.FeedCounts) int64 { return fc.Encoded },
		"gaps":    func(fc directory.FeedCounts) int64 { return fc.Gaps },
		"partial": func(fc directory.FeedCounts) int64 { return fc.Partial },
		"reads":   func(fc directory.FeedCounts) int64 { return fc.Reads },
		"whole":   func(fc directory.FeedCounts) int64 { return fc.Whole },
	} {
		ho.metrics.NewGauge("wisteriacroft_feed_"+name, func() float64 { return float64(count(fo.FeedCounts())) })
	}
	for _, to := range directory.Topics() {
		ho.metrics.NewGauge(`wisteriacroft_state_age_seconds{topic="`+to.String()+`"}`, func() float64 {
			age, _ := ho.directory.Age(to, time.Now())
			return age.Seconds()
		})
	}
	for _, ki := range hold.Kinds {
		ho.metrics.NewGauge(`wisteriacroft_holds{kind="`+string(ki)+`"}`, func() float64 { return float64(ho.directory.Holds().Count(ki)) })
	}
	return fo
}

// reload reloads the settings at each SIGHUP, while the process starts and drains too. It applies the memory limit only;
// addresses stay, since connections depend on them.
func (ho *host) reload(hangups Hangups) {
	for range hangups {
		se, err := platform.LoadSettings()
		if err != nil {
			ho.log.WithError(err).Error("reloading settings failed; keeping the current ones")
			continue
		}
		setMemoryLimit(se)
		ho.memoryLimit.Store(se.MemoryLimit)
		ho.limitHeldMemory()
		ho.log.WithField("memory", se.MemoryLimit).Info("settings read again")
	}
}

// run runs a role's app until ctx is done, and then stops it within the grace period.
func (ho *host) run(ctx context.Context, options ...fx.Option) error {
	app := fx.New(append(options, fx.NopLogger)...)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "build the process")
	}
	if err := start(ctx, app); err != nil {
		return errors.Wrap(err, "start the process")
	}
	ho.log.WithField("memory", ho.settings.MemoryLimit).Info("started")
	<-ctx.Done()
	ho.log.Info("stopping")
	err := stop(ctx, app, time.Duration(shutdownFraction*float64(ho.settings.Grace)))
	ho.log.WithField("error", err).Info("stopped")
	time.Sleep(logFlushDelay)
	return err
}

// logFlushDelay lets the asynchronous log writer finish before the process exits.
const logFlushDelay = 20 * time.Millisecond

// serve runs a server at an address while the app runs.
func serve(lc fx.Lifecycle, address string, sv *http.Server, shutdown func(context.Context) error) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var co net.ListenConfig
			li, err := co.Listen(ctx, "tcp", address)
			if err != nil {
				return errors.Wrapf(err, "listen on %s", address)
			}
			go func() { _ = sv.Serve(li) }() // returns after the shutdown
			return nil
		},
		OnStop: shutdown,
	})
}

// background runs a function while the app runs.
func background(lc fx.Lifecycle, fn func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go fn(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// serveMetrics serves the metrics at metricsPort.
func (ho *host) serveMetrics(lc fx.Lifecycle) {
	ip, _, err := net.SplitHostPort(ho.settings.PeerAddress)
	if err != nil {
		ip = ho.settings.PeerAddress
	}
	ad := &telemetry.Admin{Set: ho.metrics}
	sv := roleprocess.NewHTTPServer(ad.Handler())
	serve(lc, net.JoinHostPort(ip, metricsPort), sv, sv.Shutdown)
}

// servePeers serves calls from the system's other processes.
func (ho *host) servePeers(lc fx.Lifecycle, ps *peer.Server) {
	ps.Codes = codes()
	mux := http.NewServeMux()
	mux.Handle(message.RPCPath, ps)
	sv := roleprocess.NewHTTPServer(mux)
	serve(lc, ho.settings.PeerAddress, sv, func(ctx context.Context) error {
		return errors.CombineErrors(ps.Shutdown(ctx), sv.Close())
	})
}
