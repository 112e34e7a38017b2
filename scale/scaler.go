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

// Key is the key of the Record in the key-value service.
const Key = "wisteriacroft/scale"

// OverviewMethod is the RPC method that returns the Overview.
const OverviewMethod = "scale.Overview"

// ErrNotHolder means that the process does not send scaling orders now.
var ErrNotHolder = errors.New("does not give orders for endpoints")

// Codes returns the errors of this package that are sent between processes.
func Codes() []peer.Code { return []peer.Code{{Err: ErrNotHolder, Name: "not-scale-holder"}} }

// stepInterval is the interval of Step.
const stepInterval = 500 * time.Millisecond

// A LastOrder is the last order of a subject.
type LastOrder struct {
	Subject
	Taken  bool `json:"taken"` // the platform has accepted it
	Target int  `json:"target"`
}

// A Record is the saved state of the orders.
type Record struct {
	Entries int         `cbor:",omitempty"` // that report loads of plain services
	Epoch   uint64      // of the holder that wrote it
	Orders  []LastOrder // one for each subject
	Sender  string      // address of the holder that wrote it
}

// clone returns a copy that shares nothing.
func (rec Record) clone() Record {
	rec.Orders = append([]LastOrder(nil), rec.Orders...)
	return rec
}

// set sets the order of a subject, to be sent.
func (rec *Record) set(or Order) {
	for i := range rec.Orders {
		if rec.Orders[i].Subject == or.Subject {
			rec.Orders[i].Target, rec.Orders[i].Taken = or.Target, false
			return
		}
	}
	rec.Orders = append(rec.Orders, LastOrder{Subject: or.Subject, Target: or.Target})
}

// A Scaler computes scaling orders, and sends them while the process holds a lease. Set the exported
// fields, then call Run.
//
// An order is saved before it is sent, and sent again by the current holder until it was accepted.
// Otherwise endpoints could be ordered twice or not at all after a change of holder. Orders are
// idempotent, as each sets a number of endpoints.
type Scaler struct {
	// Census aggregates the loads of plain services that entries report; it is optional.
	Census *LoadAggregator
	// HeldFunc reports whether an operator holds the scaling of a service; nil means never.
	HeldFunc func(service string) bool
	Log      *logrus.Entry
	Metrics  *metrics.Set
	// SendFunc sends an order under an epoch, and returns nil once it was accepted. After ctx
	// ends, it sends no more bytes.
	SendFunc func(ctx context.Context, epoch uint64, or LastOrder) error
	// ServicesFunc returns the services that are autoscaled.
	ServicesFunc func(now time.Time) []Service
	// Tenure is the process's term. The Scaler sets its Key and MarkFunc.
	Tenure *leader.Term[Record]

	durable  Record     // as last written or read
	mu       sync.Mutex // guards the unexported fields
	record   Record
	services []Service // at the last step
	table    Table
	unknown  map[string]bool // services whose load was unknown at the last step
}

// Run runs until ctx ends.
func (sc *Scaler) Run(ctx context.Context) {
	sc.Begin()
	(&tick.Loop{Every: stepInterval, Systems: []tick.System{{Name: "order endpoints", Run: func(time.Time) { sc.Step(ctx) }}}}).Run(ctx)
}

// Begin initializes the term.
func (sc *Scaler) Begin() {
	sc.Tenure.Key = Key
	sc.Tenure.MarkFunc = func(rec Record) leader.Author { return leader.Author{Epoch: rec.Epoch, Sender: rec.Sender} }
	sc.Tenure.Begin()
}

// Step adopts the saved record, or computes and sends orders, depending on the state of the term. It
// does nothing if no service is autoscaled.
func (sc *Scaler) Step(ctx context.Context) {
	ses := sc.ServicesFunc(time.Now())
	st, epoch := sc.Tenure.State()
	if len(ses) == 0 || st == leader.Idle {
		return
	}
	if st == leader.MustAdopt {
		sc.load(ctx, epoch)
		return
	}
	sc.decide(ses)
	if sc.hasUnwritten() && !sc.write(ctx) {
		return
	}
	sc.sendAll(ctx, epoch)
}

// load reads and adopts the saved record.
func (sc *Scaler) load(ctx context.Context, epoch uint64) {
	rec, version, err := sc.Tenure.Read(ctx)
	lo := sc.Log.WithFields(logrus.Fields{"epoch": epoch, "orders": len(rec.Orders), "sender": rec.Sender})
	if err != nil {
		sc.Tenure.Pause()
		lo.WithError(err).Warn("cannot read orders for endpoints")
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	targets := map[Subject]int{}
	for _, or := range rec.Orders {
		targets[or.Subject] = or.Target
	}
	sc.record, sc.durable = rec.clone(), rec
	sc.table.Adopt(targets)
	if sc.Census != nil {
		sc.Census.Begin(rec.Entries, time.Now())
	}
	wait := sc.Tenure.Adopt(epoch, rec, version)
	lo.WithField("calls-in-ms", wait.Milliseconds()).Info("gives orders for endpoints")
}

// decide computes new orders from the load.
func (sc *Scaler) decide(ses []Service) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.services = ses
	for i := range ses {
		sc.logUnknown(ses[i])
		ses[i].Held = sc.held(ses[i].Name)
	}
	// The table uses the monotonic clock, as the wall clock may be set back.
	ors := sc.table.Decide(ses, time.Time{}.Add(sc.Tenure.Now()))
	for _, or := range ors {
		sc.record.set(or)
		sc.Log.WithFields(logrus.Fields{
			"domain": or.Domain, "from": or.From, "service": or.Service, "target": or.Target, "wanted": or.Want,
		}).Info("endpoints ordered")
		sc.Metrics.GetOrCreateCounter(`wisteriacroft_scale_decisions_total`).Inc()
	}
	sc.prune(ses)
}

