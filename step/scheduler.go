package step

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/directory"
	"wisteriacroft/forward"
	"wisteriacroft/hold"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/overview"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
	"wisteriacroft/tick"
)

// Intervals of a scheduler.
const (
	// tickEvery is how often the systems run while steps are open.
	tickEvery = 50 * time.Millisecond
	// exchangeEvery is the pause between exchanges with an attendant while steps
	// are open: two or three events of each run.
	exchangeEvery = 100 * time.Millisecond
	// idleExchange is the pause between exchanges while no step is open.
	idleExchange = 400 * time.Millisecond
	// idleCost is by how much each engine lengthens the pause of those that run
	// nothing: its inverse bounds the exchanges a second with these.
	idleCost = 200 * time.Microsecond
	// awaitPause is the pause after an exchange whose answer waited for the end of a
	// run.
	awaitPause = 10 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// intakeWait is how long one call waits for steps and their ends. While it
	// can't be told whether the service still answers it, nothing is started:
	// an item of a step that has ended must not start seconds later.
	intakeWait = 2 * time.Second
	// intakeSlack is how much later an answer may come.
	intakeSlack = 500 * time.Millisecond
	// listTimeout bounds one write of results, which answers within 4 ms as a
	// rule. Its repeat is harmless.
	listTimeout = time.Second
	// probeTimeout bounds calls to a service that did not answer the last one, so
	// that its return shows soon. A service that is 90 times slower than usual
	// answers in 0.4 s.
	probeTimeout = 600 * time.Millisecond
	// loadTimeout bounds reading what earlier schedulers wrote.
	loadTimeout = 5 * time.Second
	// retryAfter is the pause after a failed call to the service.
	retryAfter = 200 * time.Millisecond
	// housekeeping is how often steps that no one reads are dropped.
	housekeeping = 2 * time.Second
)

// errNotScheduler means that another process runs the steps, or none.
var errNotScheduler = errors.New("not the scheduler")

// Codes returns the errors of this package that cross processes.
func Codes() []peer.Code {
	return []peer.Code{
		{Err: errNotScheduler, Name: "not-scheduler"},
		{Err: ErrUnknownStep, Name: "unknown-step"},
		{Err: ErrUnsure, Name: "unsure"},
		{Err: runner.ErrOldEpoch, Name: "old-epoch"},
	}
}

// A Scheduler runs all steps while it holds the lease. Fill the exported
// fields, then call Run.
type Scheduler struct {
	// CallFunc makes a reward call.
	CallFunc  func(ctx context.Context, ca forward.Call) forward.Response
	Directory *directory.Directory
	Holder    *lease.Holder
	Keep      time.Duration // results stay readable for it
	Keeper    *Store
	// LiveFunc returns which part customers' live requests have of plain services that
	// are short of places; nil stands for none.
	LiveFunc func(now time.Time) map[string]float64
	// Holds reads what operators hold when a term begins; nil reads nothing.
	Holds    *hold.Store
	Log      *logrus.Entry
	Metrics  *metrics.Set
	PeerPort int // of all attendants
	Pool     *peer.Pool
	// Quarantine holds items under which engines ended; nil stands for one of each
	// term's own.
	Quarantine *quarantine.Table
	// WallFunc is told the time of day of attendants' instances, in Unix microseconds.
	// Nil is told nothing.
	WallFunc func(instance string, wall int64)

	archive      archive
	cancelHolder context.CancelFunc
	accepted     chan struct{} // kicks of the systems: a step has come
	measured     map[string]RoomLoad
	mu           sync.Mutex
	replacedAt   time.Time // a term ended before this process did
	term         *term     // nil while another runs the steps
}

// A term is the time for which a scheduler holds the lease, with no other holder
// between. At the end of an outage in which leases ran out it goes on under a new
// epoch.
type term struct {
	begin    func() (context.Context, context.CancelFunc) // of a call that ends with the term
	calls    map[*itemRow]context.CancelFunc              // reward calls that are under way
	cancel   context.CancelFunc
	epoch    uint64
	exchange map[string]chan struct{} // kicks of the exchanges that run, by engine
	freshAt  time.Time                // the service answered for the intake
	revival  recoverySignal
	ready    bool // what earlier schedulers wrote is read
	table    *Table
	writes   chan struct{} // kicks of what writes

	// configuration and endpoints are those from which the table has its engines.
	configuration *directory.Configuration
	endpoints     []directory.Endpoint
}

