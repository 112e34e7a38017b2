package scale

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/leader"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/tick"
)

// Key is the key in the key-value service that holds the Record.
const Key = "wisteriacroft/scale"

// OverviewMethod asks the holder what it ordered and would order.
const OverviewMethod = "scale.Overview"

// ErrNotHolder means that the process does not give orders now.
var ErrNotHolder = errors.New("does not give orders for endpoints")

// Codes returns the errors of this package that cross processes.
func Codes() []peer.Code { return []peer.Code{{Err: ErrNotHolder, Name: "not-scale-holder"}} }

// stepEvery is how often a holder looks at the load.
const stepEvery = 500 * time.Millisecond

// A LastOrder is the last order of a subject.
type LastOrder struct {
	Subject
	Taken  bool `json:"taken"` // the platform answered that it took it
	Target int  `json:"target"`
}

// A Record is what lasts of the orders.
type Record struct {
	Entries int         `cbor:",omitempty"` // that told of plain services
	Epoch   uint64      // of the holder that wrote it
	Orders  []LastOrder // one for each subject
	Sender  string      // address of the holder that wrote it
}

// clone returns a copy that shares nothing.
func (rec Record) clone() Record {
	rec.Orders = append([]LastOrder(nil), rec.Orders...)
	return rec
}

// set notes an order that is to be sent.
func (rec *Record) set(or Order) {
	for i := range rec.Orders {
		if rec.Orders[i].Subject == or.Subject {
			rec.Orders[i].Target, rec.Orders[i].Taken = or.Target, false
			return
		}
	}
	rec.Orders = append(rec.Orders, LastOrder{Subject: or.Subject, Target: or.Target})
}

// A Scaler decides on orders and sends them while the process holds a lease. Fill the
// exported fields, then call Run.
//
// Symptom without the record: after a change of holder, endpoints are ordered twice or
// not at all. An order lasts before it is sent, and is sent again until it was taken, by
// whoever holds the lease: it names a number of endpoints, so that a repeat does no harm.
type Scaler struct {
	// Census is what entries tell of plain services; nil is told nothing.
	Census *LoadAggregator
	// HeldFunc reports whether an operator holds the orders of a service; nil holds none.
	HeldFunc func(service string) bool
	Log      *logrus.Entry
	Metrics  *metrics.Set
	// SendFunc sends an order under an epoch, and returns nil once it is taken. After
	// ctx ends, no byte of it is sent any more.
	SendFunc func(ctx context.Context, epoch uint64, or LastOrder) error
	// ServicesFunc returns the services that have bounds.
	ServicesFunc func(now time.Time) []Service
	// Tenure is of the process's own; Key and MarkFunc are the Scaler's to fill.
	Tenure *leader.Term[Record]

	durable  Record     // as last written or read
	mu       sync.Mutex // guards all of these
	record   Record
	services []Service // at the last look
	table    Table
	unknown  map[string]bool // services whose load was not known at the last look
}

// Run gives orders until ctx ends.
func (ho *Scaler) Run(ctx context.Context) {
	ho.Begin()
	(&tick.Loop{Every: stepEvery, Systems: []tick.System{{Name: "order endpoints", Run: func(time.Time) { ho.Step(ctx) }}}}).Run(ctx)
}

// Begin notes the process's start.
func (ho *Scaler) Begin() {
	ho.Tenure.Key = Key
	ho.Tenure.MarkFunc = func(rec Record) leader.Author { return leader.Author{Epoch: rec.Epoch, Sender: rec.Sender} }
	ho.Tenure.Begin()
}

// Step does what is to be done now. Where no service has bounds, nothing is read or
// written.
func (ho *Scaler) Step(ctx context.Context) {
	ses := ho.ServicesFunc(time.Now())
	st, epoch := ho.Tenure.State()
	if len(ses) == 0 || st == leader.Idle {
		return
	}
	if st == leader.MustAdopt {
		ho.load(ctx, epoch)
		return
	}
	ho.decide(ses)
	if ho.unwritten() && !ho.write(ctx) {
		return
	}
	ho.sendAll(ctx, epoch)
}

// load reads what lasts, and begins a turn.
func (ho *Scaler) load(ctx context.Context, epoch uint64) {
	rec, version, err := ho.Tenure.Read(ctx)
	lo := ho.Log.WithFields(logrus.Fields{"epoch": epoch, "orders": len(rec.Orders), "sender": rec.Sender})
	if err != nil {
		ho.Tenure.Pause()
		lo.WithError(err).Warn("orders for endpoints can't be read")
		return
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	targets := map[Subject]int{}
	for _, or := range rec.Orders {
		targets[or.Subject] = or.Target
	}
	ho.record, ho.durable = rec.clone(), rec
	ho.table.Adopt(targets)
	if ho.Census != nil {
		ho.Census.Begin(rec.Entries, time.Now())
	}
	wait := ho.Tenure.Adopt(epoch, rec, version)
	lo.WithField("calls-in-ms", wait.Milliseconds()).Info("gives orders for endpoints")
}

// decide takes the load in, and notes new orders.
func (ho *Scaler) decide(ses []Service) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.services = ses
	for i := range ses {
		ho.logUnknown(ses[i])
		ses[i].Held = ho.held(ses[i].Name)
	}
	// The table's times are by the steady clock: the time of day may be set back.
	ors := ho.table.Decide(ses, time.Time{}.Add(ho.Tenure.Now()))
	for _, or := range ors {
		ho.record.set(or)
		ho.Log.WithFields(logrus.Fields{
			"domain": or.Domain, "from": or.From, "service": or.Service, "target": or.Target, "wanted": or.Want,
		}).Info("endpoints ordered")
		ho.Metrics.GetOrCreateCounter(`wisteriacroft_scale_decisions_total`).Inc()
	}
	ho.prune(ses)
}