// logUnknown logs when the load of a service becomes unknown or known.
func (sc *Scaler) logUnknown(se Service) {
	if se.Unknown == sc.unknown[se.Name] {
		return
	}
	if sc.unknown == nil {
		sc.unknown = map[string]bool{}
	}
	sc.unknown[se.Name] = se.Unknown
	fields := logrus.Fields{"known": !se.Unknown, "service": se.Name}
	if sc.Census != nil {
		fields["entries"], fields["told"] = sc.Census.EntryCount(time.Now()), sc.Census.Reporting(time.Now())
	}
	sc.Log.WithFields(fields).Info("load for orders of endpoints")
}

// prune removes the orders of removed services and failure domains, which the platform may reject
// forever.
func (sc *Scaler) prune(ses []Service) {
	sc.record.Orders = slices.DeleteFunc(sc.record.Orders, func(or LastOrder) bool {
		known := slices.ContainsFunc(ses, func(se Service) bool { return se.Name == or.Service })
		if known && !sc.table.Removed(or.Subject) {
			return false
		}
		sc.Log.WithFields(logrus.Fields{
			"domain": or.Domain, "service": or.Service, "service-known": known, "taken": or.Taken, "target": or.Target,
		}).Info("order for endpoints dropped, its service or failure domain was removed")
		return true
	})
}

// held reports whether an operator holds the scaling of a service.
func (sc *Scaler) held(service string) bool { return sc.HeldFunc != nil && sc.HeldFunc(service) }

// hasUnwritten reports whether there are orders that are not saved yet.
func (sc *Scaler) hasUnwritten() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return slices.ContainsFunc(sc.record.Orders, func(or LastOrder) bool { return !or.Taken && !slices.Contains(sc.durable.Orders, or) })
}

// write saves the orders, and reports whether it succeeded.
func (sc *Scaler) write(ctx context.Context) bool {
	sc.mu.Lock()
	rec := sc.record.clone()
	sc.mu.Unlock()
	rec.Epoch, rec.Sender = sc.Tenure.Epoch(), sc.Tenure.Owner
	if sc.Census != nil {
		rec.Entries = sc.Census.EntryCount(time.Now())
	}
	if err := sc.Tenure.Write(ctx, rec); err != nil {
		sc.Log.WithError(err).WithField("epoch", rec.Epoch).Warn("cannot write orders for endpoints")
		return false
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.durable = rec
	return true
}

// sendAll sends the orders that are not known to be accepted, each once.
//
// An order that the platform rejects does not block others. If calls are slow, the remaining orders
// are sent first at the next step.
func (sc *Scaler) sendAll(ctx context.Context, epoch uint64) {
	start := sc.Tenure.Now()
	failed := map[Subject]bool{}
	for {
		or, ok := sc.nextOrder(failed)
		allowed, confirmed := sc.Tenure.MayCall()
		switch {
		case !ok || !allowed || len(failed) > 0 && sc.Tenure.Now()-start >= stepInterval:
			return
		case !confirmed:
			if !sc.write(ctx) {
				return
			}
		case !sc.send(ctx, epoch, or):
			failed[or.Subject] = true
			sc.moveToEnd(or)
		}
	}
}

// nextOrder returns an order that is not accepted yet and has not failed. It must be saved, as a
// successor must send the same.
func (sc *Scaler) nextOrder(failed map[Subject]bool) (LastOrder, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, or := range sc.record.Orders {
		if !or.Taken && !failed[or.Subject] && slices.Contains(sc.durable.Orders, or) && !sc.held(or.Service) {
			return or, true
		}
	}
	return LastOrder{}, false
}

// moveToEnd moves a failed order behind all others.
func (sc *Scaler) moveToEnd(or LastOrder) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if i := slices.Index(sc.record.Orders, or); i >= 0 {
		sc.record.Orders = append(slices.Delete(sc.record.Orders, i, i+1), or)
	}
}

// send sends an order, and reports whether it was accepted.
func (sc *Scaler) send(ctx context.Context, epoch uint64, or LastOrder) bool {
	took, err := sc.Tenure.Call(ctx, epoch, func(ctx context.Context, epoch uint64) error { return sc.SendFunc(ctx, epoch, or) })
	sc.Log.WithFields(logrus.Fields{
		"domain": or.Domain, "epoch": epoch, "error": err, "ms": took.Milliseconds(), "service": or.Service, "target": or.Target,
	}).Info("order for endpoints sent")
	if err != nil {
		sc.Metrics.GetOrCreateCounter(`wisteriacroft_scale_orders_total{outcome="failed"}`).Inc()
		return false
	}
	sc.Metrics.GetOrCreateCounter(`wisteriacroft_scale_orders_total{outcome="taken"}`).Inc()
	sc.markTaken(or)
	return true
}

// markTaken records that an order was accepted. This is saved with the next write; until then a
// successor would send the order again, which has no effect.
func (sc *Scaler) markTaken(or LastOrder) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for i := range sc.record.Orders {
		if sc.record.Orders[i] == or {
			sc.record.Orders[i].Taken = true
		}
	}
}

// Register registers the RPC method for the Overview.
func (sc *Scaler) Register(sv *peer.Server) {
	peer.Handle(sv, OverviewMethod, func(context.Context, message.Header, OverviewRequest) (Overview, error) {
		return sc.Overview()
	})
}
