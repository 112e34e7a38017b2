package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/roundtrip"
	"wisteriacroft/weightstore"
)

// maxRuns is how many runs an engine records.
const maxRuns = 100_000

// maxFetches is how many times an engine tries to fetch weights.
const maxFetches = 100

// A Run is a contiguous sequence of tokens that an engine generated for a
// request with one version.
type Run struct {
	First     int            `json:"first"`
	Prompt    string         `json:"prompt"`
	RequestID string         `json:"request-id"`
	Seed      uint64         `json:"seed"`
	Tokens    int            `json:"tokens"`
	Version   engine.Version `json:"version"`
}

// A generation is a request in progress at an engine.
type generation struct {
	changed chan struct{}
	chunks  []engine.Chunk // not yet sent
	done    bool
	length  int
	aborted bool // by a crash or a cancellation
	prefill int  // remaining steps
	req     engine.GenerateRequest
	run     int // index of its latest run, or -1
	tokens  []engine.Token
}

// notify wakes the handler that streams the response.
func (ge *generation) notify() {
	select {
	case ge.changed <- struct{}{}:
	default:
	}
}

// An Engine simulates a model engine that admits requests in arrival order.
type Engine struct {
	faults
	mu       sync.Mutex
	cache    prefixCache
	crashes  int // number of crashes
	epoch    uint64
	imported []engine.CacheSnapshot
	orders   chan engine.Order
	report   engine.Report // as served, at most a report lag old
	row      EndpointRow
	running  []*generation
	runs     []Run
	state    engine.Report // current
	store    roundtrip.Client
	hasStore bool
	waiting  []*generation
}

func newEngine(row EndpointRow, store string) *Engine {
	en := &Engine{
		cache:    newPrefixCache(row),
		orders:   make(chan engine.Order, 64),
		row:      row,
		store:    roundtrip.New(store, nil, weightstore.ErrUnavailable),
		hasStore: store != "",
	}
	en.restart()
	en.onCrash = en.crash
	return en
}

// restart resets the engine to its initial state.
func (en *Engine) restart() {
	en.cache = newPrefixCache(en.row)
	en.epoch = 0
	en.imported = nil
	en.state = engine.Report{
		Adapter: en.row.Adapter, Model: en.row.Model, Role: en.row.Role, Version: en.row.Version,
	}
}

// crash aborts all requests and resets the engine.
func (en *Engine) crash() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, ge := range slices.Concat(en.running, en.waiting) {
		ge.aborted = true
		ge.notify()
	}
	en.running, en.waiting = nil, nil
	en.crashes++
	en.restart()
}

// delayedReport returns the last published report.
func (en *Engine) delayedReport() engine.Report {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.report
}

// Runs returns a copy of the engine's recorded runs.
func (en *Engine) Runs() []Run {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.runs)
}

// count adds the generations that started at this engine to co. A resumed
// generation is counted only by the engine that started it.
func (en *Engine) count(co Counts) {
	for _, ru := range en.Runs() {
		if ru.First == 0 {
			co.Prompts[ru.Prompt]++
		}
	}
}

// Run steps the engine and executes its orders until ctx ends.
func (en *Engine) Run(ctx context.Context) {
	go en.executeOrders(ctx)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(en.row.Time))
		if delay, ok := en.trigger(Slow); ok {
			sleep(ctx, delay)
		}
		en.wait(ctx, Freeze)
		en.step(time.Now())
	}
}

// executeOrders executes the orders one by one until ctx ends.
func (en *Engine) executeOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case or := <-en.orders:
			en.load(ctx, or)
		}
	}
}

// step admits waiting requests and generates the next tokens of the running ones.
func (en *Engine) step(now time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for len(en.waiting) > 0 && len(en.running) < en.row.MaxRunning {
		ge := en.waiting[0]
		en.waiting = en.waiting[1:]
		ge.prefill = en.prefill(ge.req, now)
		en.running = append(en.running, ge)
	}
	if !en.state.Loading || en.row.ServeWhileLoading {
		for _, ge := range en.running {
			en.advance(ge)
		}
		en.running = slices.DeleteFunc(en.running, func(ge *generation) bool { return ge.done })
	}
	en.state.Running, en.state.Waiting = len(en.running), len(en.waiting)
	if now.Sub(en.report.At) >= time.Duration(en.row.ReportLag) {
		en.report = en.state
		en.report.At = now
	}
}

// prefill returns how many steps a request takes before its first token. A
// cached prefix, and an imported cache of the current version, take no steps.
func (en *Engine) prefill(req engine.GenerateRequest, now time.Time) int {
	size := len(req.Prompt)
	prefix := req.Prompt[:min(size, en.row.PrefixSize)]
	if en.cache.use(prefix, now) {
		size -= len(prefix)
	}
	size += 4 * len(req.Resume)
	for _, cs := range en.imported {
		if cs.Version == en.state.Version && len(cs.Tokens) > 0 && slices.Equal(cs.Tokens, req.Resume) {
			size = 0
		}
	}
	return size / en.row.PrefillPerStep
}

