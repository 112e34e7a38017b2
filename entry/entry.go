package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"wisteriacroft/attendant"
	"wisteriacroft/batch"
	"wisteriacroft/blob"
	"wisteriacroft/call"
	"wisteriacroft/configuration"
	"wisteriacroft/lease"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/process"
	"wisteriacroft/profile"
	"wisteriacroft/quarantine"
	"wisteriacroft/rollout"
	"wisteriacroft/route"
	"wisteriacroft/tick"
)

// Settings of the HTTP client for attendants and other entries.
const (
	dialTimeout  = time.Second
	idleTimeout  = 2 * time.Minute
	maxIdleConns = 64 // per address
)

// An Entry serves callers and trainers.
type Entry struct {
	applied         uint64 // revision last applied to the batch owner
	batches         *batch.Owner
	blobs           *blob.Client
	dispatcher      *dispatcher
	follower        *profile.Follower
	http            *http.Server
	shutdownStarted chan struct{} // closed when the shutdown starts
	log             *logrus.Entry
	members         members
	options         Options
	ownership       *ownership
	poller          *membership.Poller
	pool            *peer.Pool
	profiles        *profile.Replica
	quarantine      *quarantine.Store // of calls that crashed endpoints
	rollouts        *rollouts
	memberTable     *membership.Table
	routes          *route.Table
	server          *peer.Server
	syncer          *profile.Syncer
	startedAt       time.Time
	transport       *http.Transport
	trainers        *trainers

	ctx  context.Context //nolint:containedctx // ends with the entry, not with a caller
	stop context.CancelFunc
	work sync.WaitGroup
}

// New returns an entry that has not been started.
func New(op Options) *Entry {
	op = op.withDefaults()
	en := &Entry{
		shutdownStarted: make(chan struct{}),
		log:             op.Log.WithField("instance", op.Instance),
		options:         op,
		profiles:        op.Profiles,
		startedAt:       time.Now(),
		transport:       newTransport(op.DialFunc),
	}
	en.ctx, en.stop = context.WithCancel(context.Background())
	en.routes = route.NewTable(route.Options{FailureDomain: op.FailureDomain, Seed: op.Seed})
	en.pool = &peer.Pool{
		DialFunc:       op.DialFunc,
		HeaderFunc:     en.header,
		MaxMessageSize: attendant.MaxMessageSize,
		ObserveFunc:    en.observe,
	}
	en.blobs = attendant.NewBlobClient(en.pool)
	en.quarantine = &quarantine.Store{
		Client: op.KeyValue, Log: en.log, Rand: rand.New(rand.NewPCG(op.Seed, quarantineStream)), Table: &quarantine.Table{},
	}
	en.ownership = &ownership{
		address: op.Address,
		client:  op.KeyValue,
		goFunc:  en.run,
		log:     en.log,
		ttl:     op.LeaseTTL,
	}
	en.rollouts = &rollouts{
		address:   op.Address,
		connect:   func(ol *rollout.Rollout) { rollout.Connect(en.ctx, en.pool, ol) },
		goFunc:    en.run,
		log:       en.log,
		ownership: en.ownership,
		profiles:  en.profiles,
		seed:      op.Seed,
		weights:   op.Weights,
	}
	en.addMembers()
	membership.Connect(en.ctx, en.pool, en.memberTable)
	en.addBatches()
	en.addProfiles()
	en.server = en.newServer()
	en.addMetrics()
	en.http = en.newHTTPServer()
	return en
}

// newTransport returns the HTTP transport to attendants and other entries.
func newTransport(dial func(ctx context.Context, address string) (net.Conn, error)) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if dial != nil {
				return dial(ctx, address)
			}
			return dialer.DialContext(ctx, network, address)
		},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
	}
}

// run runs a function in a goroutine with a context that ends with the entry.
func (en *Entry) run(fn func(context.Context)) {
	en.work.Go(func() { fn(en.ctx) })
}

// addBatches connects the batch owner to the ledger, the data folders and the
// attendants.
func (en *Entry) addBatches() {
	client := &http.Client{Transport: en.transport}
	en.batches = &batch.Owner{
		Client:        en.options.KeyValue,
		DropFunc:      en.dropPayload,
		FetchFunc:     en.fetchPayload,
		GoFunc:        en.run,
		LeaseFunc:     en.trainerLease,
		Log:           en.log,
		ReplicateFunc: en.replicate,
	}
	en.dispatcher = &dispatcher{
		client:    client,
		goFunc:    en.run,
		log:       en.log,
		owner:     en.batches,
		locations: en.locations,
		profiles:  en.profiles,
		routes:    en.routes,
	}
	en.batches.StartFunc = en.dispatcher.start
	en.batches.CancelFunc = en.dispatcher.cancel
	en.trainers = &trainers{
		forwarder:       &forwarder{client: client},
		shutdownStarted: en.shutdownStarted,
		log:             en.log,
		owner:           en.batches,
		ownership:       en.ownership,
		profiles:        en.profiles,
	}
}