// Register registers the scheduler's methods.
func (sc *Scheduler) Register(sv *peer.Server) {
	registerPing(sv)
	peer.Handle(sv, acceptMethod, func(ctx context.Context, _ message.Header, st Step) (Empty, error) {
		return Empty{}, sc.Keeper.Accept(ctx, &st)
	})
	peer.Handle(sv, endMethod, func(ctx context.Context, _ message.Header, rq EndRequest) (Empty, error) {
		return Empty{}, sc.Keeper.End(ctx, rq.ID)
	})
	peer.Handle(sv, readMethod, func(ctx context.Context, _ message.Header, rq ReadRequest) (Listing, error) {
		return sc.read(ctx, rq)
	})
	peer.Handle(sv, bodyMethod, func(ctx context.Context, _ message.Header, rq BodyRequest) (BodyResponse, error) {
		return sc.body(ctx, rq)
	})
	peer.Handle(sv, OverviewMethod, func(ctx context.Context, _ message.Header, rq OverviewRequest) (overview.Overview, error) {
		return sc.overview(ctx, rq)
	})
}

// IsLeader reports whether this process runs the steps.
func (sc *Scheduler) IsLeader() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.term != nil
}

// StepDown makes the scheduler never hold the lease again.
func (sc *Scheduler) StepDown() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.cancelHolder != nil {
		sc.cancelHolder()
	}
}

// Run runs the steps whenever the lease is held, until ctx ends.
func (sc *Scheduler) Run(ctx context.Context) {
	holding, cancel := context.WithCancel(ctx)
	defer cancel()
	sc.mu.Lock()
	sc.cancelHolder = cancel
	sc.accepted = make(chan struct{}, 1)
	accepted := sc.accepted
	sc.mu.Unlock()
	resumed := make(chan struct{}, 1)
	sc.Holder.HeldFunc = func() { notify(resumed) }
	go sc.Holder.Run(holding)
	ti := time.NewTicker(tickEvery)
	defer ti.Stop()
	// On its own: removing keys waits for the service, and placing must not.
	go (&tick.Loop{
		Every: housekeeping, Systems: []tick.System{{Name: "keep house", Run: func(now time.Time) { sc.keepHouse(ctx, now) }}},
	}).Run(ctx)
	for {
		select {
		case <-ctx.Done():
			sc.stand(ctx, 0)
			return
		case <-resumed:
			sc.resume(ctx)
		case <-accepted:
			sc.round(ctx, time.Now())
		case now := <-ti.C:
			sc.round(ctx, now)
		}
	}
}

// round begins or ends a term and runs the systems. Rounds are run by one goroutine: with
// two, the later one could act on an older standing of the lease and end the term that the
// other had just continued.
func (sc *Scheduler) round(ctx context.Context, now time.Time) {
	epoch, st := sc.Holder.State(now)
	if st == lease.NotHeld {
		epoch = 0
	}
	sc.stand(ctx, epoch)
	sc.tick(now)
}

// stand begins or ends a term.
func (sc *Scheduler) stand(ctx context.Context, epoch uint64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.term != nil && epoch != 0 && sc.Holder.Continues(sc.term.epoch) {
		sc.Log.WithFields(logrus.Fields{"epoch": epoch, "former": sc.term.epoch}).Info("scheduler goes on")
		sc.Metrics.GetOrCreateCounter(`wisteriacroft_scheduler_continuations_total`).Inc()
		sc.term.goOn(epoch)
		return
	}
	if sc.term != nil && sc.term.epoch != epoch {
		sc.Log.WithField("epoch", sc.term.epoch).Warn("no longer the scheduler")
		sc.term.cancel()
		sc.term = nil
		sc.replacedAt = time.Now()
	}
	if sc.term != nil || epoch == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	te := &term{
		begin: func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) },
		calls: map[*itemRow]context.CancelFunc{}, cancel: cancel, epoch: epoch, exchange: map[string]chan struct{}{},
		writes: make(chan struct{}, 1),
	}
	te.table = NewTable(epoch, func(event string, fields map[string]any) {
		sc.Log.WithFields(fields).WithField("epoch", te.epoch).Info(event)
	})
	if sc.Quarantine != nil {
		te.table.quarantine = sc.Quarantine
	}
	sc.term = te
	sc.Log.WithField("epoch", epoch).Info("scheduler")
	go sc.follow(ctx, te)
	go sc.writeLoop(ctx, te)
}

// goOn continues a term under a new epoch.
//
// In a long outage of the key-value service the lease expires, and no one can take it.
// Nobody held it meanwhile, so that all that the scheduler knows still holds. A new term
// would first read all that is kept and hear from all attendants, and only then list what
// has long been whole.
func (te *term) goOn(epoch uint64) {
	te.epoch = epoch
	te.table.SetEpoch(epoch)
	notify(te.writes)
}