// advance generates a request's next tokens.
func (en *Engine) advance(ge *generation) {
	if ge.prefill > 0 {
		ge.prefill--
		return
	}
	ch := engine.Chunk{First: len(ge.tokens), RequestID: ge.req.ID, Version: en.state.Version}
	for range min(en.row.TokensPerStep, ge.length-len(ge.tokens)) {
		to := TokenAt(ge.req.Prompt, ge.req.Seed, len(ge.tokens), en.state.Version)
		ge.tokens = append(ge.tokens, to)
		ch.Tokens = append(ch.Tokens, to)
	}
	en.record(ge, ch)
	ch.Done = len(ge.tokens) >= ge.length
	ge.done = ch.Done
	ge.chunks = append(ge.chunks, ch)
	ge.notify()
}

// record adds a chunk to the engine's runs, up to maxRuns.
func (en *Engine) record(ge *generation, ch engine.Chunk) {
	if len(ch.Tokens) == 0 {
		return
	}
	if ge.run >= 0 && en.runs[ge.run].Version == ch.Version {
		en.runs[ge.run].Tokens += len(ch.Tokens)
		return
	}
	if len(en.runs) >= maxRuns {
		return
	}
	ge.run = len(en.runs)
	en.runs = append(en.runs, Run{
		First: ch.First, Prompt: ge.req.Prompt, RequestID: ge.req.ID, Seed: ge.req.Seed,
		Tokens: len(ch.Tokens), Version: ch.Version,
	})
}

// start enqueues a request.
func (en *Engine) start(req engine.GenerateRequest) *generation {
	ge := &generation{
		changed: make(chan struct{}, 1),
		length:  LengthOf(req.Prompt, req.Seed, req.MaxTokens),
		req:     req,
		run:     -1,
		tokens:  slices.Clone(req.Resume),
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.waiting = append(en.waiting, ge)
	return ge
}

// cancel aborts the requests for which chosen returns true.
func (en *Engine) cancel(chosen func(*generation) bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	drop := func(ge *generation) bool {
		if !chosen(ge) {
			return false
		}
		ge.aborted = true
		ge.notify()
		return true
	}
	en.running = slices.DeleteFunc(en.running, drop)
	en.waiting = slices.DeleteFunc(en.waiting, drop)
}

// takeChunks returns the chunks that are ready, and whether more can follow.
func (en *Engine) takeChunks(ge *generation) (chunks []engine.Chunk, more bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	chunks, ge.chunks = ge.chunks, nil
	return chunks, !ge.done && !ge.aborted
}

// accept enqueues an order, or rejects it if its epoch is old and the engine
// has fencing.
func (en *Engine) accept(or engine.Order) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.row.Fencing && or.Epoch < en.epoch {
		return errFenced
	}
	en.epoch = max(en.epoch, or.Epoch)
	if or.Kind == engine.SetRole {
		en.state.Role = or.Name
		return nil
	}
	select {
	case en.orders <- or:
		en.state.Loading = true
		return nil
	default:
		return errBusy
	}
}

// load executes an order, unless the engine crashes meanwhile or a fault is active.
func (en *Engine) load(ctx context.Context, or engine.Order) {
	en.mu.Lock()
	crashed := en.crashes
	we := weightstore.Weights{Model: en.state.Model, Version: or.Version}
	if or.Kind == engine.LoadModel {
		we.Model = or.Name
	}
	en.mu.Unlock()
	fetched := en.fetch(ctx, or.Kind, we)
	sleep(ctx, time.Duration(en.row.LoadTime))
	_, fails := en.trigger(SwapFails)
	_, unknown := en.trigger(SwapUnknown)
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.crashes != crashed {
		return
	}
	en.state.Loading = len(en.orders) > 0
	switch {
	case fails || !fetched:
	case unknown:
		en.state.Version = 0
	case or.Kind == engine.LoadAdapter:
		en.state.Adapter = or.Name
	case or.Kind == engine.LoadModel, or.Kind == engine.LoadVersion:
		en.state.Model, en.state.Version = we.Model, or.Version
		en.cache = newPrefixCache(en.row)
	}
}

// fetch fetches weights from the store, with up to maxFetches attempts.
func (en *Engine) fetch(ctx context.Context, kind engine.OrderKind, we weightstore.Weights) bool {
	if !en.hasStore || kind == engine.LoadAdapter {
		return true
	}
	for range maxFetches {
		path := "/weights/" + we.Model + "/fetch"
		_, status, err := roundtrip.Call[weightstore.Weights](ctx, en.store, http.MethodPost, path, we)
		if err == nil && status == http.StatusOK {
			return true
		}
		sleep(ctx, retryWait)
	}
	return false
}
