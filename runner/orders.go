package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of orders.
const (
	// orderTimeout bounds one call that gives an order.
	orderTimeout = 800 * time.Millisecond
	// loadBound is after how long an order that the engine took must show in
	// its report, else it is given again. A load takes 0.9 s, and longer while
	// others load.
	loadBound = 6 * time.Second
)

// An orders is the order that the scheduler wants carried out, and where it
// stands. The zero orders wants none.
type orders struct {
	done    Order // that ended last; the scheduler may still ask for it
	order   Order
	givenAt time.Time // zero until the engine has taken it
}

// want replaces the order, unless it is wanted already or has ended. It returns
// whether it did.
func (os *orders) want(or Order) bool {
	if os.order == or || os.done == or && or.Version > 0 {
		return false
	}
	os.order, os.givenAt = or, time.Time{}
	return true
}

// restart takes in that the engine has started again: it holds nothing of what
// an earlier start was told.
//
// The order that is wanted counted as given for its whole bound, in which the
// engine loaded nothing.
func (os *orders) restart() { os.done, os.givenAt = Order{}, time.Time{} }

// underWay returns the version that is wanted, or 0.
func (os *orders) underWay() uint64 { return os.order.Version }

// stepOrder gives the wanted order if the engine's report says that it can take
// it, and drops it once the report shows that it holds.
//
// An engine may carry out an order seconds after the call went unanswered. Each
// order names how many orders the engine had taken before it: of two calls for
// the same change, only the first to arrive is carried out.
func (rn *Runner) stepOrder(ctx context.Context) {
	rn.mu.Lock()
	or, re, fresh := rn.orders.order, rn.report, rn.reachable()
	given := rn.orders.givenAt
	rn.mu.Unlock()
	if or.Version == 0 || !fresh {
		return
	}
	if re.Versions[or.Model] >= or.Version && !re.Busy {
		rn.finish(or, "order holds")
		return
	}
	if re.Busy || !given.IsZero() && time.Since(given) < loadBound {
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
	case err != nil, state == OrderBusy: // the next report says more
	case state == OrderRefused, state == OrderHolds:
		rn.finish(or, "order ended")
	default:
		rn.mu.Lock()
		if rn.orders.order == or {
			rn.orders.givenAt = time.Now()
		}
		rn.mu.Unlock()
	}
}

func (rn *Runner) finish(or Order, message string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.orders.order != or {
		return
	}
	rn.orders.done = or
	rn.orders.want(Order{})
	rn.Log.WithFields(logrus.Fields{"endpoint": or.Endpoint, "model": or.Model, "version": or.Version}).Info(message)
}
