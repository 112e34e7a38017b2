package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// orderTimeout bounds one call that sends an order.
	orderTimeout = 800 * time.Millisecond
	// loadTimeout is the time an accepted order has to appear in the engine's report
	// before it is sent again. A load takes 0.9 s, and longer while others load.
	loadTimeout = 6 * time.Second
)

// An orderTracker holds the scheduler's current order and its progress. The zero value
// has no order.
type orderTracker struct {
	done       Order // the last that ended; the scheduler may still request it
	order      Order
	acceptedAt time.Time // zero until the engine has accepted the order
}

// setOrder replaces the order unless it is already set or has ended, and reports
// whether it did.
func (ot *orderTracker) setOrder(or Order) bool {
	if ot.order == or || ot.done == or && or.Version > 0 {
		return false
	}
	ot.order, ot.acceptedAt = or, time.Time{}
	return true
}

// restart resets the progress after a restart of the engine, which keeps no orders.
// Otherwise the current order would not be sent again before loadTimeout.
func (ot *orderTracker) restart() { ot.done, ot.acceptedAt = Order{}, time.Time{} }

// pendingVersion returns the ordered version, or 0.
func (ot *orderTracker) pendingVersion() uint64 { return ot.order.Version }

// stepOrder sends the order if the engine's report shows that it is ready for one, and
// ends it once the report shows the ordered version.
//
// An engine may execute an order seconds after the call timed out. Each order carries
// the number of orders that the engine had accepted before it, so that of two calls
// for the same change only the first to arrive is executed.
func (rn *Runner) stepOrder(ctx context.Context) {
	rn.mu.Lock()
	or, re, fresh := rn.orderTracker.order, rn.report, rn.reachable()
	acceptedAt := rn.orderTracker.acceptedAt
	rn.mu.Unlock()
	if or.Version == 0 || !fresh {
		return
	}
	if re.Versions[or.Model] >= or.Version && !re.Busy {
		rn.finish(or, "order holds")
		return
	}
	if re.Busy || !acceptedAt.IsZero() && time.Since(acceptedAt) < loadTimeout {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := rn.Engine.OrderFunc(ctx, or, re.Sequence)
	rn.Log.WithFields(logrus.Fields{
		"endpoint": or.Endpoint, "error": err, "fence": or.Fence, "model": or.Model,
		"sequence": re.Sequence, "state": int(state), "version": or.Version,
	}).Info("order given")
	switch {
	case err != nil, state == OrderBusy: // decide after the next report
	case state == OrderRefused, state == OrderHolds:
		rn.finish(or, "order ended")
	default:
		rn.mu.Lock()
		if rn.orderTracker.order == or {
			rn.orderTracker.acceptedAt = time.Now()
		}
		rn.mu.Unlock()
	}
}

func (rn *Runner) finish(or Order, message string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.orderTracker.order != or {
		return
	}
	rn.orderTracker.done = or
	rn.orderTracker.setOrder(Order{})
	rn.note()
	rn.Log.WithFields(logrus.Fields{"endpoint": or.Endpoint, "model": or.Model, "version": or.Version}).Info(message)
}
