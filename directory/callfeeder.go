package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/peer"
)

// callFeeders calls the process that fed this one last, or else the feeder or, if that doesn't feed, a
// standby. A standby that doesn't feed either names the feeder, which saves a lookup.
func (fo *Follower) callFeeders(ctx context.Context, rq FeedRequest) (FeedResponse, error) {
	if fo.substituteAt != "" {
		if re, err := fo.callOne(ctx, fo.substituteAt, rq); err == nil && !re.Stale {
			return re, nil
		}
		fo.substituteAt = ""
	}
	known := fo.Feeder.Known()
	re, err := fo.callOne(ctx, known, rq)
	if err == nil && !re.Stale {
		return re, nil
	}
	standby, errStandby := fo.callStandby(ctx, rq)
	switch {
	case errStandby == nil:
		return standby, nil
	case known != "":
		return re, err
	}
	return fo.callOne(ctx, fo.feederAddress(ctx), rq)
}

// callStandby calls the standbys until one responds.
func (fo *Follower) callStandby(ctx context.Context, rq FeedRequest) (FeedResponse, error) {
	for _, address := range fo.standbyOrder() {
		if ctx.Err() != nil || address == fo.Feeder.Known() {
			continue
		}
		re, err := fo.callOne(ctx, address, rq)
		if err != nil {
			continue
		}
		if !re.Stale {
			fo.substituteAt = address
			fo.Log.WithField("address", address).Info("fed by a standby")
		}
		return re, nil
	}
	return FeedResponse{}, errNoFeeder
}

// callOne calls a process that may feed this one.
func (fo *Follower) callOne(ctx context.Context, address string, rq FeedRequest) (FeedResponse, error) {
	re, err := fo.callFeed(ctx, address, rq)
	fo.recordContact(err)
	fo.mergeQuarantine("feeder", re.Quarantine)
	if re.Stale && re.Holder != "" {
		fo.Feeder.Learn(re.Holder)
	}
	return re, err
}

// callFeed calls a process that may feed this one, or returns errNoFeeder for no address.
func (fo *Follower) callFeed(ctx context.Context, address string, rq FeedRequest) (FeedResponse, error) {
	if address == "" {
		return FeedResponse{}, errNoFeeder
	}
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	called := time.Now()
	re, err := peer.Call[FeedRequest, FeedResponse](ctx, fo.Pool, address, feedMethod, rq)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrOldState) || errors.Is(err, context.DeadlineExceeded) {
		fo.Feeder.Invalidate(address, err)
	}
	held := max(0, elapsed(called, time.Now())-feedWait) // the response may have been held up on its way
	re.Age += held
	re.SinceReturn += held
	return re, err
}

// feederAddress returns the address of the current or the last known feeder, or "".
//
// During an outage of the key-value service, feeders lose their leases and none is known. The
// last one still responds with ErrNotFeeder, which shows that this process is not cut off.
// Otherwise all entries would reject all steps during an outage.
func (fo *Follower) feederAddress(ctx context.Context) string {
	if address := fo.Feeder.Address(ctx); address != "" {
		fo.lastFeeder = address
	}
	return fo.lastFeeder
}
