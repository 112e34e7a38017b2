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

	"wisteriacroft/backpressure"
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

// Intervals and timeouts of a scheduler.
const (
	// tickInterval is the interval at which a scheduler makes its decisions, see Scheduler.tick.
	tickInterval = 50 * time.Millisecond
	// exchangeTimeout bounds one exchange, without the time that the attendant may wait for news.
	exchangeTimeout = time.Second
	// intakeWait is the duration of a long poll for new and ended steps. Without a recent
	// response nothing is started, since the step of an item may have ended.
	intakeWait = 2 * time.Second
	// intakeSlack is how late the response of a poll may be.
	intakeSlack = 500 * time.Millisecond
	// resultsWriteTimeout bounds one write of results. Writes can safely be repeated.
	resultsWriteTimeout = time.Second
	// probeTimeout bounds calls to the key-value service after a failed one, to detect its
	// recovery early.
	probeTimeout = 600 * time.Millisecond
	// readTimeout bounds reads of the state of earlier schedulers.
	readTimeout = 5 * time.Second
	// retryDelay is the delay after a failed call to the key-value service.
	retryDelay = 200 * time.Millisecond
	// cleanupInterval is the interval at which expired steps are dropped.
	cleanupInterval = 2 * time.Second
)

// errNotScheduler means that this process doesn't hold the scheduler lease.
var errNotScheduler = errors.New("not the scheduler")

// Codes returns the errors of this package that are sent to peers, with their wire names.
func Codes() []peer.Code {
	return []peer.Code{
		{Err: errNotScheduler, Name: "not-scheduler"},
		{Err: ErrUnknownStep, Name: "unknown-step"},
		{Err: ErrUndetermined, Name: "unsure"},
		{Err: runner.ErrOldEpoch, Name: "old-epoch"},
	}
}

// A Scheduler runs all steps while it holds the lease. Set the exported fields, then call Run.
type Scheduler struct {
	// CallFunc makes a reward call.
	CallFunc  func(ctx context.Context, ca forward.Call) forward.Response
	Directory *directory.Directory
	Holder    *lease.Holder
	Keep      time.Duration // retention period of results
	Keeper    *Store
	// LiveFunc returns, by customer, the fraction of scarce slots of plain services that live
	// requests use. Nil means none.
	LiveFunc func(now time.Time) map[string]float64
	// Holds reads the operators' holds when a term begins. May be nil.
	Holds    *hold.Store
	Log      *logrus.Entry
	Metrics  *metrics.Set
	PeerPort int // of all attendants
	Pool     *peer.Pool
	// Quarantine tracks items that crash engines. If nil, each term uses a new table.
	Quarantine *quarantine.Table
	// WallFunc receives the wall clock of attendants' instances, in Unix microseconds. May be nil.
	WallFunc func(instance string, wall int64)

	archive          archive
	cancelHolder     context.CancelFunc
	stepAccepted     chan struct{} // wakes Run after a step was accepted
	measuredServices map[string]ServiceLoad
	mu               sync.Mutex
	pressure         backpressure.Gauge // how late responses of attendants are
	termEndedAt      time.Time          // when the last term ended
	term             *term              // nil without the lease
}

// A term is a period in which a scheduler holds the lease without another holder in between.
// If the lease expires in an outage and nobody else acquires it, the term continues under a
// new epoch.
type term struct {
	newContext    func() (context.Context, context.CancelFunc) // returns a context that is canceled with the term
	rewardCalls   map[*itemRow]context.CancelFunc              // reward calls in flight
	cancel        context.CancelFunc
	epoch         uint64
	exchangeKicks map[string]chan struct{} // wake the exchange loops, by engine
	polledAt      time.Time                // last response to the intake poll
	recovery      recoverySignal
	ready         bool // the state of earlier schedulers is loaded
	table         *Table
	writeKick     chan struct{} // wakes the writer

	// configuration and endpoints are the ones that the table's engines were set from.
	configuration *directory.Configuration
	endpoints     []directory.Endpoint
}

// Register registers the scheduler's RPC methods.
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

// IsLeader reports whether the scheduler is in a term.
func (sc *Scheduler) IsLeader() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.term != nil
}

