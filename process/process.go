// Package process runs a long-running role as a process: it ties the role's listener to
// the life cycle of an fx app and limits its HTTP server.
package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"wisteriacroft/telemetry"
)

// GracePart is the fraction of a process's grace period for the shutdown of its role. The
// rest is for closing the servers and flushing spans.
const GracePart = 0.9

// Limits of a role's HTTP server.
const (
	idleTimeout       = 2 * time.Minute
	maxHeaderSize     = 64 << 10 // bytes
	readHeaderTimeout = 10 * time.Second
)

// A Role holds the callbacks of a process's role.
type Role struct {
	Log *logrus.Logger
	// ReadyFunc returns nil while the role accepts requests.
	ReadyFunc func() error
	// ServeFunc serves requests on a listener until ShutdownFunc.
	ServeFunc func(li net.Listener) error
	// ShutdownFunc waits for running requests and stops the role.
	ShutdownFunc func(ctx context.Context) error
	// StartFunc starts the role's background work.
	StartFunc func()
}

// Run starts and stops a role that listens at an address with the app.
func Run(lc fx.Lifecycle, sd fx.Shutdowner, ad *telemetry.Admin, address netip.AddrPort, ro Role) {
	ad.ReadyFunc = ro.ReadyFunc
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var co net.ListenConfig
			li, err := co.Listen(ctx, "tcp", address.String())
			if err != nil {
				return errors.Wrapf(err, "listen on %s", address)
			}
			go ro.serve(li, sd)
			ro.StartFunc()
			return nil
		},
		OnStop: ro.ShutdownFunc,
	})
}

// serve serves a listener. If that fails, it stops the app, so that the platform restarts
// the process.
func (ro *Role) serve(li net.Listener, sd fx.Shutdowner) {
	err := ro.ServeFunc(li)
	if err == nil {
		return
	}
	ro.Log.WithError(err).Error("server failed")
	if err := sd.Shutdown(fx.ExitCode(1)); err != nil {
		ro.Log.WithError(err).Error("app shutdown failed")
	}
}

// NewHTTPServer returns the server of a role's listener.
func NewHTTPServer(ha http.Handler) *http.Server {
	sv := &http.Server{
		Handler:           ha,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	(&newConns{}).register(sv)
	return sv
}

// CloseConnectionsWhile closes each connection after its next response while leaving
// returns true.
//
// Otherwise the shutdown closes idle connections, and a request that is just being sent on
// one fails with an unknown outcome.
func CloseConnectionsWhile(leaving func() bool, ha http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if leaving() {
			rw.Header().Set("Connection", "close")
		}
		ha.ServeHTTP(rw, rq)
	})
}

// Serve serves requests on a listener. It returns nil when the server is shut down.
func Serve(sv *http.Server, li net.Listener) error {
	err := sv.Serve(li)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", li.Addr())
}

// SetDefault sets *field to value if it is zero.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SilentLogger returns a logger that discards all entries.
func SilentLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}
