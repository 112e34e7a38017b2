package usage

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/leader"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/tick"
)

// Key is the key of the Record in the key-value service. All state is in one value, so that it
// changes atomically.
const Key = "wisteriacroft/usage"

// Timing of the holder.
const (
	// stepInterval is the interval of Step.
	stepInterval = 50 * time.Millisecond
	// saveInterval is the interval at which new counts are saved. Until then entries keep
	// them; they are lost if both an entry and the holder are lost.
	saveInterval = 500 * time.Millisecond
	// wakeDelay is the delay of an entry's push after the end of a window.
	wakeDelay = 50 * time.Millisecond
	// maxWake is the maximum interval of an entry's pushes, from which a new holder also gets
	// the time.
	maxWake = 2 * time.Second
)

// ErrNotHolder means that the process accepts no pushes now.
var ErrNotHolder = errors.New("does not hold the reports of use")

// Codes returns the errors of this package that are sent between processes.
func Codes() []peer.Code { return []peer.Code{{Err: ErrNotHolder, Name: "not-usage-holder"}} }

// A Collector collects the starts of all entries, and reports them while the process holds a lease.
// Set the exported fields, then call Run.
type Collector struct {
	Client *keyvalue.Client
	// FenceFunc returns the expectation that fences writes of the holder.
	FenceFunc func(epoch uint64) (keyvalue.Expectation, bool)
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// Owner is the address of the process.
	Owner string
	// Overlap is the time within which calls of two holders must not alternate.
	Overlap time.Duration
	// SendFunc sends a report under an epoch, and returns nil once it was accepted. After ctx
	// ends, it sends no more bytes.
	SendFunc func(ctx context.Context, epoch uint64, re Report) error
	// StandingFunc returns the epoch of the lease and whether it is held.
	StandingFunc func(now time.Time) (epoch uint64, held bool)
	// SteadyFunc is the monotonic clock; nil means leader.MonotonicClock.
	SteadyFunc func() time.Duration
	Window     time.Duration // size of a window

	aggregator Aggregator
	clock      Clock
	durable    Record     // as last written or read
	mu         sync.Mutex // guards the unexported fields
	savedAt    time.Duration
	term       leader.Term[Record]
}

// Register registers the RPC method for pushes.
func (co *Collector) Register(sv *peer.Server) {
	peer.Handle(sv, pushMethod, func(_ context.Context, _ message.Header, rq PushRequest) (PushResponse, error) {
		return co.push(rq)
	})
}

// Run collects and reports until ctx ends.
func (co *Collector) Run(ctx context.Context) {
	co.start()
	(&tick.Loop{Every: stepInterval, Systems: []tick.System{{Name: "report use", Run: func(time.Time) { co.Step(ctx) }}}}).Run(ctx)
}

// start initializes the collector. A previous run of the process may have just made a call.
func (co *Collector) start() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.aggregator.Size = co.Window
	te := &co.term
	te.Client, te.FenceFunc, te.Key, te.Overlap, te.Owner = co.Client, co.FenceFunc, Key, co.Overlap, co.Owner
	te.MarkFunc = func(rec Record) leader.Author { return leader.Author{Epoch: rec.Epoch, Sender: rec.Sender} }
	te.StandingFunc, te.SteadyFunc = co.StandingFunc, co.SteadyFunc
	te.Begin()
}

func (co *Collector) monotonicNow() time.Duration {
	if co.SteadyFunc == nil {
		return leader.MonotonicClock()
	}
	return co.SteadyFunc()
}

// AddClockSample adds a sample of an instance's wall clock, in Unix microseconds; 0 is ignored.
func (co *Collector) AddClockSample(instance string, wall int64) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if wall != 0 {
		co.clock.AddSample(instance, time.UnixMicro(wall), co.monotonicNow())
	}
}

// push handles an entry's push.
func (co *Collector) push(rq PushRequest) (PushResponse, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := co.monotonicNow()
	if rq.Believed != 0 {
		co.clock.Seed(time.UnixMicro(rq.Believed), now)
	}
	co.clock.AddSample(rq.Instance, time.UnixMicro(rq.Wall), now)
	if _, held := co.StandingFunc(time.Now()); !held || co.term.Epoch() == 0 || !co.clock.Settled(now) {
		return PushResponse{}, ErrNotHolder
	}
	at := co.clock.Time(now)
	if late := co.aggregator.Apply(rq, at); late > 0 {
		co.Metrics.GetOrCreateCounter(`wisteriacroft_usage_late_total`).Add(int(late))
		co.Log.WithFields(logrus.Fields{
			"from": rq.Instance, "late": late, "next": int64(co.aggregator.record.Next), "settled-ms": (rq.Now - rq.Settled).Milliseconds(),
		}).Warn("use came after its window was decided")
	}
	end := WindowOf(at, co.Window).End(co.Window)
	return PushResponse{
		Lasting: co.durable.Sources[rq.Boot].Lasting, Now: at.UnixMicro(),
		Wake: min(end.Sub(at)+wakeDelay, maxWake),
	}, nil
}

