package runner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"wisteriacroft/broadcast"
)

const (
	// reportInterval is the interval between reports while a scheduler is connected. The engine's own figures lag
	// by about 100 ms.
	reportInterval = 150 * time.Millisecond
	// reportTimeout bounds one call for a report, which occupies no slot of the engine.
	reportTimeout = 500 * time.Millisecond
	// reportTTL is the maximum age of a report for the engine to count as reachable.
	reportTTL = time.Second
	// schedulerTimeout is the time without a scheduler's call after which the engine is
	// not polled.
	schedulerTimeout = 5 * time.Second
	// maxResponse bounds the text in one response, in bytes. A message is limited to 2 MB.
	maxResponse = 1 << 20
	// maxRuns bounds the runs that are kept while no scheduler forgets them. Each may hold some 70 KB.
	maxRuns = 400
)

// ErrOldEpoch means that the caller is a scheduler that was replaced.
var ErrOldEpoch = errors.New("a later scheduler has called")

// errOutOfOrder means that a later request of the same scheduler arrived first.
var errOutOfOrder = errors.New("a later call has come")

// A Runner runs items at one engine. Set the exported fields, then call Run.
type Runner struct {
	Engine  Engine
	Log     *logrus.Entry
	Metrics *metrics.Set

	startedAt     time.Time
	boot          string
	engine        string // ID of the engine that answered last, if known
	wake          chan struct{}
	epoch         uint64
	lastCall      time.Time
	mu            sync.Mutex
	news          broadcast.Signal  // of requests, and of what the scheduler should hear of at once
	noted         uint64            // number of such events
	reported      uint64            // noted at the last response
	numbers       map[string]uint64 // highest request number of the epoch, by engine
	orderTracker  orderTracker
	pacer         pacer
	report        Report
	reportAt      time.Time
	newRunContext func() (context.Context, context.CancelFunc) // context of a new run
	runs          map[Key]*run
}

// Run polls the engine's report and sends orders until ctx ends.
func (rn *Runner) Run(ctx context.Context) {
	rn.mu.Lock()
	rn.init()
	rn.newRunContext = func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) }
	rn.mu.Unlock()
	ti := time.NewTicker(reportInterval)
	defer ti.Stop()
	for {
		rn.mu.Lock()
		active := rn.schedulerActive()
		rn.mu.Unlock()
		if active {
			rn.refresh(ctx)
			rn.stepOrder(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-rn.wake:
		case <-ti.C:
		}
	}
}

// setOrder replaces the order and, if it is new, wakes Run to send it.
func (rn *Runner) setOrder(or Order) {
	if rn.orderTracker.setOrder(or) {
		rn.wakeUp()
	}
}

// wakeUp wakes Run without waiting for its next tick.
func (rn *Runner) wakeUp() {
	select {
	case rn.wake <- struct{}{}:
	default:
	}
}

// lastContact returns when the scheduler last called, or the start time if none has.
func (rn *Runner) lastContact() time.Time {
	if rn.lastCall.IsZero() {
		return rn.startedAt
	}
	return rn.lastCall
}

// schedulerActive reports whether a scheduler has called recently or the attendant has just
// started. Polling right after the start lets the first call of a scheduler return a
// report, which the scheduler needs before it can place items.
func (rn *Runner) schedulerActive() bool { return time.Since(rn.lastContact()) < schedulerTimeout }

func (rn *Runner) init() {
	if rn.runs == nil {
		rn.startedAt = time.Now()
		rn.boot = uuid.NewString()
		rn.wake = make(chan struct{}, 1)
		rn.newRunContext = func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) }
		rn.numbers = map[string]uint64{}
		rn.runs = map[Key]*run{}
	}
}

// LastContact returns when the scheduler last called, and its epoch.
func (rn *Runner) LastContact() LastContactResponse {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return LastContactResponse{Epoch: rn.epoch, Since: time.Since(rn.lastContact())}
}

// apply applies a request.
//
// A request sent during a network partition may be delivered after the partition ends
// and would start an item after its step's end, or order old weights. The scheduler has
// sent later requests by then, so the request number reveals it.
func (rn *Runner) apply(rq ExchangeRequest) error {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.init()
	if rq.Epoch < rn.epoch {
		return errors.Wrapf(ErrOldEpoch, "epoch %d, not %d", rn.epoch, rq.Epoch)
	}
	if !rn.schedulerActive() {
		rn.wakeUp()
	}
	rn.lastCall = time.Now()
	if rq.Epoch > rn.epoch {
		rn.startEpoch(rq.Epoch)
	}
	if rq.Number <= rn.numbers[rq.Endpoint] {
		rn.Log.WithFields(logrus.Fields{
			"endpoint": rq.Endpoint, "epoch": rq.Epoch, "launches": len(rq.Launches), "newest": rn.numbers[rq.Endpoint], "number": rq.Number,
		}).Warn("overtaken request refused")
		return errors.Wrapf(errOutOfOrder, "number %d, not %d", rq.Number, rn.numbers[rq.Endpoint])
	}
	rn.numbers[rq.Endpoint] = rq.Number
	rn.news.Notify() // an earlier request that still waits is replaced
	for _, ac := range rq.Seen {
		if ru, ok := rn.runs[ac.Key]; ok {
			ru.ackedEvents = min(max(ru.ackedEvents, ac.Events), len(ru.events))
			ru.acked = true
			if ac.Ended {
				ru.ackedState = ru.state
			}
			if ac.Score != "" && ru.state == Complete {
				ru.score = ac.Score
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
	for _, rr := range rq.Launches {
		rn.launch(rr)
	}
	if rq.Order != nil {
		rn.setOrder(*rq.Order)
	}
	return nil
}

// startEpoch starts the epoch of a new scheduler, which has to receive all runs in full.
func (rn *Runner) startEpoch(epoch uint64) {
	rn.Log.WithFields(logrus.Fields{"epoch": epoch, "runs": len(rn.runs)}).Info("new scheduler")
	rn.epoch = epoch
	rn.numbers = map[string]uint64{}
	rn.orderTracker.setOrder(Order{})
	for _, ru := range rn.runs {
		ru.ackedEvents, ru.acked, ru.ackedState = 0, false, Running
	}
}

func (rn *Runner) stop(key Key) {
	ru, ok := rn.runs[key]
	if !ok || ru.state != Running {
		return
	}
	ru.stopped = true
	ru.cancel()
}
