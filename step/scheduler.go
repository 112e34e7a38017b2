package step

import (
	"context"
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
	// recovery early. A service that is 90 times slower than usual responds in 0.4 s.
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
	// WallFunc receives the wall clock of attendants' instances, in Unix microseconds. May be nil.
	WallFunc func(instance string, wall int64)

	archive          archive
	stepAccepted     chan struct{} // wakes Run after a step was accepted
	measuredServices map[string]ServiceLoad
	mu               sync.Mutex
	pressure         backpressure.Gauge // how late responses of attendants are
	termEndedAt      time.Time          // when the last term ended
	term             *term              // nil without the lease
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

// Run runs the steps whenever the lease is held, until ctx ends. It can be called again afterwards.
func (sc *Scheduler) Run(ctx context.Context) {
	sc.mu.Lock()
	sc.stepAccepted = make(chan struct{}, 1)
	accepted := sc.stepAccepted
	sc.mu.Unlock()
	resumed := make(chan struct{}, 1)
	sc.Holder.HeldFunc = func() { notify(resumed) }
	var holding sync.WaitGroup
	defer holding.Wait()
	holding.Go(func() { sc.Holder.Run(ctx) })
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
	ta.launchesHeld = !sc.mayStartRuns(te, now)
	if !ta.launchesHeld {
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
