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

// YieldMethod is the RPC method of Yield.
const YieldMethod = "Attendant.Yield"

// yieldInterval is the mean time between rounds of yield requests.
const yieldInterval = time.Second

// A YieldRequest asks a former home to run no key under sets older than a revision.
type YieldRequest struct {
	Endpoint string
	Revision uint64
}

// A YieldResponse confirms a YieldRequest.
type YieldResponse struct{}

// A Location is the location of an endpoint's attendant.
type Location struct {
	Address string
	Gone    bool // its instance is no longer in the platform's instance list
}

// Yield handles a YieldRequest. The endpoint then runs no key until this process has received the
// revision.
func (at *Attendant) Yield(_ context.Context, _ message.Header, req YieldRequest) (YieldResponse, error) {
	en := at.endpoint(req.Endpoint)
	if en == nil {
		// The endpoint may be at another attendant.
		return YieldResponse{}, outcome.NewRefusal(outcome.BadRequest, req.Endpoint, "no such endpoint here")
	}
	en.keys.Yield(req.Revision)
	return YieldResponse{}, nil
}

// settleHomes sends yield requests to former homes that have not yielded. It is a system; the calls
// run in the background.
//
// While attendants hold different revisions, two of them may consider themselves home of a key. So
// the new home runs no key that the former one may have run until that one has yielded.
func (at *Attendant) settleHomes(now time.Time) {
	if now.Before(at.nextYieldAt) {
		return
	}
	at.nextYieldAt = now.Add(at.jitter(yieldInterval))
	for _, en := range at.endpoints {
		for _, former := range en.keys.PendingYields() {
			at.loop.Go(func() { at.settleHome(en, former) })
		}
	}
}

// settleHome sends a yield request to one former home.
func (at *Attendant) settleHome(en *endpoint, former string) {
	ctx, cancel := withDone(context.Background(), at.done, nil)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, yieldInterval)
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
		err = errors.Wrapf(err, "ask %s to yield its keys", former)
		at.options.Log.WithField("endpoint", en.name).WithError(err).Debug("former home has not yielded")
		return
	}
	en.keys.RecordYield(time.Now(), former, revision)
}
