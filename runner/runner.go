package runner

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Bounds of an attendant's work.
const (
	// reportEvery is how often the engine is asked for its report while the
	// scheduler is there. The engine's own figures lag by about 100 ms.
	reportEvery = 150 * time.Millisecond
	// reportTimeout bounds one report, which the engine answers without a slot.
	reportTimeout = 500 * time.Millisecond
	// reachableFor is how long a report counts.
	reachableFor = time.Second
	// schedulerGone is after how long without a scheduler, or without one since the
	// start, the engine is no longer asked: nothing would use the answer.
	schedulerGone = 5 * time.Second
	// maxResponse bounds the text in one response, in bytes. A message may have
	// 2 MB.
	maxResponse = 1 << 20
	// maxHeld bounds the runs that are kept for a scheduler that doesn't come.
	// Each may hold some 70 KB.
	maxHeld = 400
)

// ErrOldEpoch means that the call came from a scheduler that was replaced.
var ErrOldEpoch = errors.New("a later scheduler has called")

// errOvertaken means that a later call of the same scheduler came first.
var errOvertaken = errors.New("a later call has come")

// A run is one run of an item.
type run struct {
	begun       time.Time
	cancel      context.CancelFunc
	detail      string
	ended       time.Time
	endpoint    string
	engineEnded bool // as it broke
	events      []Event
	key         Key
	noted       State // as the scheduler knows it
	score       string
	seen        int // events that the scheduler has
	state       State
	told        bool // the scheduler knows of the run
	stopped     bool
}

// A Runner runs items at one engine. Fill the exported fields, then call Run.
type Runner struct {
	Engine  Engine
	Log     *logrus.Entry
	Metrics *metrics.Set

	begun    time.Time
	boot     string
	ended    chan struct{} // closed when a run ends
	engine   string        // that answered for another one
	kick     chan struct{}
	epoch    uint64
	lastCall time.Time
	mu       sync.Mutex
	numbers  map[string]uint64 // of the newest request of the epoch, by engine
	orders   orders
	pacer    pacer
	report   Report
	reportAt time.Time
	begin    func() (context.Context, context.CancelFunc) // of a run
	runs     map[Key]*run
}

// Run asks the engine for its report and carries out orders until ctx ends.
func (rn *Runner) Run(ctx context.Context) {
	rn.mu.Lock()
	rn.init()
	rn.begin = func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) }
	rn.mu.Unlock()
	ti := time.NewTicker(reportEvery)
	defer ti.Stop()
	for {
		rn.mu.Lock()
		wanted := rn.awaited()
		rn.mu.Unlock()
		if wanted {
			rn.refresh(ctx)
			rn.stepOrder(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-rn.kick:
		case <-ti.C:
		}
	}
}

// want replaces the order, and has it given at once if it is a new one.
func (rn *Runner) want(or Order) {
	if rn.orders.want(or) {
		rn.hurry()
	}
}

// hurry has Run ask the engine, and give its order, at once.
func (rn *Runner) hurry() {
	select {
	case rn.kick <- struct{}{}:
	default:
	}
}

// heardAt returns when the scheduler last called, or the start if none has.
func (rn *Runner) heardAt() time.Time {
	if rn.lastCall.IsZero() {
		return rn.begun
	}
	return rn.lastCall
}

// awaited reports whether a scheduler is there, or may come soon as the attendant has just
// started. After a loss of power a new scheduler's first call finds such attendants, and it
// can place nothing at an engine until its attendant has a report of it.
func (rn *Runner) awaited() bool { return time.Since(rn.heardAt()) < schedulerGone }

func (rn *Runner) init() {
	if rn.runs == nil {
		rn.begun = time.Now()
		rn.boot = uuid.NewString()
		rn.ended = make(chan struct{})
		rn.kick = make(chan struct{}, 1)
		rn.begin = func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) }
		rn.numbers = map[string]uint64{}
		rn.runs = map[Key]*run{}
	}
}

// LastContact says when the scheduler last called.
func (rn *Runner) LastContact() LastContactResponse {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return LastContactResponse{Epoch: rn.epoch, Since: time.Since(rn.heardAt())}
}

// take applies a request.
//
// While an instance is cut off, what was sent to it lies in the sender's buffers,
// and may be delivered after the cut ends: an item would begin after its step's end, or
// an order for old weights be taken. By then the scheduler has called anew, so that the
// number tells.
func (rn *Runner) take(rq ExchangeRequest) error {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.init()
	if rq.Epoch < rn.epoch {
		return errors.Wrapf(ErrOldEpoch, "epoch %d, not %d", rn.epoch, rq.Epoch)
	}
	if !rn.awaited() {
		rn.hurry()
	}
	rn.lastCall = time.Now()
	if rq.Epoch > rn.epoch {
		rn.welcome(rq.Epoch)
	}
	if rq.Number <= rn.numbers[rq.Endpoint] {
		rn.Log.WithFields(logrus.Fields{
			"endpoint": rq.Endpoint, "epoch": rq.Epoch, "launches": len(rq.Launches), "newest": rn.numbers[rq.Endpoint], "number": rq.Number,
		}).Warn("overtaken request refused")
		return errors.Wrapf(errOvertaken, "number %d, not %d", rq.Number, rn.numbers[rq.Endpoint])
	}
	rn.numbers[rq.Endpoint] = rq.Number
	for _, se := range rq.Seen {
		if ru, ok := rn.runs[se.Key]; ok {
			ru.seen = min(max(ru.seen, se.Events), len(ru.events))
			ru.told = true
			if se.Ended {
				ru.noted = ru.state
			}
			if se.Score != "" && ru.state == Complete {
				ru.score = se.Score
			}
		}
	}
	for _, key := range rq.Stops {
		rn.stop(key)
	}
	for _, key := range rq.Forget {
		rn.stop(key)
		delete(rn.runs, key)
	}
	for _, la := range rq.Launches {
		rn.launch(la)
	}
	if rq.Order != nil {
		rn.want(*rq.Order)
	}
	return nil
}

