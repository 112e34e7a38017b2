package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/peer"
	"wisteriacroft/runner"
)

// exchangeUrgent reports whether there is an urgent request to an attendant.
func (ta *Table) exchangeUrgent(id string) bool {
	en, ok := ta.engines[id]
	if !ok {
		return false
	}
	for _, ir := range en.items {
		if !ir.run.confirmed || ir.run.stopping {
			return true
		}
	}
	return en.order != nil && en.order.Version > 0 && !en.orderAcked
}

// exchangePause returns the pause after the next exchange with an engine's attendant, unless
// it is woken earlier.
//
// The pause of idle engines grows with the number of engines, since exchanges with thousands of
// them would overload the scheduler. New items are still sent at once.
func (ta *Table) exchangePause(id string) time.Duration {
	switch {
	case !ta.HasOpenWork():
		return idleExchangeInterval
	case ta.runsLastItems(id):
		return pauseAfterAwait // the response was delayed already
	case ta.engineIdle(id):
		return min(max(exchangeInterval, time.Duration(len(ta.engines))*idleIntervalPerEngine), idleExchangeInterval)
	}
	return exchangeInterval
}

// engineIdle reports whether an engine has no runs and no order, and nothing must be sent to its
// attendant.
func (ta *Table) engineIdle(id string) bool {
	en, ok := ta.engines[id]
	return ok && len(en.items)+len(en.retained)+len(en.toForget) == 0 && en.order == nil
}

// attendantAddress returns the current address of an engine's attendant, which changes if the engine
// restarts elsewhere under its ID.
func (ta *Table) attendantAddress(id string) string {
	if en, ok := ta.engines[id]; ok {
		return en.address
	}
	return ""
}

// writeIfUrgent wakes the writer if everything that a trainer waits for is complete.
func (te *term) writeIfUrgent() {
	if te.table.takeUrgent() {
		notify(te.writeKick)
	}
}

// restartStopped starts moved items whose runs have stopped, and wakes the exchanges with their
// new engines.
func (sc *Scheduler) restartStopped(te *term, now time.Time) {
	if sc.term != te || !sc.mayStartRuns(te, now) {
		return
	}
	for _, id := range te.table.restartStopped(now) {
		if kick, ok := te.exchangeKicks[id]; ok {
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

// exchangeLoop exchanges requests and responses with an attendant until its engine is removed or
// the term ends.
func (sc *Scheduler) exchangeLoop(te *term, id string, kick chan struct{}) {
	failed := false
	for {
		sc.mu.Lock()
		rq, ok := te.table.Request(id)
		pause, address := te.table.exchangePause(id), te.table.attendantAddress(id)
		if !ok || sc.term != te {
			delete(te.exchangeKicks, id)
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
			te.writeIfUrgent()
			sc.restartStopped(te, now)
			sc.mu.Unlock()
		}
		if err != nil {
			pause = retryDelay
		}
		select {
		case <-kick:
		case <-time.After(pause):
		}
	}
}
