package telemetry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
)

// Paths of the admin server.
const (
	HealthPath  = "/healthz"
	MetricsPath = "/metrics"
	ReadyPath   = "/readyz"
)

// adminHeaderTimeout bounds the time to receive a request's header, so that stalled
// connections do not accumulate.
const adminHeaderTimeout = 5 * time.Second

// An Admin serves metrics and health pages. The zero Admin is always ready and serves the
// global metrics only.
type Admin struct {
	// Logger logs the errors of the server. Nil disables logging.
	Logger *logrus.Logger
	// ReadyFunc returns nil if the process accepts requests, and otherwise the reason why
	// not. Nil means always ready. It must be set before Start.
	ReadyFunc func() error
	// Set holds the metrics of the process's role, which are served in addition to the
	// global ones.
	Set *metrics.Set

	listener net.Listener
	server   *http.Server
}

// Handler returns the handler of the admin pages.
func (ad *Admin) Handler() http.Handler {
	ro := mux.NewRouter()
	ro.HandleFunc(HealthPath, ad.serveHealth).Methods(http.MethodGet)
	ro.HandleFunc(MetricsPath, ad.serveMetrics).Methods(http.MethodGet)
	ro.HandleFunc(ReadyPath, ad.serveReady).Methods(http.MethodGet)
	return ro
}

// Start listens at address and serves the pages until Stop.
func (ad *Admin) Start(ctx context.Context, address string) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "admin-listen")
	}
	ad.listener = listener
	ad.server = &http.Server{Handler: ad.Handler(), ReadHeaderTimeout: adminHeaderTimeout}
	go func() {
		err := ad.server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && ad.Logger != nil {
			ad.Logger.WithError(err).Error("admin server failed")
		}
	}()
	return nil
}

// Address returns the listener's address. It must be called after Start.
func (ad *Admin) Address() string { return ad.listener.Addr().String() }

// Stop shuts the server down after running requests are answered.
func (ad *Admin) Stop(ctx context.Context) error {
	if ad.server == nil {
		return nil
	}
	return errors.Wrap(ad.server.Shutdown(ctx), "stop the admin server")
}

// serveHealth reports that the process responds.
func (ad *Admin) serveHealth(rw http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(rw, "ok")
}

// serveMetrics writes all metrics in the Prometheus text format.
func (ad *Admin) serveMetrics(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if ad.Set != nil {
		ad.Set.WritePrometheus(rw)
	}
	metrics.WritePrometheus(rw, true)
}

// serveReady reports whether the process accepts requests.
func (ad *Admin) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if ad.ReadyFunc != nil {
		if err := ad.ReadyFunc(); err != nil {
			http.Error(rw, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = fmt.Fprintln(rw, "ready")
}