// logUnknown writes a line when the load of a service is no longer known, or is again.
func (ho *Scaler) logUnknown(se Service) {
	if se.Unknown == ho.unknown[se.Name] {
		return
	}
	if ho.unknown == nil {
		ho.unknown = map[string]bool{}
	}
	ho.unknown[se.Name] = se.Unknown
	fields := logrus.Fields{"known": !se.Unknown, "service": se.Name}
	if ho.Census != nil {
		fields["entries"], fields["told"] = ho.Census.EntryCount(time.Now()), ho.Census.Reporting(time.Now())
	}
	ho.Log.WithFields(fields).Info("load for orders of endpoints")
}

// prune drops the orders of services and failure domains that are gone: the platform may
// refuse them for good.
func (ho *Scaler) prune(ses []Service) {
	ho.record.Orders = slices.DeleteFunc(ho.record.Orders, func(or LastOrder) bool {
		known := slices.ContainsFunc(ses, func(se Service) bool { return se.Name == or.Service })
		if known && !ho.table.Removed(or.Subject) {
			return false
		}
		ho.Log.WithFields(logrus.Fields{
			"domain": or.Domain, "service": or.Service, "service-known": known, "taken": or.Taken, "target": or.Target,
		}).Info("order for endpoints dropped, its subject is gone")
		return true
	})
}

// held reports whether an operator holds the orders of a service.
func (ho *Scaler) held(service string) bool { return ho.HeldFunc != nil && ho.HeldFunc(service) }

// unwritten reports whether there are orders that don't last yet.
func (ho *Scaler) unwritten() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return slices.ContainsFunc(ho.record.Orders, func(or LastOrder) bool { return !or.Taken && !slices.Contains(ho.durable.Orders, or) })
}

// write makes the orders last, and returns whether they do.
func (ho *Scaler) write(ctx context.Context) bool {
	ho.mu.Lock()
	rec := ho.record.clone()
	ho.mu.Unlock()
	rec.Epoch, rec.Sender = ho.Tenure.Epoch(), ho.Tenure.Owner
	if ho.Census != nil {
		rec.Entries = ho.Census.EntryCount(time.Now())
	}
	if err := ho.Tenure.Write(ctx, rec); err != nil {
		ho.Log.WithError(err).WithField("epoch", rec.Epoch).Warn("orders for endpoints can't be written")
		return false
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.durable = rec
	return true
}

// sendAll sends the orders that no one is known to have taken, each once.
//
// One that the platform refuses, maybe for good, keeps no other from being sent. Where
// calls end late or not at all, the rest waits for the next step, and goes first then.
func (ho *Scaler) sendAll(ctx context.Context, epoch uint64) {
	begun := ho.Tenure.Now()
	failed := map[Subject]bool{}
	for {
		or, ok := ho.next(failed)
		allowed, confirmed := ho.Tenure.MayCall()
		switch {
		case !ok || !allowed || len(failed) > 0 && ho.Tenure.Now()-begun >= stepEvery:
			return
		case !confirmed:
			if !ho.write(ctx) {
				return
			}
		case !ho.send(ctx, epoch, or):
			failed[or.Subject] = true
			ho.putLast(or)
		}
	}
}

// next returns an order that lasts and was not taken yet: a successor must send the very
// same. Those that failed are left out.
func (ho *Scaler) next(failed map[Subject]bool) (LastOrder, bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for _, or := range ho.record.Orders {
		if !or.Taken && !failed[or.Subject] && slices.Contains(ho.durable.Orders, or) && !ho.held(or.Service) {
			return or, true
		}
	}
	return LastOrder{}, false
}

// putLast lets all other orders go before one that failed.
func (ho *Scaler) putLast(or LastOrder) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if i := slices.Index(ho.record.Orders, or); i >= 0 {
		ho.record.Orders = append(slices.Delete(ho.record.Orders, i, i+1), or)
	}
}

// send sends an order, and returns whether it was taken.
func (ho *Scaler) send(ctx context.Context, epoch uint64, or LastOrder) bool {
	took, err := ho.Tenure.Call(ctx, epoch, func(ctx context.Context, epoch uint64) error { return ho.SendFunc(ctx, epoch, or) })
	ho.Log.WithFields(logrus.Fields{
		"domain": or.Domain, "epoch": epoch, "error": err, "ms": took.Milliseconds(), "service": or.Service, "target": or.Target,
	}).Info("order for endpoints sent")
	if err != nil {
		ho.Metrics.GetOrCreateCounter(`wisteriacroft_scale_orders_total{outcome="failed"}`).Inc()
		return false
	}
	ho.Metrics.GetOrCreateCounter(`wisteriacroft_scale_orders_total{outcome="taken"}`).Inc()
	ho.taken(or)
	return true
}

// taken notes that an order was taken. It lasts with the next write: sent again by a
// successor, it changes nothing.
func (ho *Scaler) taken(or LastOrder) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for i := range ho.record.Orders {
		if ho.record.Orders[i] == or {
			ho.record.Orders[i].Taken = true
		}
	}
}

// Register lets operators ask.
func (ho *Scaler) Register(sv *peer.Server) {
	peer.Handle(sv, OverviewMethod, func(context.Context, message.Header, OverviewRequest) (Overview, error) {
		return ho.Overview()
	})
}
