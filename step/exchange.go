package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/peer"
	"wisteriacroft/runner"
)

// Intervals of the exchanges with an attendant.
const (
	// minExchangeInterval and maxExchangeInterval bound the time from one exchange to the next without
	// news. The maximum stays well below deadAfter and responseTimeout.
	minExchangeInterval = 100 * time.Millisecond
	maxExchangeInterval = 400 * time.Millisecond
	// intervalPerEngine is the interval for each engine of the table. Its inverse limits the total rate
	// of exchanges without news.
	intervalPerEngine = 500 * time.Microsecond
	// maxRunInterval and maxIdleInterval bound the interval of an overloaded scheduler, for engines with
	// runs and without. The first stays well below responseTimeout.
	maxRunInterval  = 600 * time.Millisecond
	maxIdleInterval = 1200 * time.Millisecond
	// exchangePause is the pause between two exchanges, in which ends and launches gather.
	exchangePause = tickInterval
	// lastItemsPause is the same for engines that run the last items of a step.
	lastItemsPause = 10 * time.Millisecond
)

// exchangeUrgent reports whether there is something to send to an attendant that was not sent yet or
// must be confirmed.
func (ta *Table) exchangeUrgent(id string) bool {
	en, ok := ta.engines[id]
	return ok && (ta.unconfirmed(en) || en.unsentStop())
}

// unconfirmed reports whether an engine's attendant has yet to confirm a launch or an order.
func (ta *Table) unconfirmed(en *engineRow) bool {
	for _, ir := range en.items {
		if !ir.run.confirmed && !ta.launchesHeld {
			return true
		}
	}
	return en.order != nil && en.order.Version > 0 && !en.orderAcked
}

// unsentStop reports whether the attendant has yet to be asked to stop a run.
func (en *engineRow) unsentStop() bool {
	for _, ir := range en.items {
		if ir.run.stopping && !ir.run.stopSent {
			return true
		}
	}
	return false
}

// exchangeInterval returns the time from one exchange with an attendant to the next if there is no news.
// It grows with the number of engines, since all exchanges are made by one process.
func (ta *Table) exchangeInterval() time.Duration {
	if !ta.HasOpenWork() {
		return maxExchangeInterval
	}
	return min(max(minExchangeInterval, time.Duration(len(ta.engines))*intervalPerEngine), maxExchangeInterval)
}

// awaitTime returns how long an attendant may wait for news before it responds. Launches and orders are
// confirmed at once, and so is the first contact. An overloaded scheduler exchanges less often with
// engines that run nothing than with the others.
func (ta *Table) awaitTime(en *engineRow) time.Duration {
	if en.respondedAt.IsZero() || ta.unconfirmed(en) {
		return 0
	}
	interval, limit := ta.exchangeInterval(), maxRunInterval
	if len(en.items) == 0 && en.order == nil {
		limit = maxIdleInterval
	}
	stretched := time.Duration(float64(interval) * max(ta.exchangeStretch, 1))
	return max(interval, min(stretched, limit)) - exchangePause
}

// pauseAfterExchange returns the pause after an exchange with an engine's attendant, unless it is woken
// earlier.
func (ta *Table) pauseAfterExchange(id string) time.Duration {
	if en, ok := ta.engines[id]; ok && en.runsLastItems() {
		return lastItemsPause
	}
	return exchangePause
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

// errInterrupted means that a request was given up because there is something new to send.
var errInterrupted = errors.New("exchange was interrupted")

// exchangeLoop exchanges requests and responses with an attendant until its engine is removed or
// the term ends.
func (sc *Scheduler) exchangeLoop(te *term, id string, kick chan struct{}) {
	failed := false
	for {
		rq, address, ok := sc.nextRequest(te, id, kick)
		if !ok {
			return
		}
		begun := time.Now()
		re, err := sc.exchange(address, rq, kick)
		if errors.Is(err, errInterrupted) {
			continue
		}
		if took := time.Since(begun); err == nil && took >= rq.Await {
			sc.pressure.Observe(took - rq.Await)
		}
		if (err != nil) != failed {
			failed = err != nil
			sc.Log.WithFields(logrus.Fields{"dependency": "attendant", engineField: id, "error": err, "lost": failed}).Warn("dependency changed")
		}
		if errors.Is(err, runner.ErrOldEpoch) {
			sc.Holder.Abandon(rq.Epoch)
		}
		pause := retryDelay
		if err == nil {
			pause = sc.handleResponse(te, id, address, rq, re)
		}
		select {
		case <-kick:
		case <-time.After(pause):
		}
	}
}

// nextRequest returns the next request to an engine's attendant and the attendant's address. It returns
// false if the engine was removed or the term has ended.
func (sc *Scheduler) nextRequest(te *term, id string, kick chan struct{}) (rq runner.ExchangeRequest, address string, ok bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	select {
	case <-kick: // what it was for is in the request
	default:
	}
	te.table.exchangeStretch = sc.pressure.Stretch()
	te.table.launchesHeld = !sc.mayStartRuns(te, time.Now())
	rq, ok = te.table.Request(id)
	if !ok || sc.term != te {
		delete(te.exchangeKicks, id)
		return rq, "", false
	}
	return rq, te.table.attendantAddress(id), true
}

// exchange sends a request to an attendant. One that the attendant may hold is given up when there is
// something to send: all that its response would have told is told again, as it was not acknowledged.
func (sc *Scheduler) exchange(address string, rq runner.ExchangeRequest, kick chan struct{}) (runner.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout+rq.Await)
	defer cancel()
	if rq.Await == 0 {
		return peer.Call[runner.ExchangeRequest, runner.ExchangeResponse](ctx, sc.Pool, address, runner.ExchangeMethod, rq)
	}
	interrupted := interruptOn(ctx, cancel, kick)
	re, err := peer.Call[runner.ExchangeRequest, runner.ExchangeResponse](ctx, sc.Pool, address, runner.ExchangeMethod, rq)
	cancel()
	switch {
	case !<-interrupted:
		return re, err
	case err == nil:
		notify(kick) // the response came first
		return re, nil
	default:
		return re, errInterrupted
	}
}

// interruptOn cancels a context when it receives from kick. The result says, once the context has ended,
// whether it did. The call itself stays in the goroutine of its caller, whose stack has grown already.
func interruptOn(ctx context.Context, cancel context.CancelFunc, kick chan struct{}) <-chan bool {
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-kick:
			cancel()
			interrupted <- true
		case <-ctx.Done():
			interrupted <- false
		}
	}()
	return interrupted
}

// ExchangeLateness returns by how much attendants' responses are later than expected, on average. It
// grows if the process is overloaded.
func (sc *Scheduler) ExchangeLateness() time.Duration { return sc.pressure.Lateness() }

// handleResponse updates the table with an attendant's response, and returns the pause until the next
// exchange.
func (sc *Scheduler) handleResponse(
	te *term, id, address string, rq runner.ExchangeRequest, re runner.ExchangeResponse,
) time.Duration {
	if sc.WallFunc != nil {
		sc.WallFunc(address, re.Wall)
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := time.Now()
	te.table.HandleResponse(id, rq, re, now)
	if sc.term == te {
		sc.startRewards(te, now)
	}
	te.writeIfUrgent()
	sc.restartStopped(te, now)
	return te.table.pauseAfterExchange(id)
}