// resume takes in that the lease is newly held, or that the service answers again.
func (sc *Scheduler) resume(ctx context.Context) {
	sc.round(ctx, time.Now())
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.term != nil {
		sc.term.revival.notify()
		notify(sc.term.writes)
	}
}

// tick runs the systems.
func (sc *Scheduler) tick(now time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te := sc.term
	if te == nil || !te.ready {
		return
	}
	sc.refresh(te, now)
	ta := te.table
	ta.EvictSilent(now)
	ta.MeasurePace(now)
	if sc.LiveFunc != nil {
		ta.SetLive(sc.LiveFunc(now))
	}
	ta.ChargeUsage(now)
	ta.DropExpired(now)
	if sc.mayPlace(te, now) {
		ta.MoveStragglers(now)
		ta.RelieveMemory(now)
		ta.Place(now)
		ta.Weights(now)
		sc.updateCapacityMetrics(ta)
	}
	sc.updateCustomerMetrics(ta)
	sc.startRewards(te, now)
	for id, kick := range te.exchange {
		if ta.wantsExchange(id) {
			notify(kick)
		}
	}
}

// mayPlace reports whether runs may begin: under a held lease, and by an intake that was
// heard of late.
func (sc *Scheduler) mayPlace(te *term, now time.Time) bool {
	_, held := sc.Holder.Held(now)
	return held && now.Sub(te.freshAt) < intakeWait+intakeSlack
}

// refresh takes in what the directory holds.
func (sc *Scheduler) refresh(te *term, now time.Time) {
	co := sc.Directory.Configuration()
	if co == nil {
		return
	}
	if ens := sc.Directory.Endpoints(""); co != te.configuration || !directory.SameList(ens, te.endpoints) {
		te.configuration, te.endpoints = co, ens
		sc.refreshEngines(te, now)
		te.table.SetWeights(co.Weights())
	}
	te.table.SetHolds(sc.Directory.Holds(), now)
	for model, version := range sc.Directory.Versions() {
		te.table.SetVersion(model, version)
	}
}

// refreshEngines takes the engines of a term's endpoints in and starts an exchange with
// the attendant of each.
func (sc *Scheduler) refreshEngines(te *term, now time.Time) {
	var infos []EngineInfo
	for _, en := range te.endpoints {
		se, ok := te.configuration.Service(en.Service)
		if !ok || len(en.Models) == 0 {
			continue
		}
		infos = append(infos, sc.engineInfo(en, se))
	}
	te.table.SetEngines(infos, now)
	for _, in := range infos {
		if _, ok := te.exchange[in.ID]; !ok {
			te.exchange[in.ID] = make(chan struct{}, 1)
			go sc.exchangeWith(te, in.ID, te.exchange[in.ID])
		}
	}
}

// attendantOf returns the address of the attendant beside an engine.
func (sc *Scheduler) attendantOf(en directory.Endpoint) string {
	host, _, err := net.SplitHostPort(en.Address)
	if err != nil {
		host = en.Address
	}
	return net.JoinHostPort(host, strconv.Itoa(sc.PeerPort))
}

func (sc *Scheduler) engineInfo(en directory.Endpoint, se directory.Service) EngineInfo {
	in := EngineInfo{
		Address: sc.attendantOf(en), Endpoint: en.Address, ID: en.ID, Incarnation: en.Incarnation, Leaving: en.Leaving,
		Service: en.Service, Slots: en.Slots, Tokens: se.Tokens, Versions: map[string]uint64{},
	}
	if in.Slots == 0 {
		in.Slots = se.Slots
	}
	for _, mo := range en.Models {
		in.Versions[mo.Model] = mo.Version
	}
	return in
}

// keepHouse drops steps that no one reads any longer.
func (sc *Scheduler) keepHouse(ctx context.Context, now time.Time) {
	sc.mu.Lock()
	var ids []string
	if sc.term != nil && sc.term.ready {
		ids = sc.term.table.DropOldSteps(sc.Keep, now)
		sc.term.table.LogLoad(now.Sub(sc.term.freshAt), now)
		sc.Metrics.GetOrCreateGauge(`wisteriacroft_items_held_by_operator`, nil).Set(float64(sc.term.table.heldItemCount()))
	}
	sc.mu.Unlock()
	sc.readMarked(ctx)
	for _, id := range ids {
		cx, cancel := context.WithTimeout(ctx, loadTimeout)
		err := sc.Keeper.Drop(cx, id)
		cancel()
		if err != nil {
			sc.Log.WithError(err).WithField(stepField, id).Warn("old step can't be dropped")
		}
	}
}
