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
	"golang.org/x/sync/errgroup"

	"wisteriacroft/directory"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/runner"
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
	Directory *directory.Directory
	Holder    *lease.Holder
	Keep      time.Duration // results stay readable for it
	Keeper    *Keeper
	Log       *logrus.Entry
	Metrics   *metrics.Set
	PeerPort  int // of all attendants
	Pool      *peer.Pool

	cancelHolder context.CancelFunc
	mu           sync.Mutex
	replacedAt   time.Time // a term ended before this process did
	term         *term     // nil while another runs the steps
}

// A term is the time for which a scheduler holds the lease under one epoch.
type term struct {
	cancel   context.CancelFunc
	epoch    uint64
	exchange map[string]chan struct{} // kicks of the exchanges that run, by engine
	freshAt  time.Time                // the service answered for the intake
	ready    bool                     // what earlier schedulers wrote is read
	table    *Table
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
}

// Leads reports whether this process runs the steps.
func (sc *Scheduler) Leads() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.term != nil
}

// Retire makes the scheduler never hold the lease again.
func (sc *Scheduler) Retire() {
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
	sc.mu.Unlock()
	go sc.Holder.Run(holding)
	ti := time.NewTicker(tickEvery)
	defer ti.Stop()
	kept := time.Now()
	for {
		select {
		case <-ctx.Done():
			sc.stand(ctx, 0)
			return
		case now := <-ti.C:
			epoch, st := sc.Holder.Standing(now)
			if st == lease.None {
				epoch = 0
			}
			sc.stand(ctx, epoch)
			sc.tick(now, st)
			if now.Sub(kept) > housekeeping {
				kept = now
				sc.keepHouse(ctx, now)
			}
		}
	}
}

// stand begins or ends a term.
func (sc *Scheduler) stand(ctx context.Context, epoch uint64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
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
	te := &term{cancel: cancel, epoch: epoch, exchange: map[string]chan struct{}{}}
	te.table = NewTable(epoch, func(event string, fields map[string]any) {
		sc.Log.WithFields(fields).WithField("epoch", epoch).Info(event)
	})
	sc.term = te
	sc.Log.WithField("epoch", epoch).Info("scheduler")
	go sc.follow(ctx, te)
	go sc.write(ctx, te)
}

// tick runs the systems.
func (sc *Scheduler) tick(now time.Time, st lease.Standing) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te := sc.term
	if te == nil || !te.ready {
		return
	}
	sc.refreshEngines(te, now)
	ta := te.table
	ta.Silence(now)
	ta.Paces(now)
	ta.GiveUp(now)
	if st == lease.Held && now.Sub(te.freshAt) < intakeWait+intakeSlack {
		ta.Move(now)
		ta.Relieve(now)
		ta.Place(now)
		ta.Weights(now)
	}
	for id, kick := range te.exchange {
		if ta.wantsExchange(id) {
			notify(kick)
		}
	}
}

// wantsExchange reports whether an attendant must hear something at once.
func (ta *Table) wantsExchange(id string) bool {
	en, ok := ta.engines[id]
	if !ok {
		return false
	}
	for _, ir := range en.items {
		if !ir.run.confirmed || ir.run.stopping {
			return true
		}
	}
	return en.order != nil && en.order.Version > 0 && !en.ordered
}

func notify(kick chan struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}

