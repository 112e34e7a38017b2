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

// Key is the key in the key-value service that holds the Record. One value holds all,
// so that a decision and what it was made of change together.
const Key = "wisteriacroft/usage"

// Times of a holder.
const (
	// stepEvery is how often a holder looks for what is to be done.
	stepEvery = 50 * time.Millisecond
	// saveEvery is how often counts that are new are written. Until then they last
	// with the entries; this is what is lost if an entry is lost with the holder.
	saveEvery = 500 * time.Millisecond
	// wakeAfterEnd is when an entry is to push after the end of a window, so that it
	// has nothing more to tell of it.
	wakeAfterEnd = 50 * time.Millisecond
	// mostWake is the longest time between two pushes of an entry: a new holder learns
	// the time from them.
	mostWake = 2 * time.Second
)

// ErrNotHolder means that the process does not take pushes now.
var ErrNotHolder = errors.New("does not hold the reports of use")

// Codes returns the errors of this package that cross processes.
func Codes() []peer.Code { return []peer.Code{{Err: ErrNotHolder, Name: "not-usage-holder"}} }

// A Collector gathers what entries count, and reports it while the process holds a lease.
// Fill the exported fields, then call Run.
type Collector struct {
	Client *keyvalue.Client
	// FenceFunc returns what a write expects that only the holder may make.
	FenceFunc func(epoch uint64) (keyvalue.Expectation, bool)
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// Owner is the address of the process, which no other machine has.
	Owner string
	// Overlap is within what time holders must not take turns.
	Overlap time.Duration
	// SendFunc sends a report under an epoch, and returns nil once it is taken. After
	// ctx ends, no byte of it is sent any more.
	SendFunc func(ctx context.Context, epoch uint64, re Report) error
	// StandingFunc returns the epoch under which the lease is held, if it is.
	StandingFunc func(now time.Time) (epoch uint64, held bool)
	// SteadyFunc is the process's steady clock; nil stands for leader.MonotonicClock.
	SteadyFunc func() time.Duration
	Window     time.Duration // size of a window

	book    Aggregator
	clock   Clock
	durable Record     // what lasts, as last written or read
	mu      sync.Mutex // guards all of these
	savedAt time.Duration
	tenure  leader.Term[Record]
}

// Register lets entries push.
func (ho *Collector) Register(sv *peer.Server) {
	peer.Handle(sv, pushMethod, func(_ context.Context, _ message.Header, rq PushRequest) (PushResponse, error) {
		return ho.push(rq)
	})
}

// Run gathers and reports until ctx ends.
func (ho *Collector) Run(ctx context.Context) {
	ho.begin()
	(&tick.Loop{Every: stepEvery, Systems: []tick.System{{Name: "report use", Run: func(time.Time) { ho.Step(ctx) }}}}).Run(ctx)
}

// begin notes the process's start, which may have called before.
func (ho *Collector) begin() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.book.Size = ho.Window
	te := &ho.tenure
	te.Client, te.FenceFunc, te.Key, te.Overlap, te.Owner = ho.Client, ho.FenceFunc, Key, ho.Overlap, ho.Owner
	te.MarkFunc = func(rec Record) leader.Author { return leader.Author{Epoch: rec.Epoch, Sender: rec.Sender} }
	te.StandingFunc, te.SteadyFunc = ho.StandingFunc, ho.SteadyFunc
	te.Begin()
}

func (ho *Collector) steady() time.Duration {
	if ho.SteadyFunc == nil {
		return leader.MonotonicClock()
	}
	return ho.SteadyFunc()
}

// AddClockSample takes in an instance's time of day, in Unix microseconds.
func (ho *Collector) AddClockSample(instance string, wall int64) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if wall != 0 {
		ho.clock.AddSample(instance, time.UnixMicro(wall), ho.steady())
	}
}

// push takes in what an entry has counted.
func (ho *Collector) push(rq PushRequest) (PushResponse, error) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.steady()
	if rq.Believed != 0 {
		ho.clock.Seed(time.UnixMicro(rq.Believed), now)
	}
	ho.clock.AddSample(rq.Instance, time.UnixMicro(rq.Wall), now)
	if _, held := ho.StandingFunc(time.Now()); !held || ho.tenure.Epoch() == 0 || !ho.clock.Settled(now) {
		return PushResponse{}, ErrNotHolder
	}
	at := ho.clock.Time(now)
	if late := ho.book.Apply(rq, at); late > 0 {
		ho.Metrics.GetOrCreateCounter(`wisteriacroft_usage_late_total`).Add(int(late))
		ho.Log.WithFields(logrus.Fields{
			"from": rq.Instance, "late": late, "next": int64(ho.book.record.Next), "settled-ms": (rq.Now - rq.Settled).Milliseconds(),
		}).Warn("use came after its window was decided")
	}
	end := WindowOf(at, ho.Window).End(ho.Window)
	return PushResponse{
		Lasting: ho.durable.Sources[rq.Boot].Lasting, Now: at.UnixMicro(),
		Wake: min(end.Sub(at)+wakeAfterEnd, mostWake),
	}, nil
}

