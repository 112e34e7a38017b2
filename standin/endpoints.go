package standin

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"wisteriacroft/engine"
	"wisteriacroft/unit"
)

// A Kind is what an endpoint serves.
type Kind string

// The kinds of endpoints.
const (
	EngineKind Kind = "engine"
	PlainKind  Kind = "plain"
)

// An EndpointsSettings is the settings file of `stand-in endpoints`.
type EndpointsSettings struct {
	Endpoints   []EndpointRow `toml:"endpoint"`
	Listen      string        `toml:"listen"`
	WeightStore string        `toml:"weight-store"` // base URL; "": loading takes only load-time
}

// An EndpointRow holds the settings of identical endpoints. The first group of
// fields applies to both kinds, the second to engines.
type EndpointRow struct {
	Addresses  []string      `toml:"addresses"` // separate listeners, one per name; none: under /NAME only
	Kind       Kind          `toml:"kind"`
	MaxRunning int           `toml:"max-running"`
	Names      []string      `toml:"names"`
	ReportLag  unit.Duration `toml:"report-lag"`
	Time       unit.Duration `toml:"time"` // of an engine's step or of a plain service's call

	Adapter           string         `toml:"adapter"`
	CacheEventGap     int            `toml:"cache-event-gap"` // every n-th event is lost; 0: none
	CacheEventLag     unit.Duration  `toml:"cache-event-lag"`
	CacheMemory       int            `toml:"cache-memory"` // in prefixes
	Fencing           bool           `toml:"fencing"`
	LoadTime          unit.Duration  `toml:"load-time"`
	Model             string         `toml:"model"`
	PrefillPerStep    int            `toml:"prefill-per-step"` // in bytes of prompt
	PrefixSize        int            `toml:"prefix-size"`      // in bytes of prompt
	Role              string         `toml:"role"`
	ServeWhileLoading bool           `toml:"serve-while-loading"`
	TokensPerStep     int            `toml:"tokens-per-step"`
	Version           engine.Version `toml:"version"`
}

// defaults returns the row with defaults in place of zero values.
func (ro EndpointRow) defaults() EndpointRow {
	ro.CacheMemory = cmp.Or(ro.CacheMemory, 64)
	ro.MaxRunning = cmp.Or(ro.MaxRunning, 16)
	ro.PrefillPerStep = cmp.Or(ro.PrefillPerStep, 256)
	ro.PrefixSize = cmp.Or(ro.PrefixSize, 64)
	ro.ReportLag = cmp.Or(ro.ReportLag, unit.Duration(100*time.Millisecond))
	ro.Time = cmp.Or(ro.Time, unit.Duration(20*time.Millisecond))
	ro.TokensPerStep = cmp.Or(ro.TokensPerStep, 1)
	ro.Version = cmp.Or(ro.Version, 1)
	return ro
}

// ReadEndpointsSettings reads a settings file.
func ReadEndpointsSettings(file string, data []byte) (EndpointsSettings, error) {
	return readSettings(file, data, EndpointsSettings{}, func(se EndpointsSettings, ch checker) {
		ch.address("listen", se.Listen)
		seen := map[string]bool{}
		for i, row := range se.Endpoints {
			row.check(fmt.Sprintf("endpoint[%d].", i), ch, seen)
		}
	})
}

func (ro EndpointRow) check(prefix string, ch checker, seen map[string]bool) {
	if ro.Kind != EngineKind && ro.Kind != PlainKind {
		ch.Add(prefix+"kind", "is %q; write %q or %q", ro.Kind, EngineKind, PlainKind)
	}
	if len(ro.Names) == 0 {
		ch.Add(prefix+"names", "is missing")
	}
	for _, name := range ro.Names {
		if name == "" || seen[name] {
			ch.Add(prefix+"names", "%q is empty or used twice", name)
		}
		seen[name] = true
	}
	if len(ro.Addresses) > 0 && len(ro.Addresses) != len(ro.Names) {
		ch.Add(prefix+"addresses", "has %d addresses for %d names", len(ro.Addresses), len(ro.Names))
	}
	for _, address := range ro.Addresses {
		ch.address(prefix+"addresses", address)
	}
	ch.atLeast(prefix+"cache-event-gap", ro.CacheEventGap, 0)
	ch.atLeast(prefix+"cache-memory", ro.CacheMemory, 0)
	ch.atLeast(prefix+"max-running", ro.MaxRunning, 0)
	ch.atLeast(prefix+"prefill-per-step", ro.PrefillPerStep, 0)
	ch.atLeast(prefix+"prefix-size", ro.PrefixSize, 0)
	ch.atLeast(prefix+"tokens-per-step", ro.TokensPerStep, 0)
	ch.notNegative(prefix+"cache-event-lag", ro.CacheEventLag)
	ch.notNegative(prefix+"load-time", ro.LoadTime)
	ch.notNegative(prefix+"report-lag", ro.ReportLag)
	ch.notNegative(prefix+"time", ro.Time)
}