// StepDown stops the scheduler from acquiring the lease again.
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
	sc.stepAccepted = make(chan struct{}, 1)
	accepted := sc.stepAccepted
	sc.mu.Unlock()
	resumed := make(chan struct{}, 1)
	sc.Holder.HeldFunc = func() { notify(resumed) }
	go sc.Holder.Run(holding)
	ti := time.NewTicker(tickInterval)
	defer ti.Stop()
	// In its own goroutine: removing keys may block, which must not delay placement.
	go (&tick.Loop{
		Every: cleanupInterval, Systems: []tick.System{{Name: "keep house", Run: func(now time.Time) { sc.cleanUp(ctx, now) }}},
	}).Run(ctx)
	for {
		select {
		case <-ctx.Done():
			sc.updateTerm(ctx, 0)
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

// round updates the term and runs one tick. It must be called from one goroutine only:
// a concurrent call could act on an outdated lease state and end a term just continued.
func (sc *Scheduler) round(ctx context.Context, now time.Time) {
	epoch, st := sc.Holder.State(now)
	if st == lease.NotHeld {
		epoch = 0
	}
	sc.updateTerm(ctx, epoch)
	sc.tick(now)
}

// updateTerm begins, continues or ends a term according to the epoch of the lease, which is 0
// without a lease.
func (sc *Scheduler) updateTerm(ctx context.Context, epoch uint64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.term != nil && epoch != 0 && sc.Holder.Continues(sc.term.epoch) {
		sc.Log.WithFields(logrus.Fields{"epoch": epoch, "former": sc.term.epoch}).Info("scheduler goes on")
		sc.Metrics.GetOrCreateCounter(`wisteriacroft_scheduler_continuations_total`).Inc()
		sc.term.renew(epoch)
		return
	}
	if sc.term != nil && sc.term.epoch != epoch {
		sc.Log.WithField("epoch", sc.term.epoch).Warn("no longer the scheduler")
		sc.term.cancel()
		sc.term = nil
		sc.termEndedAt = time.Now()
	}
	if sc.term != nil || epoch == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	te := &term{
		newContext:  func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) },
		rewardCalls: map[*itemRow]context.CancelFunc{}, cancel: cancel, epoch: epoch, exchangeKicks: map[string]chan struct{}{},
		writeKick: make(chan struct{}, 1),
	}
	te.table = NewTable(epoch, func(event string, fields map[string]any) {
		sc.Log.WithFields(fields).WithField("epoch", te.epoch).Info(event)
	})
	if sc.Quarantine != nil {
		te.table.quarantine = sc.Quarantine
	}
	sc.term = te
	sc.Log.WithField("epoch", epoch).Info("scheduler term started")
	go sc.follow(ctx, te)
	go sc.writeLoop(ctx, te)
}

// renew continues a term under a new epoch.
//
// In a long outage of the key-value service the lease expires, but nobody else can acquire it,
// so the state of the term stays valid. A new term would delay results by loading all state
// and awaiting all attendants first.
func (te *term) renew(epoch uint64) {
	te.epoch = epoch
	te.table.SetEpoch(epoch)
	notify(te.writeKick)
}

// resume handles a newly acquired lease or the recovery of the key-value service.
func (sc *Scheduler) resume(ctx context.Context) {
	sc.round(ctx, time.Now())
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.term != nil {
		sc.term.recovery.notify()
		notify(sc.term.writeKick)
	}
}

// tick updates the table and makes the decisions of one tick.
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
		ta.SetLiveUsage(sc.LiveFunc(now))
	}
	ta.ChargeUsage(now)
	ta.DropExpired(now)
	if sc.mayStartRuns(te, now) {
		ta.MoveStragglers(now)
		ta.RelieveMemory(now)
		ta.Place(now)
		ta.OrderLoads(now)
		sc.updateCapacityMetrics(ta)
	}
	sc.updateCustomerMetrics(ta)
	sc.startRewards(te, now)
	for id, kick := range te.exchangeKicks {
		if ta.exchangeUrgent(id) {
			notify(kick)
		}
	}
}

// mayStartRuns reports whether runs may start: the lease is held, and the intake is up to date.
func (sc *Scheduler) mayStartRuns(te *term, now time.Time) bool {
	_, held := sc.Holder.Held(now)
	return held && now.Sub(te.polledAt) < intakeWait+intakeSlack
}

// refresh updates the table from the directory.
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

// refreshEngines sets the table's engines from the term's endpoints, and starts the exchange
// loops of new ones.
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
		if _, ok := te.exchangeKicks[in.ID]; !ok {
			te.exchangeKicks[in.ID] = make(chan struct{}, 1)
			go sc.exchangeLoop(te, in.ID, te.exchangeKicks[in.ID])
		}
	}
}

// attendantAddress returns the address of an engine's attendant.
func (sc *Scheduler) attendantAddress(en directory.Endpoint) string {
	host, _, err := net.SplitHostPort(en.Address)
	if err != nil {
		host = en.Address
	}
	return net.JoinHostPort(host, strconv.Itoa(sc.PeerPort))
}

func (sc *Scheduler) engineInfo(en directory.Endpoint, se directory.Service) EngineInfo {
	in := EngineInfo{
		Address: sc.attendantAddress(en), Endpoint: en.Address, ID: en.ID, Incarnation: en.Incarnation, Leaving: en.Leaving,
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

// cleanUp drops expired steps, logs the load and loads results of earlier schedulers.
func (sc *Scheduler) cleanUp(ctx context.Context, now time.Time) {
	sc.mu.Lock()
	var ids []string
	if sc.term != nil && sc.term.ready {
		ids = sc.term.table.DropOldSteps(sc.Keep, now)
		sc.term.table.LogLoad(now.Sub(sc.term.polledAt), now)
		sc.Metrics.GetOrCreateGauge(`wisteriacroft_items_held_by_operator`, nil).Set(float64(sc.term.table.heldItemCount()))
	}
	sc.mu.Unlock()
	sc.loadListedResults(ctx)
	for _, id := range ids {
		cx, cancel := context.WithTimeout(ctx, readTimeout)
		err := sc.Keeper.Drop(cx, id)
		cancel()
		if err != nil {
			sc.Log.WithError(err).WithField(stepField, id).Warn("can't drop an expired step")
		}
	}
}
