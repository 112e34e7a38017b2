package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
)

// followFeeder gets updates from the feeder until ctx ends, and reads from the key-value
// service itself while no feeder is reachable.
//
// Calls to the key-value service are billed, and an endpoint's entry changes with each version
// of its weights, so that it is cheaper if one process reads on behalf of all.
func (fo *Follower) followFeeder(ctx context.Context) {
	rq := FeedRequest{Differences: true}
	var fb feedFallback
	defer fb.end()
	fo.readStale(ctx)
	contact := time.Now() // last response of the feeder
	for ctx.Err() == nil {
		if co := fo.Directory.Configuration(); co != nil {
			rq.Version = co.Version
		}
		rq.Holds = fo.Directory.Holds().Version()
		rq.Unsaved = fo.quarantine().Unsaved()
		re, err := fo.callFeed(ctx, rq)
		fo.recordContact(err)
		fo.mergeQuarantine("feeder", re.Quarantine)
		if err == nil && !re.Stale {
			fb.end()
			rq = fo.followUp(rq, re, fo.applyResponse(ctx, rq, re))
			contact = time.Now()
			continue
		}
		if err == nil {
			rq.Boot, rq.Held = re.Boot, re.Held
		}
		rq.Generation = unknownGeneration // the endpoints may be replaced by a direct read
		if time.Since(contact) < fo.Patience {
			sleep(ctx, feederRetryPause)
			continue
		}
		fb.begin(ctx, fo)
		ch, err := fo.scanEndpoints(ctx)
		fo.recordContact(err)
		fo.setUnavailable(fo.Source.EndpointPrefix, err)
		if err == nil {
			fo.applyEndpoints(ch.Items, true)
			fo.readQuarantine(ctx)
		}
		sleep(ctx, scanPause)
	}
}

// followUp returns the request after a response, which was applied with an error or none.
func (fo *Follower) followUp(rq FeedRequest, re FeedResponse, err error) FeedRequest {
	next := FeedRequest{Boot: re.Boot, Differences: true, Generation: re.Generation, Held: re.Held}
	if err == nil {
		return next
	}
	fo.counts.gaps.Add(1)
	fo.Log.WithError(err).WithFields(logrus.Fields{
		"boot": re.Boot, "generation": re.Generation, "known": rq.Generation, "since": re.Since, "total": re.Total,
	}).Warn("cannot apply differences, asking for all endpoints")
	next.Generation = unknownGeneration
	return next
}

// applyResponse applies a response of the feeder to a request. It returns errGap if its differences
// don't follow the known endpoints; nothing of the endpoints has changed then.
//
// A feeder responds only while the key-value service is available to it, so that any outage is
// over. Without recording that, an endpoint removed long after an outage would be kept for
// reregisterGrace, as this process does not call the service itself.
func (fo *Follower) applyResponse(ctx context.Context, rq FeedRequest, re FeedResponse) error {
	fo.setUnavailable(fo.Source.EndpointPrefix, nil)
	fo.Directory.ConfirmConfiguration(time.Now())
	fo.setHolds("feeder", re.Holds)
	if re.Holds != nil && time.Since(fo.holdsCheckedAt) >= holdsCheckPause {
		fo.holdsCheckedAt = time.Now()
		defer fo.checkHolds(ctx, re.Holds.Version())
	}
	if co := re.Configuration; co != nil && fo.Directory.SetConfiguration(co) {
		fo.Log.WithFields(logrus.Fields{"from": "feeder", "routes": len(co.Routes), "taken": true, "version": co.Version}).Info("configuration")
	}
	return fo.applyEndpointUpdate(rq, re)
}

// applyEndpointUpdate applies the endpoints of a feeder's response.
func (fo *Follower) applyEndpointUpdate(rq FeedRequest, re FeedResponse) error {
	switch {
	case re.Fresh:
		fo.Directory.replaceEndpoints(re.Endpoints)
	case !re.Partial:
	case re.Boot != rq.Boot || re.Since != rq.Generation:
		return errors.Wrap(errGap, "they follow another generation")
	case !fo.Directory.applyDifferences(differences{changed: re.Endpoints, removed: re.Removed, total: re.Total}):
		return errors.Wrap(errGap, "the number of endpoints differs")
	}
	return nil
}

// holdsCheckPause is the minimum interval between reads of the holds from the key-value service
// after the feeder sent an older version: it may lag behind for a while.
const holdsCheckPause = 2 * time.Second

// A feedFallback follows the configuration and the holds while no feeder is reachable.
type feedFallback struct{ cancel context.CancelFunc }

// begin starts following, with a scan first to get changes that the feeder had not sent yet.
func (fb *feedFallback) begin(ctx context.Context, fo *Follower) {
	if fb.cancel != nil {
		return
	}
	ctx, fb.cancel = context.WithCancel(ctx)
	go fo.Prefix(ctx, fo.Source.ConfigurationKey, followWait, 0, fo.applyOperator)
	go fo.followHolds(ctx)
}

func (fb *feedFallback) end() {
	if fb.cancel != nil {
		fb.cancel()
		fb.cancel = nil
	}
}

// readStale initializes a process that waits for a feeder with a cheap stale read of the
// configuration, the endpoints and the quarantined requests. They may be seconds old, until
// the feeder sends its state.
//
// If all processes start at once, the feeder starts slightly later. Without this read, entries
// would reject requests of live callers meanwhile.
func (fo *Follower) readStale(ctx context.Context) {
	if fo.Patience == 0 || fo.Directory.Ready() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	for prefix, apply := range map[string]func([]keyvalue.Item, bool){
		fo.Source.ConfigurationKey: fo.applyOperator, fo.Source.EndpointPrefix: fo.applyEndpoints,
		quarantine.Key: fo.applyQuarantine,
	} {
		ch, err := fo.Client.ScanStale(ctx, prefix)
		fo.recordContact(err)
		fo.setUnavailable(prefix, err)
		if err == nil {
			apply(ch.Items, true)
		}
	}
}

// feederRetryPause is the pause before the next call to a feeder after a failed one.
const feederRetryPause = 100 * time.Millisecond

// scanPause is the pause between scans of all endpoints while no feeder is reachable.
const scanPause = 500 * time.Millisecond

func (fo *Follower) callFeed(ctx context.Context, rq FeedRequest) (FeedResponse, error) {
	address := fo.feederAddress(ctx)
	if address == "" {
		return FeedResponse{}, errNoFeeder
	}
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	re, err := peer.Call[FeedRequest, FeedResponse](ctx, fo.Pool, address, feedMethod, rq)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrOldEndpoints) || errors.Is(err, context.DeadlineExceeded) {
		fo.Feeder.Invalidate(address, err)
	}
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

// scanTimeout bounds a scan of all endpoints while no feeder is reachable. Together with
// scanPause it stays below contactTimeout.
const scanTimeout = 800 * time.Millisecond

func (fo *Follower) scanEndpoints(ctx context.Context) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	return fo.Client.Scan(ctx, fo.Source.EndpointPrefix)
}
