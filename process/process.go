// Package process holds what the two long-running roles share as processes:
// one listener tied to the life of an fx app, and the bounds of its server.
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

// GracePart is the part of a process's grace that its role's own shutdown may
// take. The rest is for closing its servers and flushing spans.
const GracePart = 0.9

// Bounds of the HTTP server of a role.
const (
	idleTimeout       = 2 * time.Minute
	maxHeaderSize     = 64 << 10 // bytes
	readHeaderTimeout = 10 * time.Second
)

// A Role is what a process runs.
type Role struct {
	Log *logrus.Logger
	// ReadyFunc returns nil while the role takes work.
	ReadyFunc func() error
	// ServeFunc answers what comes over a listener until ShutdownFunc.
	ServeFunc func(li net.Listener) error
	// ShutdownFunc finishes what runs and ends the role.
	ShutdownFunc func(ctx context.Context) error
	// StartFunc starts what the role does without being asked.
	StartFunc func()
}

// Run ties a role that listens at an address to the life of an app.
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

// serve serves a listener. Should it fail, the process ends, so that the
// platform replaces it.
func (ro *Role) serve(li net.Listener, sd fx.Shutdowner) {
	err := ro.ServeFunc(li)
	if err == nil {
		return
	}
	ro.Log.WithError(err).Error("server ended")
	if err := sd.Shutdown(fx.ExitCode(1)); err != nil {
		ro.Log.WithError(err).Error("process can't be ended")
	}
}

// NewHTTPServer returns the server of a role's one listener.
func NewHTTPServer(ha http.Handler) *http.Server {
	sv := &http.Server{
		Handler:           ha,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	(&newConns{}).protect(sv)
	return sv
}

// CloseConnectionsWhile ends each connection with its next answer while leaving is true.
//
// A shutdown closes idle connections, and a request that is on its way over one
// then gets no answer at all. Its caller can't tell whether it ran. Closed with
// an answer instead, while the process lingers, no connection is left idle.
func CloseConnectionsWhile(leaving func() bool, ha http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if leaving() {
			rw.Header().Set("Connection", "close")
		}
		ha.ServeHTTP(rw, rq)
	})
}

// Serve answers what comes over a listener until the server is shut down.
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

// SilentLogger returns a logger that writes nothing.
func SilentLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}
