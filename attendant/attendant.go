package attendant

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/blob"
	"wisteriacroft/configuration"
	"wisteriacroft/gate"
	"wisteriacroft/idempotency"
	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/peer"
	"wisteriacroft/process"
	"wisteriacroft/profile"
	"wisteriacroft/rollout"
	"wisteriacroft/tick"
)

// MaxMessageSize limits an RPC message, in bytes. It fits a sample of several hundred thousand
// tokens.
const MaxMessageSize = 16 << 20

// sweepEvery is the mean time between sweeps of the data folder.
const sweepEvery = time.Hour

// An Attendant serves the endpoints of one instance.
type Attendant struct {
	applied     uint64 // applied revision
	depot       *blob.Client
	done        chan struct{} // closed to stop the systems
	endpoints   []*endpoint   // in the order of the options
	entries     []instancelist.Instance
	fence       *rollout.Fence
	handOver    chan struct{} // closed when running samples are to be resumed elsewhere
	http        *http.Server
	loop        sync.WaitGroup
	mu          sync.Mutex // guards entries
	options     Options
	partials    *partialTable
	pool        *peer.Pool
	profiles    *profile.Replica
	random      *rand.Rand // used by systems only
	reporter    *membership.Reporter
	router      *mux.Router
	server      *peer.Server
	nextYieldAt time.Time // next time to ask former homes
	spreader    *profile.Syncer
	startedAt   time.Time
	nextSweepAt time.Time // next sweep of the data folder
	inflight    *inflight
}

// New returns an attendant for the endpoints of op.
func New(op Options) (*Attendant, error) {
	op = op.withDefaults()
	at := &Attendant{
		done:      make(chan struct{}),
		handOver:  make(chan struct{}),
		options:   op,
		partials:  &partialTable{maxAge: op.PartialAge, maxTokens: op.PartialTokens},
		profiles:  op.Profiles,
		random:    rand.New(rand.NewPCG(op.Seed, 0)),
		startedAt: time.Now(),
		inflight:  newInflight(),
	}
	for _, eo := range op.Endpoints {
		if err := at.addEndpoint(eo); err != nil {
			return nil, errors.Wrapf(err, "endpoint %s", eo.Name)
		}
	}
	at.spreader = &profile.Syncer{Holder: op.Profiles, Rand: rand.New(rand.NewPCG(op.Seed, 1))}
	at.pool = &peer.Pool{
		DialFunc:       op.DialFunc,
		HeaderFunc:     at.header,
		MaxMessageSize: MaxMessageSize,
		ObserveFunc: func(he message.Header, address string) {
			at.spreader.Observe(address, he.Revision)
		},
	}
	at.spreader.FetchFunc = configuration.Fetcher(at.pool, op.Profiles)
	at.depot = NewBlobClient(at.pool)
	op.Metrics.GetOrCreateGauge("wisteriacroft_attendant_revision", func() float64 {
		return float64(op.Profiles.Revision())
	})
	at.fence = at.newFence()
	at.reporter = at.newReporter()
	at.observeList(at.configuredEntries())
	at.server = at.newServer()
	at.router = at.newRouter()
	at.http = process.NewHTTPServer(process.CloseConnectionsWhile(at.inflight.isLeaving, at))
	return at, nil
}

// addEndpoint adds an endpoint that has not been contacted yet.
func (at *Attendant) addEndpoint(eo EndpointOptions) error {
	if at.endpoint(eo.Name) != nil {
		return errors.New("duplicate endpoint name")
	}
	if (eo.Engine == nil) == (eo.Plain == nil) {
		return errors.New("needs either an engine or a plain service")
	}
	en := &endpoint{
		engine:  eo.Engine,
		gate:    gate.NewGate(gate.Policy{}),
		name:    eo.Name,
		keys:    idempotency.NewTable(idempotency.Options{Endpoint: eo.Name, Started: at.startedAt}),
		plain:   eo.Plain,
		service: eo.Service,
	}
	en.metrics = newEndpointMetrics(at.options.Metrics, en)
	at.endpoints = append(at.endpoints, en)
	return nil
}

