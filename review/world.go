package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"wisteriacroft/keyvalue"
	"wisteriacroft/platform/standin"
)

// Names that the configuration and the requests share.
const (
	host       = "review.example"
	zoneName   = "hall-1"
	llmService = "marker-llm"
	webService = "gate-api"
	modelName  = "m0"

	contentType = "Content-Type"
	jsonType    = "application/json"
	attemptID   = "X-Attempt-Id"
)

// Offsets of ports from the first internal one.
const (
	portFront = 20 + iota
	portReady
	portServer
	portStore
)

// Limits of one page of a range, from PROTOCOL.md.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// A world is a small deployment on loopback addresses.
type world struct {
	ctx     context.Context //nolint:containedctx // the lifetime of the whole case
	dir     string          // temporary folder
	memory  int             // MB of a machine
	net     string          // first three parts of all addresses
	port    int             // first internal port
	rec     *record
	root    string // of the repository
	store   *standin.Store
	storeAt string

	mu      sync.Mutex
	closing bool
	procs   []*process
	servers []*server
	web     *http.Server
}

func newWorld(ctx context.Context, re *record) (*world, error) {
	root, err := filepath.Abs(".")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "wisteriacroft")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		ctx: ctx, dir: dir, memory: 284, net: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)), port: 20000 + rand.IntN(9000),
		rec: re, root: root, store: &standin.Store{},
	}
	w.storeAt = fmt.Sprintf("%s1:%d", w.net, w.port+portStore)
	li, err := listen(ctx, w.storeAt)
	if err != nil {
		return nil, err
	}
	w.web = &http.Server{Handler: w.storeHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.web.Serve(li) }()
	return w, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", address)
}

// storeHandler serves the project's stand-in of the platform's store, with ranges in pages.
func (w *world) storeHandler() http.Handler {
	plain := w.store.Handler()
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path != "/v1/kv-range" {
			plain.ServeHTTP(rw, rq)
			return
		}
		ch, err := w.store.Memory.Client().Scan(rq.Context(), rq.FormValue("prefix"))
		if err != nil {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		sort.Slice(ch.Items, func(i, j int) bool { return ch.Items[i].Key < ch.Items[j].Key })
		items, size, more := []map[string]any{}, 0, false
		for _, it := range ch.Items {
			if it.Key <= rq.FormValue("after") {
				continue
			}
			if len(items) >= pageItems || len(items) > 0 && size+len(it.Value) > pageBytes {
				more = true
				break
			}
			size += len(it.Value)
			items = append(items, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Version, "lease": int64(it.Lease)})
		}
		rw.Header().Set(contentType, jsonType)
		_ = json.NewEncoder(rw).Encode(map[string]any{"items": items, "as_of": ch.Version, "more_pages": more})
	})
}

// put writes a key as the operator or a server does.
func (w *world) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	cl := w.store.Memory.Client()
	for w.ctx.Err() == nil {
		it, err := cl.Get(w.ctx, key)
		if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
			return
		}
		if _, err := cl.Put(w.ctx, key, data, it.Version, 0); err == nil {
			return
		}
	}
}

func (w *world) remove(key string) {
	cl := w.store.Memory.Client()
	if it, err := cl.Get(w.ctx, key); err == nil {
		_ = cl.Delete(w.ctx, key, it.Version)
	}
}

// A route is a route of the configuration, with the fields of PROTOCOL.md.
type route = json.RawMessage

// configure writes the configuration.
func (w *world) configure(version int, slots int, routes ...route) {
	w.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{
				"name": llmService, "health_path": "/health", "max_conns": 160,
				"engine": map[string]any{"slots": slots, "kv_capacity": 46422, "models": []map[string]any{{"name": modelName}}},
			},
			{"name": webService, "health_path": "/health", "max_conns": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.rec.note("operator: config %d", version)
}

// nameVersion names a version of the model.
func (w *world) nameVersion(version uint64) {
	w.put("op/version/"+modelName, map[string]any{"model": modelName, "version": version})
	w.rec.note("trainer: names version %d", version)
}

// ready waits until an entry is ready.
func (w *world) ready(ctx context.Context, front *process) error {
	url := fmt.Sprintf("http://%s:%d/v1/ready", front.ip, w.port+portReady)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if status, _, err := call(ctx, http.MethodGet, url, nil, nil, time.Second); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s doesn't get ready", front.name)
}

func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	procs, servers := w.procs, w.servers
	w.mu.Unlock()
	for _, pr := range procs {
		pr.kill("end of the case")
	}
	for _, pr := range procs {
		<-pr.ended
	}
	for _, se := range servers {
		se.crash()
	}
	_ = w.web.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// settings returns the settings file of a machine, with the fields of DEPLOY.md.
func (w *world) settings(name, class, ip string) string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "node = %q\nrole = %q\nclass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"midlands\"\n", name, class, class, class, ip, zoneName)
	fmt.Fprintf(&sb, "internal_ports = [%d,%d]\nseeds = []\nbootstrap = true\ncounts_as_loss = true\n", w.port, w.port+15)
	fmt.Fprintf(&sb, "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n")
	if class == "side" {
		fmt.Fprintf(&sb, "app = \"%s:%d\"\nservice = %q\n", ip, w.port+portServer, llmService)
	}
	sb.WriteString("[listen]\n")
	if class == "front" {
		fmt.Fprintf(&sb, "front = \"%s:%d\"\nready = \"%s:%d\"\n", ip, w.port+portFront, ip, w.port+portReady)
	}
	fmt.Fprintf(&sb, "[limits]\nmemory_mb = %d\nmax_fds = 4100\n", w.memory)
	sb.WriteString("[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n")
	sb.WriteString("stability_window_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\nrecovery_s = 12\nstatus_s = 120\n")
	sb.WriteString("cancel_ms = 3000\nsettle_ms = 1000\nquota_overshoot = 0.1\nrequire_fence = false\nlease_ms = 3000\n[platform]\n")
	fmt.Fprintf(&sb, "address = %q\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n", w.storeAt)
	return sb.String()
}
