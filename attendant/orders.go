package attendant

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/engine"
	"wisteriacroft/rollout"
)

// newFence returns the fence for the attendant's engines.
func (at *Attendant) newFence() *rollout.Fence {
	fe := &rollout.Fence{
		Incarnation: at.options.Incarnation,
		PassFunc:    at.passOrder,
		Rand:        rand.New(rand.NewPCG(at.options.Seed, at.options.Incarnation)),
	}
	for _, en := range at.endpoints {
		if en.engine != nil {
			fe.Add(en.name)
		}
	}
	return fe
}

// passOrder sends an order to an engine.
func (at *Attendant) passOrder(ctx context.Context, endpoint string, or engine.Order) error {
	en := at.endpoint(endpoint)
	if en == nil || en.engine == nil {
		return errors.Wrapf(engine.ErrNotSent, "%s: no such engine here", endpoint)
	}
	err := en.engine.OrderFunc(ctx, or)
	en.pollSoon()
	en.metrics.order(orderResult(err))
	lo := at.options.Log.WithFields(logrus.Fields{
		"endpoint": endpoint,
		"epoch":    or.Epoch,
		"kind":     or.Kind,
		"version":  or.Version,
	})
	if err != nil {
		lo.WithError(err).Warn("order may not have been taken")
	} else {
		lo.Info("order accepted")
	}
	return err
}

// orderResult returns the result label of an order.
func orderResult(err error) string {
	switch {
	case err == nil:
		return resultTaken
	case errors.Is(err, engine.ErrFenced):
		return resultRefused
	case notSent(err):
		return resultNotSent
	default:
		return resultUnknown
	}
}