// newServer returns the RPC server with its methods.
func (at *Attendant) newServer() *peer.Server {
	sv := &peer.Server{HeaderFunc: at.header, MaxMessageSize: MaxMessageSize}
	configuration.Handle(sv, at.profiles)
	rollout.RegisterFence(sv, at.fence)
	peer.Handle(sv, PartialMethod, at.Partial)
	peer.Handle(sv, YieldMethod, at.Yield)
	peer.Handle(sv, message.AttendantStatusMethod, at.Status)
	if at.options.Store != nil {
		HandleBlobs(sv, at.options.Store)
	}
	return sv
}

// newRouter returns the HTTP routes.
func (at *Attendant) newRouter() *mux.Router {
	ro := mux.NewRouter().UseEncodedPath()
	ro.Use(traced)
	ro.HandleFunc(message.CallPath, at.serveCall)
	ro.Handle(message.RPCPath, at.server).Methods(http.MethodConnect)
	ro.HandleFunc(message.SamplePath, at.serveSample).Methods(http.MethodPost)
	ro.HandleFunc(message.StreamPath, at.serveStream).Methods(http.MethodPost)
	ro.NotFoundHandler = http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		id := rq.Header.Get(message.RequestIDHeader)
		at.refuse(rw, nil, outcome.NewRefusal(outcome.BadRequest, id, "no such path: "+rq.URL.Path))
	})
	return ro
}

// Systems returns the systems that run on each tick.
func (at *Attendant) Systems() []tick.System {
	systems := []tick.System{
		{Name: "policies", Run: at.applyProfiles},
		{Name: "gates", Run: at.runGates},
		{Name: "partials", Run: at.partials.Run},
		{Name: "reports", Run: at.pollReports},
		{Name: "data-folder", Run: at.sweepStore},
		{Name: "homes", Run: at.settleHomes},
		{Name: "spreader", Run: at.spreader.Run},
		{Name: "states", Run: at.reportStates},
	}
	return append(systems, at.reporter.Systems()...)
}

// Start runs the attendant's systems until Shutdown.
func (at *Attendant) Start() {
	lo := &tick.Loop{Every: at.options.TickEvery, Systems: at.Systems()}
	ctx, cancel := withDone(context.Background(), at.done, nil)
	rollout.ConnectFence(ctx, at.pool, at.fence)
	membership.ConnectReporter(ctx, at.pool, at.reporter)
	at.loop.Go(func() { at.pollInstances(ctx) })
	at.loop.Go(func() {
		defer cancel()
		lo.Run(ctx)
	})
}

// ServeHTTP implements http.Handler.
func (at *Attendant) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	at.router.ServeHTTP(rw, rq)
}

// header returns the header of RPC messages from this process.
func (at *Attendant) header() message.Header {
	return message.Header{
		Incarnation: at.options.Incarnation,
		Revision:    at.profiles.Revision(),
		Sender:      at.options.Instance,
	}
}

// setHeader sets the headers common to all answers of an endpoint.
func (at *Attendant) setHeader(he http.Header, en *endpoint) {
	he.Set(message.EndpointHeader, en.name)
	he.Set(message.LoadHeader, en.gate.Load().String())
	he.Set(message.RevisionHeader, strconv.FormatUint(at.profiles.Revision(), 10))
}

// endpoint returns the endpoint with a name, or nil.
func (at *Attendant) endpoint(name string) *endpoint {
	for _, en := range at.endpoints {
		if en.name == name {
			return en
		}
	}
	return nil
}

// runGates expires waiting requests and idempotency keys.
func (at *Attendant) runGates(now time.Time) {
	for _, en := range at.endpoints {
		en.gate.Tick(now)
		en.keys.Expire(now)
	}
}

// sweepStore deletes old payloads from the data folder.
func (at *Attendant) sweepStore(now time.Time) {
	if at.options.Store == nil || now.Before(at.nextSweepAt) {
		return
	}
	at.nextSweepAt = now.Add(at.jitter(sweepEvery))
	at.loop.Go(func() {
		count, err := at.options.Store.Sweep(now)
		lo := at.options.Log.WithField("data-folder", at.options.Store.Folder)
		if err != nil {
			lo.WithError(err).Error("could not sweep the data folder")
		} else if count > 0 {
			lo.WithField("payloads", count).Info("old payloads deleted")
		}
	})
}
