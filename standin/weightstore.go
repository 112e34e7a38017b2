package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/engine"
	"wisteriacroft/weightstore"
)

// A weightStore holds the newest version of each model.
type weightStore struct {
	faults
	mu        sync.Mutex
	fetched   int64
	fetches   int // in progress
	fetchTime time.Duration
	latest    map[string]engine.Version
	limit     int
	refused   int64
	snapshot  map[string]engine.Version
}

// publish publishes a version of a model, or the next one if it is 0.
func (ws *weightStore) publish(model string, version engine.Version) engine.Version {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.latest == nil {
		ws.latest = map[string]engine.Version{}
	}
	if version == 0 {
		version = ws.latest[model] + 1
	}
	ws.latest[model] = max(version, ws.latest[model])
	return ws.latest[model]
}

// publishEvery publishes the next version of each model at an interval.
func (ws *weightStore) publishEvery(ctx context.Context, every time.Duration) {
	for {
		sleep(ctx, every)
		if ctx.Err() != nil {
			return
		}
		ws.mu.Lock()
		models := maps.Clone(ws.latest)
		ws.mu.Unlock()
		for model := range models {
			ws.publish(model, 0)
		}
	}
}

func (ws *weightStore) version(model string) (engine.Version, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	version, ok := ws.latest[model]
	if !ok {
		return 0, errors.Wrapf(errNoSuch, "model %q", model)
	}
	return version, nil
}

func (ws *weightStore) counts() (fetched, refused int64) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.fetched, ws.refused
}

// fetch takes fetchTime, or fails if limit fetches are in progress.
func (ws *weightStore) fetch(ctx context.Context, we weightstore.Weights) error {
	latest, err := ws.version(we.Model)
	if err != nil {
		return err
	}
	if we.Version > latest {
		return errors.Wrapf(errNoSuch, "version %d of %q", we.Version, we.Model)
	}
	ws.mu.Lock()
	if ws.fetches >= ws.limit {
		ws.refused++
		ws.mu.Unlock()
		return errors.Wrapf(errBusy, "%d fetches", ws.limit)
	}
	ws.fetches++
	ws.fetched++
	ws.mu.Unlock()
	sleep(ctx, ws.fetchTime)
	ws.mu.Lock()
	ws.fetches--
	ws.mu.Unlock()
	return ctx.Err()
}

// command sets a fault, takes a snapshot or restores it.
func (ws *weightStore) command(fa Fault) error {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	switch fa.Name {
	case Snapshot:
		ws.snapshot = maps.Clone(ws.latest)
	case Restore:
		ws.latest = maps.Clone(ws.snapshot)
	default:
		ws.set(fa)
	}
	return nil
}

func (ws *weightStore) handler() http.Handler {
	ro := mux.NewRouter()
	ro.HandleFunc("/weights-rate", handle(func(context.Context, struct{}) (weightstore.Rate, error) {
		return weightstore.Rate{Fetches: ws.limit}, nil
	}))
	ro.HandleFunc("/weights/{model}", ws.model(func(_ context.Context, we weightstore.Weights) (weightstore.Weights, error) {
		version, err := ws.version(we.Model)
		return weightstore.Weights{Model: we.Model, Version: version}, err
	})).Methods(http.MethodGet)
	ro.HandleFunc("/weights/{model}", ws.model(func(_ context.Context, we weightstore.Weights) (weightstore.Weights, error) {
		return weightstore.Weights{Model: we.Model, Version: ws.publish(we.Model, we.Version)}, nil
	})).Methods(http.MethodPost)
	ro.HandleFunc("/weights/{model}/fetch", ws.model(func(ctx context.Context, we weightstore.Weights) (weightstore.Weights, error) {
		return we, ws.fetch(ctx, we)
	})).Methods(http.MethodPost)
	return ro
}

// model returns a handler for the model that the path names.
func (ws *weightStore) model(
	serve func(context.Context, weightstore.Weights) (weightstore.Weights, error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var we weightstore.Weights
		if r.Method == http.MethodPost && r.ContentLength != 0 {
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&we); err != nil {
				answer(w, nil, errors.Wrapf(errBadRequest, "decode: %v", err))
				return
			}
		}
		we.Model = mux.Vars(r)["model"]
		out, err := serve(r.Context(), we)
		answer(w, out, err)
	}
}