// trainerLease returns the epoch and the state of the lease of a trainer's batches.
func (en *Entry) trainerLease(trainer string, now time.Time) (uint64, lease.State) {
	return en.ownership.leaseState(trainerLeasePrefix+trainer, now)
}

// dropPayload deletes a payload from all reachable data folders.
func (en *Entry) dropPayload(ctx context.Context, locations []message.BlobLocation, digest string) {
	for _, bl := range locations {
		if err := en.blobs.DeleteFunc(ctx, bl, digest); err != nil {
			en.log.WithError(err).WithFields(logrus.Fields{
				"digest": digest,
				"place":  bl.Instance,
			}).Debug("payload deletion failed; payload will expire")
		}
	}
}

func (en *Entry) fetchPayload(ctx context.Context, locations []message.BlobLocation, digest string) ([]byte, error) {
	return blob.Fetch(ctx, en.blobs, locations, digest)
}

func (en *Entry) replicate(ctx context.Context, data []byte) ([]message.BlobLocation, error) {
	return blob.Replicate(ctx, en.blobs, en.locations(), data)
}

// addProfiles creates the sources of the configuration: the key-value service, and the
// peers while that is unavailable.
func (en *Entry) addProfiles() {
	random := rand.New(rand.NewPCG(en.options.Seed, en.options.Incarnation))
	en.follower = &profile.Follower{
		Holder: en.profiles,
		Log:    en.log,
		Rand:   random,
		Store:  &profile.Store{Client: en.options.KeyValue},
	}
	en.syncer = &profile.Syncer{
		FetchFunc: configuration.Fetcher(en.pool, en.profiles),
		Holder:    en.profiles,
		Rand:      rand.New(rand.NewPCG(en.options.Seed, syncStream)),
	}
}

// newServer returns the net/rpc server with its methods.
func (en *Entry) newServer() *peer.Server {
	sv := &peer.Server{
		HeaderFunc:     en.header,
		MaxMessageSize: attendant.MaxMessageSize,
		ObserveFunc:    en.observeCaller,
	}
	attendant.HandleLocate(sv, en.locate)
	membership.Register(sv, en.memberTable)
	rollout.RegisterRollouts(sv, en.rollouts.all)
	configuration.Handle(sv, en.profiles)
	peer.Handle(sv, message.EntryStatusMethod, en.Status)
	return sv
}

// newHTTPServer returns the server of the entry's only listener.
func (en *Entry) newHTTPServer() *http.Server {
	ro := mux.NewRouter()
	ro.Handle(message.RPCPath, en.server).Methods(http.MethodConnect)
	en.trainers.register(ro)
	calls := &call.Server{
		Log: en.options.Log,
		ProfileFunc: func(service, name string) (call.Policy, error) {
			return callPolicy(en.profiles.Current(), service, name)
		},
		Quarantine: en.quarantine.Table,
		Routes:     en.routes,
		Seed:       en.options.Seed,
	}
	calls.Register(ro)
	return process.NewHTTPServer(process.CloseConnectionsWhile(en.leaving, ro))
}

// header returns the header of this process's messages.
func (en *Entry) header() message.Header {
	return message.Header{
		Incarnation: en.options.Incarnation,
		Revision:    en.profiles.Revision(),
		Sender:      en.options.Instance,
	}
}

// observe records the revision in the header of a response from address.
func (en *Entry) observe(he message.Header, address string) {
	en.syncer.Observe(address, he.Revision)
}

// Systems returns the systems that run on each tick.
func (en *Entry) Systems() []tick.System {
	sys := []tick.System{
		{Name: "spread", Run: en.syncer.Run},
		{Name: "trainers", Run: en.applyTrainers},
		{Name: "ownership", Run: en.ownership.prune},
	}
	sys = append(sys, en.memberTable.Systems()...)
	sys = append(sys, tick.System{Name: "rollouts", Run: en.rollouts.run})
	return append(sys, en.batches.Systems()...)
}

// applyTrainers is a system: it adds the trainers of a new configuration to the batch
// owner and removes those that no profile lists.
func (en *Entry) applyTrainers(time.Time) {
	do := en.profiles.Current()
	if do.Revision() == en.applied {
		return
	}
	en.applied = do.Revision()
	listed := map[string]bool{}
	for _, pr := range do.Profiles() {
		if pr.Kind() != profile.Samples {
			continue
		}
		for _, trainer := range pr.Trainers() {
			listed[trainer] = true
			en.batches.Add(trainer, batchPolicy(pr, trainer))
		}
	}
	for _, st := range en.batches.Status() {
		if !listed[st.Trainer] {
			en.batches.Remove(st.Trainer)
		}
	}
}
