package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/unit"
)

// Targets of the platform's faults.
const (
	InstanceListTarget = "instance-list"
	KeyValueTarget     = "key-value"
	WeightStoreTarget  = "weight-store"
)

// A PlatformSettings is the settings file of `stand-in platform`.
type PlatformSettings struct {
	FetchLimit   int           `toml:"fetch-limit"` // concurrent fetches of weights
	FetchTime    unit.Duration `toml:"fetch-time"`
	Instances    []InstanceRow `toml:"instance"`
	Lag          unit.Duration `toml:"instance-list-lag"`
	Listen       string        `toml:"listen"`
	Models       []ModelRow    `toml:"model"`
	PublishEvery unit.Duration `toml:"publish-every"` // 0: on command only
}

// An InstanceRow is an initial row of the instance list.
type InstanceRow struct {
	Address       string             `toml:"address"`
	FailureDomain string             `toml:"failure-domain"`
	ID            string             `toml:"id"`
	Role          string             `toml:"role"`
	State         instancelist.State `toml:"state"`
}

// A ModelRow is an initial model of the weight store.
type ModelRow struct {
	Name    string         `toml:"name"`
	Version engine.Version `toml:"version"`
}

// ReadPlatformSettings reads a settings file.
func ReadPlatformSettings(file string, data []byte) (PlatformSettings, error) {
	defaults := PlatformSettings{
		FetchLimit: 4,
		FetchTime:  unit.Duration(200 * time.Millisecond),
		Lag:        unit.Duration(time.Second),
	}
	return readSettings(file, data, defaults, func(se PlatformSettings, ch checker) {
		ch.address("listen", se.Listen)
		ch.atLeast("fetch-limit", se.FetchLimit, 1)
		ch.notNegative("fetch-time", se.FetchTime)
		ch.notNegative("instance-list-lag", se.Lag)
		ch.notNegative("publish-every", se.PublishEvery)
		for i, row := range se.Instances {
			key := fmt.Sprintf("instance[%d]", i)
			ch.notEmpty(key+".id", row.ID)
			ch.address(key+".address", row.Address)
		}
		for i, row := range se.Models {
			ch.notEmpty(fmt.Sprintf("model[%d].name", i), row.Name)
		}
	})
}

// A Platform is the key-value service, the instance list and the weight store.
type Platform struct {
	keyValue keyValue
	list     instanceList
	settings PlatformSettings
	store    weightStore
}

// NewPlatform returns a platform of validated settings.
func NewPlatform(se PlatformSettings) *Platform {
	pl := &Platform{settings: se}
	pl.list.lag = time.Duration(se.Lag)
	for _, row := range se.Instances {
		in := instancelist.Instance(row)
		if in.State == "" {
			in.State = instancelist.Live
		}
		pl.list.put(in, time.Time{})
	}
	pl.store.limit = se.FetchLimit
	pl.store.fetchTime = time.Duration(se.FetchTime)
	for _, row := range se.Models {
		pl.store.publish(row.Name, max(1, row.Version))
	}
	return pl
}

// Serve serves on a listener and publishes weights until ctx ends.
func (pl *Platform) Serve(ctx context.Context, ln net.Listener) error {
	gr, ctx := errgroup.WithContext(ctx)
	gr.Go(func() error { return serve(ctx, ln, pl.Handler()) })
	if every := time.Duration(pl.settings.PublishEvery); every > 0 {
		gr.Go(func() error { pl.store.publishEvery(ctx, every); return nil })
	}
	return gr.Wait()
}

// A PlatformCalls is the response to GET /calls.
type PlatformCalls struct {
	Fetches int64 `json:"fetches"`
	Leases  int64 `json:"leases"`
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"` // fetches over the limit
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
}

// Calls returns how many calls of each kind were served.
func (pl *Platform) Calls() PlatformCalls {
	ca := pl.keyValue.calls()
	fetches, refused := pl.store.counts()
	return PlatformCalls{
		Fetches: fetches, Leases: ca.Leases, Reads: ca.Reads, Refused: refused, Watches: ca.Watches, Writes: ca.Writes,
	}
}

// SetFault activates a fault at the service that it names as its target.
func (pl *Platform) SetFault(fa Fault) error {
	switch fa.Target {
	case InstanceListTarget:
		return pl.list.command(fa)
	case KeyValueTarget:
		return pl.keyValue.command(fa)
	case WeightStoreTarget:
		return pl.store.command(fa)
	default:
		return errors.Wrapf(errNoSuch, "target %q", fa.Target)
	}
}

// Handler serves the three services, and /faults and /calls.
func (pl *Platform) Handler() http.Handler {
	ro := mux.NewRouter()
	ro.Handle("/faults", echoRequestID(faultHandler(pl.SetFault))).Methods(http.MethodPost)
	ro.Handle("/calls", echoRequestID(handle(func(context.Context, struct{}) (PlatformCalls, error) {
		return pl.Calls(), nil
	})))
	ro.PathPrefix("/key-value/").Handler(pl.keyValue.wrap(pl.keyValue.handler()))
	ro.PathPrefix("/instances").Handler(pl.list.wrap(pl.list.handler()))
	ro.PathPrefix("/weights").Handler(pl.store.wrap(pl.store.handler()))
	return ro
}
