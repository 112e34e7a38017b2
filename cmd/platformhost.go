package cmd

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
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
	"wisteriacroft/step"
	"wisteriacroft/telemetry"
	"wisteriacroft/usage"
)

const (
	// feederPatience is how long a process waits for its feeder before it asks the
	// key-value service itself: as long as a call to a feeder that fell silent, so
	// that what it knows is not older for it. A lost feeder is replaced after a second.
	feederPatience = 1200 * time.Millisecond
	// memoryPart is the part of the memory that the platform grants at which
	// the runtime collects harder: the rest is for stacks, for the kernel's
	// buffers and for what comes between two collections.
	memoryPart = 0.75
	// metricsPath and metricsPort are where the deploy file says that metrics
	// are.
	metricsPath = "/metrics"
	metricsPort = "9464"
	// shutdownPart is the part of the grace that a role may use.
	shutdownPart = 0.85
)

// A host is what the roles on the platform share as processes.
type host struct {
	directory   *directory.Directory
	finder      *lease.Resolver
	live        atomic.Pointer[forward.Forwarder] // what reaches plain endpoints; nil where the role has none
	log         *logrus.Entry
	memoryLimit atomic.Int64 // bytes; settings may change it
	metrics     *metrics.Set
	pool        *peer.Pool
	requests    *quarantine.Table // that end their endpoints
	settings    platform.Settings
	store       *keyvalue.Client
}

// newHost returns what a role is built of.
func newHost(role string, se platform.Settings, out io.Writer) *host {
	applyMemory(se)
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
		finder:    &lease.Resolver{Client: store, Log: log, Name: step.LeaseName},
		log:       log,
		metrics:   set,
		pool: &peer.Pool{
			Codes: codes(), DialTimeout: dialTimeout, SilenceTimeout: silenceTimeout,
			DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
				return forward.Dialer().DialContext(ctx, "tcp", address)
			},
		},
		requests: &quarantine.Table{},
		settings: se,
		store:    store,
	}
	ho.memoryLimit.Store(se.MemoryLimit)
	return ho
}

// Bounds of connections between the system's processes, which are a few
// milliseconds apart.
const (
	dialTimeout    = 500 * time.Millisecond
	silenceTimeout = 1200 * time.Millisecond
)

// codes returns the errors that cross the system's processes.
func codes() []peer.Code {
	return append(append(append(append(step.Codes(), usage.Codes()...), scale.Codes()...), allocation.Codes()...),
		peer.Code{Err: directory.ErrNotFeeder, Name: "not-feeder"},
		peer.Code{Err: directory.ErrOldEndpoints, Name: "old-endpoints"})
}

func applyMemory(se platform.Settings) {
	if se.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(se.MemoryLimit)))
	}
}

// follower returns what keeps the host's directory up to date. It reads all
// itself while direct is true.
func (ho *host) follower(direct func() bool) *directory.Follower {
	fo := &directory.Follower{
		Client: ho.store, DirectFunc: direct, Directory: ho.directory, Feeder: ho.finder, Log: ho.log,
		Patience: feederPatience, Pool: ho.pool, Quarantine: ho.requests, Source: platform.Source(),
	}
	ho.metrics.NewGauge("wisteriacroft_unusable_entries", func() float64 { return float64(fo.Unusable()) })
	for _, ki := range hold.Kinds {
		ho.metrics.NewGauge(`wisteriacroft_holds{kind="`+string(ki)+`"}`, func() float64 { return float64(ho.directory.Holds().Count(ki)) })
	}
	return fo
}

// reload reads the settings again at each SIGHUP. Addresses stay as they were
// at the start, since connections depend on them.
func (ho *host) reload(ctx context.Context) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
		}
		se, err := platform.LoadSettings()
		if err != nil {
			ho.log.WithError(err).Error("settings can't be read again, those in force stay")
			continue
		}
		applyMemory(se)
		ho.memoryLimit.Store(se.MemoryLimit)
		ho.boundMemory()
		ho.log.WithField("memory", se.MemoryLimit).Info("settings read again")
	}
}

// run runs a role's app until ctx ends, and then stops it within the grace.
func (ho *host) run(ctx context.Context, options ...fx.Option) error {
	app := fx.New(append(options, fx.NopLogger)...)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "build the process")
	}
	if err := start(ctx, app); err != nil {
		return errors.Wrap(err, "start the process")
	}
	go ho.reload(ctx)
	ho.log.WithField("memory", ho.settings.MemoryLimit).Info("started")
	<-ctx.Done()
	ho.log.Info("stopping")
	err := stop(ctx, app, time.Duration(shutdownPart*float64(ho.settings.Grace)))
	ho.log.WithField("error", err).Info("stopped")
	time.Sleep(flushTime)
	return err
}

// flushTime is left for the last log lines.
const flushTime = 20 * time.Millisecond

// serve serves handlers at an address for as long as the app runs.
func serve(lc fx.Lifecycle, address string, sv *http.Server, shutdown func(context.Context) error) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var co net.ListenConfig
			li, err := co.Listen(ctx, "tcp", address)
			if err != nil {
				return errors.Wrapf(err, "listen on %s", address)
			}
			go func() { _ = sv.Serve(li) }() // ends with the shutdown
			return nil
		},
		OnStop: shutdown,
	})
}

// background runs a function for as long as the app runs.
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

// serveMetrics serves the metrics at the port that the deploy file names.
func (ho *host) serveMetrics(lc fx.Lifecycle) {
	ip, _, err := net.SplitHostPort(ho.settings.PeerAddress)
	if err != nil {
		ip = ho.settings.PeerAddress
	}
	ad := &telemetry.Admin{Set: ho.metrics}
	sv := roleprocess.NewHTTPServer(ad.Handler())
	serve(lc, net.JoinHostPort(ip, metricsPort), sv, sv.Shutdown)
}

// servePeers serves calls of the system's other processes.
func (ho *host) servePeers(lc fx.Lifecycle, ps *peer.Server) {
	ps.Codes = codes()
	mux := http.NewServeMux()
	mux.Handle(message.RPCPath, ps)
	sv := roleprocess.NewHTTPServer(mux)
	serve(lc, ho.settings.PeerAddress, sv, func(ctx context.Context) error {
		return errors.CombineErrors(ps.Shutdown(ctx), sv.Close())
	})
}
