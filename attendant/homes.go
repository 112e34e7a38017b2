package attendant

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/peer"
)

// YieldMethod is the net/rpc method of Yield.
const YieldMethod = "Attendant.Yield"

// settleEvery is the mean time between two rounds of asking former homes.
const settleEvery = time.Second

// A YieldRequest asks the attendant of a former home for its word that the
// endpoint runs no key under homes older than a revision.
type YieldRequest struct {
	Endpoint string
	Revision uint64
}

// A YieldResponse is that word.
type YieldResponse struct{}

// A Location is where an endpoint's attendant is.
type Location struct {
	Address string
	Gone    bool // its instance is no longer in the platform's list
}

// Yield gives an endpoint's word. After it the endpoint runs no key until this
// process holds the revision, too.
func (at *Attendant) Yield(_ context.Context, _ message.Header, req YieldRequest) (YieldResponse, error) {
	en := at.endpoint(req.Endpoint)
	if en == nil {
		// It may be beside another attendant, so nothing can be promised.
		return YieldResponse{}, outcome.NewRefusal(outcome.BadRequest, req.Endpoint, "no such endpoint here")
	}
	en.once.Yield(req.Revision)
	return YieldResponse{}, nil
}

// settleHomes asks the former homes of keys whose word is missing. It is a
// system: the asking goes on in the background.
//
// For some seconds after a change of a service's endpoints two attendants
// could take themselves for the home of a key. The new one runs nothing that
// the old one might have run until it has the old one's word.
func (at *Attendant) settleHomes(now time.Time) {
	if now.Before(at.settleAt) {
		return
	}
	at.settleAt = now.Add(at.jitter(settleEvery))
	for _, en := range at.endpoints {
		for _, former := range en.once.PendingYields() {
			at.loop.Go(func() { at.settleHome(en, former) })
		}
	}
}

// settleHome asks one former home.
func (at *Attendant) settleHome(en *endpoint, former string) {
	ctx, cancel := until(context.Background(), at.done, nil)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, settleEvery)
	defer cancel()
	revision := at.profiles.Revision()
	lo, err := at.locate(ctx, former)
	switch {
	case err != nil:
	case lo.Gone:
		revision = idempotency.RevisionGone
	default:
		_, err = peer.Call[YieldRequest, YieldResponse](ctx, at.pool, lo.Address, YieldMethod,
			YieldRequest{Endpoint: former, Revision: revision})
	}
	if err != nil {
		err = errors.Wrapf(err, "ask %s to give up its keys", former)
		at.options.Log.WithField("endpoint", en.name).WithError(err).Debug("former home not settled")
		return
	}
	en.once.RecordYield(time.Now(), former, revision)
}
