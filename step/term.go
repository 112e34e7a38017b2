package step

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/directory"
	"wisteriacroft/keyvalue"
)

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
	recovery      keyvalue.Recovery
	ready         bool // the state of earlier schedulers is loaded
	table         *Table
	writeKick     chan struct{} // wakes the writer

	// configuration and endpoints are the ones that the table's engines were set from.
	configuration *directory.Configuration
	endpoints     []directory.Endpoint
}

// minCancelAge is the age from which a call is canceled on recovery. A younger call was usually made after the
// recovery and will be answered.
const minCancelAge = 150 * time.Millisecond

// notifyRecovery tells the callers of the term that the key-value service has recovered.
func (te *term) notifyRecovery() { te.recovery.Notify(time.Now().Add(-minCancelAge)) }

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
		sc.term.notifyRecovery()
		notify(sc.term.writeKick)
	}
}