// An endpoint is one model engine or plain service.
type endpoint struct {
	address string // of its own listener, or ""
	engine  *Engine
	faults  *faults
	handler http.Handler
	plain   *Plain
}

// Endpoints serves engines and plain services in one process.
type Endpoints struct {
	byName map[string]endpoint
	names  []string // in the settings' order
}

// NewEndpoints returns the endpoints of validated settings.
func NewEndpoints(se EndpointsSettings) *Endpoints {
	es := &Endpoints{byName: map[string]endpoint{}}
	for _, row := range se.Endpoints {
		for i, name := range row.Names {
			ep := newEndpoint(row.defaults(), se.WeightStore)
			if len(row.Addresses) > 0 {
				ep.address = row.Addresses[i]
			}
			es.byName[name] = ep
			es.names = append(es.names, name)
		}
	}
	return es
}

func newEndpoint(row EndpointRow, store string) endpoint {
	if row.Kind == EngineKind {
		en := newEngine(row, store)
		return endpoint{engine: en, faults: &en.faults, handler: en.wrap(en.handler())}
	}
	pn := newPlain(row)
	return endpoint{faults: &pn.faults, handler: pn.wrap(pn.handler()), plain: pn}
}

// Engine returns an engine by its endpoint's name, or nil.
func (es *Endpoints) Engine(name string) *Engine { return es.byName[name].engine }

// SetFault activates a fault at the endpoint that it names as its target.
func (es *Endpoints) SetFault(fa Fault) error {
	ep, ok := es.byName[fa.Target]
	if !ok {
		return errors.Wrapf(errNoSuch, "target %q", fa.Target)
	}
	ep.faults.set(fa)
	return nil
}

// Counts returns how often calls ran, summed over all endpoints.
func (es *Endpoints) Counts() Counts {
	co := Counts{Keys: map[string]int{}, Paths: map[string]int{}, Prompts: map[string]int{}}
	for _, name := range es.names {
		if ep := es.byName[name]; ep.plain != nil {
			ep.plain.count(co)
		} else {
			ep.engine.count(co)
		}
	}
	return co
}

// Runs returns the runs of all engines.
func (es *Endpoints) Runs() []Run {
	var runs []Run
	for _, name := range es.names {
		if en := es.byName[name].engine; en != nil {
			runs = append(runs, en.Runs()...)
		}
	}
	return runs
}

// Handler serves each endpoint under /NAME, and /faults, /counts and /runs.
func (es *Endpoints) Handler() http.Handler {
	ro := mux.NewRouter()
	ro.Handle("/faults", echoRequestID(faultHandler(es.SetFault))).Methods(http.MethodPost)
	ro.Handle("/counts", echoRequestID(handle(func(context.Context, struct{}) (Counts, error) { return es.Counts(), nil })))
	ro.Handle("/runs", echoRequestID(handle(func(context.Context, struct{}) ([]Run, error) { return es.Runs(), nil })))
	for _, name := range es.names {
		ro.PathPrefix("/" + name + "/").Handler(http.StripPrefix("/"+name, es.byName[name].handler))
	}
	return ro
}

// Serve serves all endpoints on ln, those with an address on a separate
// listener too, and runs the engines until ctx ends.
func (es *Endpoints) Serve(ctx context.Context, ln net.Listener) error {
	gr, ctx := errgroup.WithContext(ctx)
	gr.Go(func() error { return serve(ctx, ln, es.Handler()) })
	for _, name := range es.names {
		ep := es.byName[name]
		if ep.engine != nil {
			gr.Go(func() error { ep.engine.Run(ctx); return nil })
		}
		if ep.address != "" {
			gr.Go(func() error { return ep.serve(ctx) })
		}
	}
	return gr.Wait()
}

// serve serves an endpoint on a separate listener, which is closed while the
// endpoint is crashed.
func (ep endpoint) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		up, down := context.WithCancel(ctx)
		crashed := ep.faults.crashes()
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ep.address)
		if err != nil {
			down()
			return errors.Wrapf(err, "listen on %s", ep.address)
		}
		go func() {
			select {
			case <-crashed:
				down()
			case <-up.Done():
			}
		}()
		err = serve(up, ln, ep.handler)
		down()
		if err != nil {
			return err
		}
		ep.faults.wait(ctx, Crash)
	}
	return nil
}
