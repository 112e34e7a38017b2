package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/document"
	"wisteriacroft/finding"
	"wisteriacroft/keyvalue"
	"wisteriacroft/roundtrip"
	"wisteriacroft/unit"
)

// maxBody is the largest request body that a stand-in reads, in bytes.
const maxBody = 16 << 20

// Errors that statusOf maps to a status.
var (
	errBadRequest = errors.New("bad request")
	errBusy       = errors.New("too many at one time")
	errFenced     = errors.New("order carries an old epoch")
	errNoSuch     = errors.New("no such thing")
)

// handle returns a handler with JSON bodies. Without a request body, In is zero.
func handle[In, Out any](serve func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&in)
		if err != nil && !errors.Is(err, io.EOF) {
			answer(w, nil, errors.Wrapf(errBadRequest, "decode: %v", err))
			return
		}
		out, err := serve(r.Context(), in)
		answer(w, out, err)
	}
}

// echoRequestID returns the request's id in the response, where clients check it.
// Handlers wrapped with faults don't need it.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(roundtrip.IDHeader, r.Header.Get(roundtrip.IDHeader))
		next.ServeHTTP(w, r)
	})
}

// answer writes out as JSON, or the status of err.
func answer(w http.ResponseWriter, out any, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, errBadRequest):
		return http.StatusBadRequest
	case errors.Is(err, errBusy):
		return http.StatusTooManyRequests
	case errors.Is(err, errFenced):
		return http.StatusConflict
	case errors.Is(err, errNoSuch):
		return http.StatusNotFound
	default:
		return keyvalue.Status(err)
	}
}

// serve serves until ctx ends, then closes all connections.
func serve(ctx context.Context, ln net.Listener, handler http.Handler) error {
	srv := &http.Server{Handler: handler, MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", ln.Addr())
	}
	return nil
}

// A checker adds findings about a settings file.
type checker struct {
	*document.Document
}

// readSettings decodes a settings file over its defaults and calls check, which
// adds findings that decoding can't detect.
func readSettings[Settings any](
	file string, data []byte, defaults Settings, check func(Settings, checker),
) (Settings, error) {
	var li finding.List
	do := document.Read(file, data, &defaults, &li)
	check(defaults, checker{do})
	return defaults, li.Err()
}

// address adds a finding unless value is IP:port.
func (ch checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		ch.Add(key, "%q is no address: write IP:port, such as \"127.0.0.1:7000\"", value)
	}
}

// atLeast adds a finding if value is below least.
func (ch checker) atLeast(key string, value, least int) {
	if value < least {
		ch.Add(key, "is %d; at least %d is needed", value, least)
	}
}

// notEmpty adds a finding if value is empty.
func (ch checker) notEmpty(key, value string) {
	if value == "" {
		ch.Add(key, "is missing")
	}
}

// notNegative adds a finding if value is below 0.
func (ch checker) notNegative(key string, value unit.Duration) {
	if value < 0 {
		ch.Add(key, "is %s; it can't be negative", value)
	}
}
