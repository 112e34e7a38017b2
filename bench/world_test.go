package bench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/attendant"
	"wisteriacroft/engine"
	"wisteriacroft/entry"
	"wisteriacroft/idempotency"
	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
	"wisteriacroft/plainservice"
	"wisteriacroft/profile"
	"wisteriacroft/standin"
	"wisteriacroft/weightstore"
)

const (
	maxRunning   = 128 // slots at each endpoint: more than the number of callers
	readyTimeout = 20 * time.Second
	lineEvery    = 5 * time.Millisecond
	lines        = 20 // token lines of a stream
)

// declarations are the profiles of the benchmarks, by name.
var declarations = map[string]string{
	"gate-api":    "kind = 'service'\nservice = 'gate-api'\ntype = 'plain'\nmax-running = 128\nendpoints = ['gate-api-1']\n",
	"gate-lookup": "kind = 'calls'\nservice = 'gate-api'\nrepeatable = true\nmax-running = 128\nmax-waiting = 128\n",
	"order-desk":  "kind = 'service'\nservice = 'order-desk'\ntype = 'plain'\nmax-running = 128\nendpoints = ['order-desk-1']\n",
	"order-line":  "kind = 'calls'\nservice = 'order-desk'\nrepeatable = false\nmax-running = 128\nmax-waiting = 128\n",
	"draft-llm":   "kind = 'service'\nservice = 'draft-llm'\ntype = 'engine'\nmax-running = 128\nendpoints = ['draft-llm-1']\n",
	"draft":       "kind = 'calls'\nservice = 'draft-llm'\nrepeatable = true\nmax-running = 128\nmax-waiting = 128\n",
}

// A world is an entry, an attendant and the systems around them, over loopback.
type world struct {
	client *http.Client
	conns  atomic.Int64 // accepted by the attendant
	engine string       // address of the engine
	entry  string       // address
	plain  string       // base URL of the plain services
	since  time.Time
}

// newWorld starts a world that ends with the benchmark.
func newWorld(b *testing.B) *world {
	ctx, cancel := context.WithCancel(context.Background())
	var standIns sync.WaitGroup
	b.Cleanup(func() { cancel(); standIns.Wait() })
	serve := func(run func(context.Context, net.Listener) error) string {
		ln := listen(b)
		standIns.Go(func() { assert.Check(b, run(ctx, ln)) })
		return "http://" + ln.Addr().String()
	}
	platform := serve(standin.NewPlatform(standin.PlatformSettings{FetchLimit: 1}).Serve)
	wo := &world{
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxRunning}},
		since:  time.Now(),
	}
	wo.plain = serve(standin.NewEndpoints(standin.EndpointsSettings{Endpoints: []standin.EndpointRow{{
		Kind: standin.PlainKind, MaxRunning: maxRunning, Names: []string{"gate-api-1", "order-desk-1"}, Time: 1,
	}}}).Serve)
	wo.engine = wo.serveEngine(b)
	wo.apply(b, platform)
	wo.startEntry(b, platform)
	wo.startAttendant(b, platform)
	wo.awaitReady(b)
	return wo
}

// listen listens on a free loopback port.
func listen(b *testing.B) net.Listener {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	return ln
}

// A countingListener counts its connections.
type countingListener struct {
	net.Listener
	count *atomic.Int64
}

// Accept implements net.Listener.
func (li countingListener) Accept() (net.Conn, error) {
	li.count.Add(1)
	return li.Listener.Accept()
}

// apply stores the profiles.
func (wo *world) apply(b *testing.B, platform string) {
	var profiles []profile.Profile
	for name, text := range declarations {
		pr, findings := profile.Parse(name, name+".toml", text)
		assert.Equal(b, len(findings), 0, "%v", findings)
		profiles = append(profiles, pr)
	}
	st := &profile.Store{Client: keyvalue.NewHTTP(platform, nil)}
	_, err := st.Apply(context.Background(), profile.ApplyRequest{By: "bench", Message: "first", Wanted: profiles})
	assert.NilError(b, err)
}

func (wo *world) startEntry(b *testing.B, platform string) {
	ln := listen(b)
	wo.entry = ln.Addr().String()
	en := entry.New(entry.Options{
		Address: wo.entry, FailureDomain: "alm-medeu", Incarnation: 1, Instance: "entry-1",
		Instances: instancelist.NewHTTP(platform, nil), KeyValue: keyvalue.NewHTTP(platform, nil),
		Weights: weightstore.NewHTTP(platform, nil),
	})
	en.Start()
	go func() { assert.Check(b, en.Serve(ln)) }()
	b.Cleanup(en.Abort)
	wo.register(b, platform, instancelist.Instance{
		Address: wo.entry, FailureDomain: "alm-medeu", ID: "entry-1", Role: "entry", State: instancelist.Live,
	})
}

