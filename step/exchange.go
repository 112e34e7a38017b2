package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/peer"
	"wisteriacroft/runner"
)

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

// exchangePause returns the pause after the next exchange with an engine's attendant,
// unless it has to hear something at once.
//
// Load pattern: there are thousands of engines, and most run nothing. Exchanges with all of
// them at the usual pause would take most of a scheduler's time, and runs and takeovers
// would be late. So the pause of idle engines grows with the number of engines. An engine
// that gets an item is told at once all the same.
func (ta *Table) exchangePause(id string) time.Duration {
	switch {
	case !ta.HasOpenWork():
		return idleExchange
	case ta.ending(id):
		return awaitPause // the answer has waited
	case ta.idle(id):
		return min(max(exchangeEvery, time.Duration(len(ta.engines))*idleCost), idleExchange)
	}
	return exchangeEvery
}

// idle reports whether an engine runs nothing, loads nothing, and its attendant has
// nothing to hear.
func (ta *Table) idle(id string) bool {
	en, ok := ta.engines[id]
	return ok && len(en.items)+len(en.kept)+len(en.forget) == 0 && en.order == nil
}

// attendant returns the address of the attendant beside an engine: an engine may
// start again under its ID elsewhere.
func (ta *Table) attendant(id string) string {
	if en, ok := ta.engines[id]; ok {
		return en.address
	}
	return ""
}

// hurry has a listing written at once that a trainer waits for alone.
func (te *term) hurry() {
	if te.table.takeUrgent() {
		notify(te.writes)
	}
}

// placeStopped starts items whose runs have stopped at other engines, if runs may begin, and
// has these engines' attendants told.
func (sc *Scheduler) placeStopped(te *term, now time.Time) {
	if sc.term != te || !sc.mayPlace(te, now) {
		return
	}
	for _, id := range te.table.placeStopped(now) {
		if kick, ok := te.exchange[id]; ok {
			notify(kick)
		}
	}
}

func notify(kick chan struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}

// exchangeWith makes one exchange after the other with an attendant, until its
// engine is gone or the term ends.
func (sc *Scheduler) exchangeWith(te *term, id string, kick chan struct{}) {
	failed := false
	for {
		sc.mu.Lock()
		rq, ok := te.table.Request(id)
		pause, address := te.table.exchangePause(id), te.table.attendant(id)
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
			sc.Holder.Abandon(rq.Epoch)
		}
		if err == nil {
			if sc.WallFunc != nil {
				sc.WallFunc(address, re.Wall)
			}
			sc.mu.Lock()
			now := time.Now()
			te.table.HandleResponse(id, rq, re, now)
			if sc.term == te {
				sc.startRewards(te, now)
			}
			te.hurry()
			sc.placeStopped(te, now)
			sc.mu.Unlock()
		}
		if err != nil {
			pause = retryAfter
		}
		select {
		case <-kick:
		case <-time.After(pause):
		}
	}
}
