package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/engine"
	"wisteriacroft/roundtrip"
)

// cacheBytesPerToken is the size of an exported cache per token.
const cacheBytesPerToken = 64

func (en *Engine) handler() http.Handler {
	ro := mux.NewRouter()
	ro.HandleFunc("/generate", en.generate).Methods(http.MethodPost)
	ro.HandleFunc("/cancel", handle(func(_ context.Context, id engine.CallID) (struct{}, error) {
		en.cancel(func(ge *generation) bool { return ge.req.ID == id.RequestID })
		return struct{}{}, nil
	}))
	ro.HandleFunc("/export-cache", handle(func(_ context.Context, id engine.CallID) (engine.CacheSnapshot, error) {
		return en.exportCache(id.RequestID)
	}))
	ro.HandleFunc("/import-cache", handle(func(_ context.Context, cs engine.CacheSnapshot) (struct{}, error) {
		en.importCache(cs)
		return struct{}{}, nil
	}))
	ro.HandleFunc("/orders", handle(func(_ context.Context, or engine.Order) (struct{}, error) {
		return struct{}{}, en.accept(or)
	}))
	ro.HandleFunc("/report", handle(func(context.Context, struct{}) (engine.Report, error) {
		return en.delayedReport(), nil
	}))
	ro.HandleFunc("/cache-events", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
		if err != nil {
			answer(w, nil, errors.Wrapf(errBadRequest, "after: %v", err))
			return
		}
		en.mu.Lock()
		defer en.mu.Unlock()
		answer(w, en.cache.eventsAfter(after, time.Now()), nil)
	})
	return ro
}

// generate streams a response. It cancels the request if the caller disconnects.
func (en *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		answer(w, nil, errors.Wrapf(errBadRequest, "decode: %v", err))
		return
	}
	if req.MaxTokens < 1 || len(req.Resume) > req.MaxTokens {
		answer(w, nil, errors.Wrapf(errBadRequest, "max-tokens is %d", req.MaxTokens))
		return
	}
	id := req.ID
	if echo := w.Header().Get(roundtrip.IDHeader); echo != "" {
		id = echo
	}
	ge := en.start(req)
	defer en.cancel(func(other *generation) bool { return other == ge })
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for {
		chunks, more := en.takeChunks(ge)
		for _, ch := range chunks {
			ch.RequestID = id
			_ = json.NewEncoder(w).Encode(ch)
		}
		_ = rc.Flush()
		if !more {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ge.changed:
		}
	}
}

// exportCache returns the cache of a running request.
func (en *Engine) exportCache(id string) (engine.CacheSnapshot, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, ge := range en.running {
		if ge.req.ID == id {
			return engine.CacheSnapshot{
				Data:      make([]byte, cacheBytesPerToken*len(ge.tokens)),
				RequestID: id,
				Tokens:    slices.Clone(ge.tokens),
				Version:   en.state.Version,
			}, nil
		}
	}
	return engine.CacheSnapshot{}, errors.Wrapf(errNoSuch, "request %q", id)
}

// importCache stores a cache without its data. At most CacheMemory of them are kept.
func (en *Engine) importCache(cs engine.CacheSnapshot) {
	en.mu.Lock()
	defer en.mu.Unlock()
	cs.Data = nil
	en.imported = append(en.imported, cs)
	if len(en.imported) > en.row.CacheMemory {
		en.imported = en.imported[1:]
	}
}