func (wo *world) startAttendant(b *testing.B, platform string) {
	ln := listen(b)
	op := attendant.Options{
		Address: ln.Addr().String(), Entries: []string{wo.entry}, FailureDomain: "alm-medeu",
		Incarnation: 1, Instance: "attendant-1", Instances: instancelist.NewHTTP(platform, nil),
	}
	for _, service := range []string{"gate-api", "order-desk"} {
		name := service + "-1"
		op.Endpoints = append(op.Endpoints, attendant.EndpointOptions{
			Name: name, Plain: plainservice.NewHTTP(wo.plain+"/"+name, nil), Service: service,
		})
	}
	op.Endpoints = append(op.Endpoints, attendant.EndpointOptions{
		Engine: engine.NewHTTP(wo.engine, nil), Name: "draft-llm-1", Service: "draft-llm",
	})
	at, err := attendant.New(op)
	assert.NilError(b, err)
	at.Start()
	go func() { assert.Check(b, at.Serve(countingListener{Listener: ln, count: &wo.conns})) }()
	b.Cleanup(at.Abort)
	wo.register(b, platform, instancelist.Instance{
		Address: op.Address, FailureDomain: "alm-medeu", ID: "attendant-1", Role: "attendant", State: instancelist.Live,
	})
}

func (wo *world) register(b *testing.B, platform string, in instancelist.Instance) {
	body, err := json.Marshal(in)
	assert.NilError(b, err)
	an, err := wo.client.Post(platform+"/instances", "application/json", bytes.NewReader(body))
	assert.NilError(b, err)
	an.Body.Close()
	assert.Equal(b, an.StatusCode, http.StatusOK)
}

// awaitReady waits until a call of each kind succeeds.
func (wo *world) awaitReady(b *testing.B) {
	end := time.Now().Add(readyTimeout)
	for _, ca := range kinds {
		for {
			err := ca.through(wo, nil)
			if err == nil {
				break
			}
			assert.Assert(b, time.Now().Before(end), "%s: %v", ca.name, err)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// serveEngine serves an engine whose token ids are their write times, in
// microseconds since wo.since. The stand-in's engine generates tokens in steps,
// which would hide the latency of a hop.
func (wo *world) serveEngine(b *testing.B) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(rw http.ResponseWriter, rq *http.Request) {
		rw.Header().Set("X-Request-Id", rq.Header.Get("X-Request-Id"))
		_ = json.NewEncoder(rw).Encode(engine.Report{At: time.Now(), Model: "draft-llm", Version: 1})
	})
	mux.HandleFunc("POST /generate", func(rw http.ResponseWriter, rq *http.Request) {
		var req engine.GenerateRequest
		if json.NewDecoder(rq.Body).Decode(&req) != nil {
			return
		}
		rw.Header().Set("X-Request-Id", rq.Header.Get("X-Request-Id"))
		control := http.NewResponseController(rw)
		encoder := json.NewEncoder(rw)
		ti := time.NewTicker(lineEvery)
		defer ti.Stop()
		for i := range lines {
			token := engine.Token{ID: int32(time.Since(wo.since).Microseconds()), LogProb: -0.5}
			_ = encoder.Encode(engine.Chunk{
				Done: i == lines-1, First: i, RequestID: req.ID, Tokens: []engine.Token{token}, Version: 1,
			})
			_ = control.Flush()
			if i < lines-1 {
				<-ti.C
			}
		}
	})
	sv := &http.Server{Handler: mux}
	ln := listen(b)
	go func() { _ = sv.Serve(ln) }()
	b.Cleanup(func() { sv.Close() })
	return "http://" + ln.Addr().String()
}

// call makes a call and reads its response to the end.
func (wo *world) call(rq *http.Request, read func(io.Reader) error) error {
	an, err := wo.client.Do(rq)
	if err != nil {
		return err
	}
	defer an.Body.Close()
	if an.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(an.Body)
		return &statusError{status: an.StatusCode, text: string(text)}
	}
	return read(an.Body)
}

// newKey returns a new idempotency key.
func newKey() string {
	ke, err := idempotency.NewKey(time.Now())
	if err != nil {
		panic(err)
	}
	return ke.String()
}