// Step does what is to be done now.
func (ho *Collector) Step(ctx context.Context) {
	switch st, epoch := ho.tenure.State(); st {
	case leader.Idle:
	case leader.MustAdopt:
		ho.load(ctx, epoch)
	case leader.Ready:
		ho.work(ctx)
	}
}

// load reads what lasts, and begins a turn.
func (ho *Collector) load(ctx context.Context, epoch uint64) {
	rec, version, err := ho.tenure.Read(ctx)
	ho.mu.Lock()
	defer ho.mu.Unlock()
	lo := ho.Log.WithFields(logrus.Fields{"epoch": epoch, "next": int64(rec.Next), "sender": rec.Sender, "sources": len(rec.Sources)})
	if err != nil {
		lo.WithError(err).Warn("counts of use can't be read")
		ho.tenure.Pause()
		return
	}
	ho.book.load(rec)
	ho.durable = rec
	ho.clock.expectBelief(len(rec.Sources) > 0)
	wait := ho.tenure.Adopt(epoch, rec, version)
	lo.WithField("calls-in-ms", wait.Milliseconds()).Info("holds the reports of use")
}

// work decides, writes and sends.
func (ho *Collector) work(ctx context.Context) {
	now := ho.steady()
	ho.mu.Lock()
	if !ho.clock.Settled(now) {
		ho.mu.Unlock()
		return
	}
	decided := ho.decide(ho.clock.Time(now))
	due := decided || ho.book.dirty && now-ho.savedAt >= saveEvery
	ho.mu.Unlock()
	if due && !ho.write(ctx) {
		return
	}
	ho.sendAll(ctx)
}

// decide decides on the windows that are over, and reports whether there were any.
// The lock is held.
func (ho *Collector) decide(at time.Time) bool {
	missing := ho.book.missing(ho.book.record.Next, at)
	res := ho.book.Decide(at)
	for _, re := range res {
		ho.Log.WithFields(logrus.Fields{
			"customers": len(re.Counts), "missing": missing, "over-ms": at.Sub(re.Window.End(ho.Window)).Milliseconds(),
			"requests": re.total(), "sources": len(ho.book.record.Sources), "window": int64(re.Window),
		}).Info("use of a window decided")
	}
	return len(res) > 0
}

// write writes what the book holds, and returns whether it lasts.
func (ho *Collector) write(ctx context.Context) bool {
	epoch := ho.tenure.Epoch()
	ho.mu.Lock()
	rec := ho.book.record.clone()
	rec.Epoch, rec.Sender = epoch, ho.Owner
	ho.book.dirty, ho.savedAt = false, ho.steady()
	ho.mu.Unlock()
	err := ho.tenure.Write(ctx, rec)
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if err == nil {
		ho.durable = rec
		return true
	}
	ho.book.dirty = true
	ho.Log.WithError(err).WithField("epoch", epoch).Warn("counts of use can't be written")
	return false
}

// sendAll sends the reports that no one is known to have taken. Only those that last
// are sent: a successor must send the very same.
func (ho *Collector) sendAll(ctx context.Context) {
	for {
		ho.mu.Lock()
		re, ok := ho.next()
		ho.mu.Unlock()
		allowed, confirmed := ho.tenure.MayCall()
		switch {
		case !ok || !allowed:
			return
		case !confirmed:
			if !ho.write(ctx) {
				return
			}
		case !ho.send(ctx, ho.tenure.Epoch(), re):
			return
		}
	}
}

// next returns the oldest report that lasts and that no one is known to have taken.
// The lock is held.
func (ho *Collector) next() (Report, bool) {
	for _, re := range ho.book.unsent() {
		if re.Window < ho.durable.Next {
			return re, true
		}
	}
	return Report{}, false
}

// send sends a report, and returns whether it was taken.
func (ho *Collector) send(ctx context.Context, epoch uint64, re Report) bool {
	took, err := ho.tenure.Call(ctx, epoch, func(ctx context.Context, epoch uint64) error { return ho.SendFunc(ctx, epoch, re) })
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.Log.WithFields(logrus.Fields{
		"epoch": epoch, "error": err, "ms": took.Milliseconds(),
		"over-ms":  ho.clock.Time(ho.steady()).Sub(re.Window.End(ho.Window)).Milliseconds(),
		"requests": re.total(), "window": int64(re.Window),
	}).Info("use of a window sent")
	if err != nil {
		ho.Metrics.GetOrCreateCounter(`wisteriacroft_usage_reports_total{outcome="failed"}`).Inc()
		return false
	}
	ho.Metrics.GetOrCreateCounter(`wisteriacroft_usage_reports_total{outcome="taken"}`).Inc()
	if ho.tenure.Epoch() == epoch {
		ho.book.sent(re.Window)
	}
	return true
}