// refreshEngines takes the directory's engines in and starts an exchange with
// the attendant of each.
func (sc *Scheduler) refreshEngines(te *term, now time.Time) {
	co := sc.Directory.Configuration()
	if co == nil {
		return
	}
	var infos []EngineInfo
	for _, en := range sc.Directory.Endpoints("") {
		se, ok := co.Service(en.Service)
		if !ok || len(en.Models) == 0 {
			continue
		}
		infos = append(infos, sc.engineInfo(en, se))
	}
	te.table.SetEngines(infos, now)
	for model, version := range sc.Directory.Versions() {
		te.table.SetVersion(model, version)
	}
	for _, in := range infos {
		if _, ok := te.exchange[in.ID]; !ok {
			te.exchange[in.ID] = make(chan struct{}, 1)
			go sc.exchangeWith(te, in.ID, in.Address, te.exchange[in.ID])
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
		Address: sc.attendantOf(en), Domain: en.Domain, ID: en.ID, Leaving: en.Leaving,
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

// exchangeWith makes one exchange after the other with an attendant, until its
// engine is gone or the term ends.
func (sc *Scheduler) exchangeWith(te *term, id, address string, kick chan struct{}) {
	failed := false
	for {
		sc.mu.Lock()
		rq, ok := te.table.Request(id)
		open := te.table.Open()
		if !ok || sc.term != te {
			delete(te.exchange, id)
			sc.mu.Unlock()
			return
		}
		sc.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		re, err := peer.Call[runner.ExchangeRequest, runner.ExchangeResponse](ctx, sc.Pool, address, runner.ExchangeMethod, rq)
		cancel()
		if (err != nil) != failed {
			failed = err != nil
			sc.Log.WithFields(logrus.Fields{"dependency": "attendant", engineField: id, "error": err, "lost": failed}).Warn("dependency changed")
		}
		if errors.Is(err, runner.ErrOldEpoch) {
			sc.Holder.Forfeit(te.epoch)
		}
		if err == nil {
			sc.mu.Lock()
			te.table.Heard(id, rq, re, time.Now())
			sc.mu.Unlock()
		}
		pause := exchangeEvery
		switch {
		case err != nil:
			pause = retryAfter
		case !open:
			pause = idleExchange
		}
		select {
		case <-kick:
		case <-time.After(pause):
		}
	}
}

// follow reads what earlier schedulers wrote and then follows the steps that
// are accepted and ended.
func (sc *Scheduler) follow(ctx context.Context, te *term) {
	var in intake
	var after int64
	scan := true
	for ctx.Err() == nil {
		ch, err := sc.nextIntake(ctx, after, scan)
		switch {
		case errors.Is(err, keyvalue.ErrHistoryGone):
			scan = true
			continue
		case err != nil:
			sc.Log.WithError(err).Warn("steps can't be followed")
			pause(ctx, retryAfter)
			continue
		}
		accepted, ended := in.apply(ch.Items, scan)
		kept, err := sc.kept(ctx, &in, accepted)
		if err != nil {
			sc.Log.WithError(err).Warn("what is kept of steps can't be read")
			in = intake{} // read all again
			after, scan = 0, true
			pause(ctx, retryAfter)
			continue
		}
		sc.takeIntake(te, &in, accepted, ended, kept)
		after, scan = max(after, ch.Version), false
	}
}

func (sc *Scheduler) nextIntake(ctx context.Context, after int64, scan bool) (keyvalue.Changes, error) {
	if scan {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		return sc.Keeper.Client.Scan(ctx, intakePrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, intakeWait+intakeSlack)
	defer cancel()
	return sc.Keeper.Client.Follow(ctx, intakePrefix, after, intakeWait)
}

// kept reads what earlier schedulers kept of steps that are open. The results
// of those that have ended are read when someone asks.
func (sc *Scheduler) kept(ctx context.Context, in *intake, accepted []*Step) (map[string]Kept, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	kept := map[string]Kept{}
	var mu sync.Mutex
	var gr errgroup.Group
	for _, st := range accepted {
		if in.ended[st.ID] || !in.scanned[st.ID] {
			continue // a step that has just been accepted has nothing yet
		}
		gr.Go(func() error {
			ke, err := sc.Keeper.Kept(ctx, st.ID)
			mu.Lock()
			defer mu.Unlock()
			kept[st.ID] = ke
			return err
		})
	}
	return kept, gr.Wait()
}

func (sc *Scheduler) takeIntake(
	te *term, in *intake, accepted []*Step, ended []string, kept map[string]Kept,
) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := time.Now()
	for _, st := range accepted {
		te.table.Accept(st, kept[st.ID], in.ended[st.ID], now)
	}
	for _, id := range ended {
		te.table.End(id)
	}
	if !te.ready {
		te.ready = true
		sc.Log.WithFields(logrus.Fields{"epoch": te.epoch, "open": len(te.table.order), "steps": len(in.steps)}).Info("scheduler is ready")
	}
	te.freshAt = now
	if len(accepted) > 0 {
		sc.Metrics.GetOrCreateCounter(`wisteriacroft_steps_accepted_total`).Add(len(accepted))
	}
}

// write writes results and checkpoints while the term lasts, one update at a
// time. One whose outcome is not known is repeated as it was.
func (sc *Scheduler) write(ctx context.Context, te *term) {
	var up Update
	for ctx.Err() == nil {
		if up.empty() {
			sc.mu.Lock()
			up = te.table.Update(time.Now())
			sc.mu.Unlock()
		}
		if up.empty() {
			pause(ctx, tickEvery)
			continue
		}
		done, err := sc.writeOnce(ctx, te, up)
		switch {
		case done:
			sc.mu.Lock()
			te.table.Written(up)
			sc.mu.Unlock()
			up = Update{}
		case errors.Is(err, keyvalue.ErrConflict):
			sc.Log.WithError(err).Warn("results were not listed: the lease is gone")
			sc.Holder.Forfeit(te.epoch)
			return
		default:
			sc.Log.WithError(err).Warn("results can't be listed")
			pause(ctx, retryAfter)
		}
	}
}

func (sc *Scheduler) writeOnce(ctx context.Context, te *term, up Update) (bool, error) {
	fence, ok := sc.Holder.Fence(te.epoch)
	if !ok {
		return false, keyvalue.ErrConflict
	}
	defer sc.Metrics.GetOrCreateHistogram(`wisteriacroft_list_seconds`).UpdateDuration(time.Now())
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return sc.Keeper.Write(ctx, fence, up)
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// current returns the term, if this process runs the steps.
func (sc *Scheduler) current() (*term, error) {
	if sc.term == nil || !sc.term.ready {
		return nil, errNotScheduler
	}
	return sc.term, nil
}

// read returns results, after waiting for one if need be.
func (sc *Scheduler) read(ctx context.Context, rq ReadRequest) (Listing, error) {
	end := time.Now().Add(rq.Wait)
	for {
		sc.mu.Lock()
		te, err := sc.current()
		if err != nil {
			sc.mu.Unlock()
			return Listing{}, err
		}
		sr, ok := te.table.steps[rq.ID]
		if !ok {
			sc.mu.Unlock()
			return sc.readKept(ctx, rq)
		}
		if sr.ended && len(sr.results) == 0 && !sr.loaded {
			sc.mu.Unlock()
			return sc.readEnded(ctx, te, sr, rq)
		}
		li := sr.listing(rq.After)
		changed, idle := sr.changed, sr.idle
		sc.mu.Unlock()
		left := time.Until(end)
		if len(li.Results) > 0 || idle || left <= 0 {
			return li, nil
		}
		select {
		case <-ctx.Done():
			return Listing{}, ctx.Err()
		case <-changed:
		case <-time.After(left):
		}
	}
}

// readEnded reads the results of a step that ended before this scheduler's term.
func (sc *Scheduler) readEnded(ctx context.Context, te *term, sr *stepRow, rq ReadRequest) (Listing, error) {
	chunks, err := sc.Keeper.Listed(ctx, rq.ID)
	if err != nil {
		return Listing{}, errors.Wrapf(ErrUnsure, "%v", err)
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.term == te && !sr.loaded {
		sr.loaded = true
		for _, chunk := range chunks {
			sr.results = append(sr.results, chunk...)
		}
	}
	return sr.listing(rq.After), nil
}

// readKept reads a step that the scheduler doesn't hold from what is kept.
func (sc *Scheduler) readKept(ctx context.Context, rq ReadRequest) (Listing, error) {
	return sc.Keeper.Read(ctx, rq)
}

// maxListing bounds the text of one answer, in bytes: an answer may have 1 MB,
// and its encoding takes some more.
const maxListing = 800 << 10

// listing returns results from a position on.
func (sr *stepRow) listing(after int) Listing {
	return page(sr.results, after, len(sr.step.Items))
}

func page(results []Result, after, total int) Listing {
	li := Listing{Total: total}
	size := 0
	for _, re := range results[min(max(after, 0), len(results)):] {
		if size += len(re.Text); size > maxListing && len(li.Results) > 0 {
			break
		}
		li.Results = append(li.Results, re)
	}
	return li
}

// body returns an item's body.
func (sc *Scheduler) body(ctx context.Context, rq BodyRequest) (BodyResponse, error) {
	sc.mu.Lock()
	te, err := sc.current()
	if err != nil {
		sc.mu.Unlock()
		return BodyResponse{}, err
	}
	sr, ok := te.table.steps[rq.Step]
	sc.mu.Unlock()
	if ok {
		return sr.step.body(rq.Item), nil
	}
	st, err := sc.Keeper.Load(ctx, rq.Step)
	if err != nil {
		return BodyResponse{}, err
	}
	return st.body(rq.Item), nil
}

func (st *Step) body(item string) BodyResponse {
	for i := range st.Items {
		if st.Items[i].ID == item {
			return BodyResponse{Body: st.Items[i].Body, Found: true}
		}
	}
	return BodyResponse{}
}

// keepHouse drops steps that no one reads any longer.
func (sc *Scheduler) keepHouse(ctx context.Context, now time.Time) {
	sc.mu.Lock()
	var ids []string
	if sc.term != nil && sc.term.ready {
		ids = sc.term.table.Forget(sc.Keep, now)
	}
	sc.mu.Unlock()
	for _, id := range ids {
		if err := sc.Keeper.Drop(ctx, id); err != nil {
			sc.Log.WithError(err).WithField(stepField, id).Warn("old step can't be dropped")
		}
	}
}