// Step adopts the saved record, or writes and sends reports, depending on the state of the term.
func (co *Collector) Step(ctx context.Context) {
	switch st, epoch := co.term.State(); st {
	case leader.Idle:
	case leader.MustAdopt:
		co.load(ctx, epoch)
	case leader.Ready:
		co.processWindows(ctx)
	}
}

// load reads and adopts the saved record.
func (co *Collector) load(ctx context.Context, epoch uint64) {
	rec, version, err := co.term.Read(ctx)
	co.mu.Lock()
	defer co.mu.Unlock()
	lo := co.Log.WithFields(logrus.Fields{"epoch": epoch, "next": int64(rec.Next), "sender": rec.Sender, "sources": len(rec.Sources)})
	if err != nil {
		lo.WithError(err).Warn("counts of use can't be read")
		co.term.Pause()
		return
	}
	co.aggregator.load(rec)
	co.durable = rec
	co.clock.expectSeed(len(rec.Sources) > 0)
	wait := co.term.Adopt(epoch, rec, version)
	lo.WithField("calls-in-ms", wait.Milliseconds()).Info("holds the reports of use")
}

// processWindows creates, saves and sends reports.
func (co *Collector) processWindows(ctx context.Context) {
	now := co.monotonicNow()
	co.mu.Lock()
	if !co.clock.Settled(now) {
		co.mu.Unlock()
		return
	}
	decided := co.decide(co.clock.Time(now))
	due := decided || co.aggregator.dirty && now-co.savedAt >= saveInterval
	co.mu.Unlock()
	if due && !co.write(ctx) {
		return
	}
	co.sendAll(ctx)
}

// decide creates the reports of windows that can be finalized, and reports whether there were any.
// The lock is held.
func (co *Collector) decide(at time.Time) bool {
	missing := co.aggregator.missing(co.aggregator.record.Next, at)
	res := co.aggregator.Decide(at)
	for _, re := range res {
		co.Log.WithFields(logrus.Fields{
			"customers": len(re.Counts), "missing": missing, "over-ms": at.Sub(re.Window.End(co.Window)).Milliseconds(),
			"requests": re.total(), "sources": len(co.aggregator.record.Sources), "window": int64(re.Window),
		}).Info("use of a window decided")
	}
	return len(res) > 0
}

// write saves the aggregator's record, and reports whether it succeeded.
func (co *Collector) write(ctx context.Context) bool {
	epoch := co.term.Epoch()
	co.mu.Lock()
	rec := co.aggregator.record.clone()
	rec.Epoch, rec.Sender = epoch, co.Owner
	co.aggregator.dirty, co.savedAt = false, co.monotonicNow()
	co.mu.Unlock()
	err := co.term.Write(ctx, rec)
	co.mu.Lock()
	defer co.mu.Unlock()
	if err == nil {
		co.durable = rec
		return true
	}
	co.aggregator.dirty = true
	co.Log.WithError(err).WithField("epoch", epoch).Warn("counts of use can't be written")
	return false
}

// sendAll sends the reports that are not known to be accepted. Only saved ones are sent, as a
// successor must send the same.
func (co *Collector) sendAll(ctx context.Context) {
	for {
		co.mu.Lock()
		re, ok := co.nextReport()
		co.mu.Unlock()
		allowed, confirmed := co.term.MayCall()
		switch {
		case !ok || !allowed:
			return
		case !confirmed:
			if !co.write(ctx) {
				return
			}
		case !co.send(ctx, co.term.Epoch(), re):
			return
		}
	}
}

// nextReport returns the oldest saved report that is not known to be accepted. The lock is held.
func (co *Collector) nextReport() (Report, bool) {
	for _, re := range co.aggregator.unsent() {
		if re.Window < co.durable.Next {
			return re, true
		}
	}
	return Report{}, false
}

// send sends a report, and reports whether it was accepted.
func (co *Collector) send(ctx context.Context, epoch uint64, re Report) bool {
	took, err := co.term.Call(ctx, epoch, func(ctx context.Context, epoch uint64) error { return co.SendFunc(ctx, epoch, re) })
	co.mu.Lock()
	defer co.mu.Unlock()
	co.Log.WithFields(logrus.Fields{
		"epoch": epoch, "error": err, "ms": took.Milliseconds(),
		"over-ms":  co.clock.Time(co.monotonicNow()).Sub(re.Window.End(co.Window)).Milliseconds(),
		"requests": re.total(), "window": int64(re.Window),
	}).Info("use of a window sent")
	if err != nil {
		co.Metrics.GetOrCreateCounter(`wisteriacroft_usage_reports_total{outcome="failed"}`).Inc()
		return false
	}
	co.Metrics.GetOrCreateCounter(`wisteriacroft_usage_reports_total{outcome="taken"}`).Inc()
	if co.term.Epoch() == epoch {
		co.aggregator.markSent(re.Window)
	}
	return true
}