// welcome takes a new scheduler on: it knows nothing and gets everything.
func (rn *Runner) welcome(epoch uint64) {
	rn.Log.WithFields(logrus.Fields{"epoch": epoch, "runs": len(rn.runs)}).Info("new scheduler")
	rn.epoch = epoch
	rn.numbers = map[string]uint64{}
	rn.orders.want(Order{})
	for _, ru := range rn.runs {
		ru.seen, ru.told, ru.noted = 0, false, Running
	}
}

// news reports whether the scheduler lacks something of a run.
func (ru *run) news() bool {
	return !ru.told || ru.seen < len(ru.events) || ru.noted != ru.state
}

func (rn *Runner) stop(key Key) {
	ru, ok := rn.runs[key]
	if !ok || ru.state != Running {
		return
	}
	ru.stopped = true
	ru.cancel()
}

// launch starts a run unless a repeated message asks for it again.
func (rn *Runner) launch(la RunRequest) {
	if _, ok := rn.runs[la.Key]; ok {
		return
	}
	rn.dropOldest()
	ctx, cancel := rn.begin()
	ru := &run{begun: time.Now(), cancel: cancel, endpoint: la.Endpoint, events: slices.Clone(la.Prior), key: la.Key, seen: len(la.Prior)}
	rn.runs[la.Key] = ru
	go rn.execute(ctx, ru, la)
}

// dropOldest makes room by dropping the run that ended first.
func (rn *Runner) dropOldest() {
	if len(rn.runs) < maxHeld {
		return
	}
	var oldest *run
	for _, ru := range rn.runs {
		if ru.state != Running && (oldest == nil || ru.ended.Before(oldest.ended)) {
			oldest = ru
		}
	}
	if oldest != nil {
		delete(rn.runs, oldest.key)
	}
}

// execute runs an item to its end.
func (rn *Runner) execute(ctx context.Context, ru *run, la RunRequest) {
	defer ru.cancel()
	begun := time.Now()
	st := rn.Engine.StartFunc(ctx, la)
	if st.State == Running {
		st.State, st.Detail = rn.read(ru, st.Stream)
		st.Stream.CloseFunc()
	}
	engineEnded := st.State == Broken && rn.Engine.EndedFunc != nil && rn.Engine.EndedFunc(ctx)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	switch {
	case st.Engine != "":
		rn.engine = st.Engine
	case st.State == Complete:
		rn.engine = la.Endpoint
	}
	if ru.stopped && st.State != Complete {
		st.State = Stopped
	}
	ru.state, ru.detail, ru.ended = st.State, st.Detail, time.Now()
	ru.engineEnded = engineEnded && st.State == Broken
	close(rn.ended)
	rn.ended = make(chan struct{})
	rn.Metrics.GetOrCreateHistogram(`wisteriacroft_run_seconds{state="` + st.State.String() + `"}`).UpdateDuration(begun)
	rn.Log.WithFields(logrus.Fields{
		"after": len(la.Prior), "attempt": la.Key.Attempt, "detail": st.Detail, "endpoint": la.Endpoint,
		"engine-ended": ru.engineEnded, "events": len(ru.events), "item": la.Key.Item, "ms": time.Since(begun).Milliseconds(),
		"state": st.State.String(), "step": la.Key.Step, "version": la.Version,
	}).Info("run ended")
}

// read takes a run's events until its end.
func (rn *Runner) read(ru *run, st Stream) (State, string) {
	var before time.Time
	for {
		ev, err := st.NextFunc()
		if err != nil {
			return ending(err)
		}
		now := time.Now()
		rn.mu.Lock()
		if !before.IsZero() {
			rn.pacer.observe(now.Sub(before), now)
		}
		before = now
		last := int64(0)
		if len(ru.events) > 0 {
			last = ru.events[len(ru.events)-1].ID
		}
		gap := ev.ID != last+1
		if !gap {
			ru.events = append(ru.events, ev)
		}
		rn.mu.Unlock()
		if gap {
			return Broken, "an event is missing or came twice"
		}
	}
}

// ending returns what the end of a stream means.
func ending(err error) (State, string) {
	if errors.Is(err, io.EOF) {
		return Complete, ""
	}
	return Broken, err.Error()
}
