package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
)

// Settings of a process that follows a feeder.
const (
	// feederRetryPause is the pause before the next call to a feeder after a failed one, and
	// lostFeederPause the same once the process reads from the key-value service itself.
	feederRetryPause = 100 * time.Millisecond
	lostFeederPause  = 250 * time.Millisecond
	// standbyGrace is how much longer a process without a feeder waits if a standby responds, which is
	// about to feed. Together with Patience and a call it stays below the 2 s after which a leaving
	// endpoint must get no new work.
	standbyGrace = 300 * time.Millisecond
	// staleReadDelay is how long a process that starts waits for a feeder before readStale, and
	// staleReadSpread the time over which the reads of many such processes are spread.
	staleReadDelay  = 200 * time.Millisecond
	staleReadSpread = 600 * time.Millisecond
	// scanPause is the pause between scans of all endpoints while no feeder is reachable, and
	// scanTimeout bounds one. Together they stay below contactTimeout.
	scanPause   = 500 * time.Millisecond
	scanTimeout = 800 * time.Millisecond
	// maxReadPause bounds the pause after scans that failed, and maxReadDoublings how often it doubles.
	maxReadPause     = 4 * time.Second
	maxReadDoublings = 3
	// holdsCheckPause is the minimum interval between reads of the holds from the key-value service
	// after the feeder sent an older version: it may lag behind for a while.
	holdsCheckPause = 2 * time.Second
)

// followFeeder gets updates from the feeder until ctx ends. While the feeder is away, it gets them from
// a standby, and if there is none, reads from the key-value service itself.
//
// Calls to the key-value service are billed, and an endpoint's entry changes with each version
// of its weights, so that it is cheaper if one process reads on behalf of all.
func (fo *Follower) followFeeder(ctx context.Context) {
	rq := FeedRequest{Address: fo.Address, Differences: true}
	var fb feedFallback
	defer fb.end()
	contact := time.Now()                                         // last response of the feeder
	staleReadAt := contact.Add(staleReadDelay + fo.staleOffset()) // zero once done
	var nextRead time.Time
	for ctx.Err() == nil {
		if co := fo.Directory.Configuration(); co != nil {
			rq.Version = co.Version
		}
		rq.Holds = fo.Directory.Holds().Version()
		rq.Standbys = hashStandbys(fo.standbys)
		rq.Unsaved = fo.quarantine().Unsaved()
		re, err := fo.callFeeders(ctx, rq)
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
		if !staleReadAt.IsZero() && !time.Now().Before(staleReadAt) {
			staleReadAt = time.Time{}
			fo.readStale(ctx)
		}
		patience := fo.Patience
		if err == nil {
			patience += standbyGrace
		}
		if time.Since(contact) < patience {
			sleep(ctx, feederRetryPause)
			continue
		}
		if fo.substitute() {
			return
		}
		if !time.Now().Before(nextRead) {
			nextRead = time.Now().Add(fo.readDirectly(ctx, &fb))
		}
		sleep(ctx, lostFeederPause)
	}
}

// staleOffset returns the time within staleReadSpread at which this process makes its stale read.
func (fo *Follower) staleOffset() time.Duration {
	return time.Duration(xxhash.Sum64String(fo.Name) % uint64(staleReadSpread))
}

// readDirectly reads from the key-value service for a process without a feeder, and returns the pause
// until the next read.
//
// While the service is away, the pause grows and the configuration isn't followed: a feeder will
// notice its return, and calls of all entries would add to the service's load.
func (fo *Follower) readDirectly(ctx context.Context, fb *feedFallback) time.Duration {
	fo.counts.reads.Add(1)
	ch, err := fo.scanEndpoints(ctx)
	fo.recordContact(err)
	fo.setUnavailable(fo.Source.EndpointPrefix, err)
	if err != nil {
		fb.end()
		fo.failedReads++
		pause := min(scanPause<<min(fo.failedReads, maxReadDoublings), maxReadPause)
		return pause/2 + rand.N(pause)
	}
	fo.failedReads = 0
	fo.applyEndpoints(ch.Items, true)
	fo.readQuarantine(ctx)
	fb.begin(ctx, fo)
	return scanPause
}

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

// followUp returns the request after a response, which was applied with an error or none.
func (fo *Follower) followUp(rq FeedRequest, re FeedResponse, err error) FeedRequest {
	next := FeedRequest{Address: fo.Address, Boot: re.Boot, Differences: true, Generation: re.Generation, Held: re.Held}
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
	if re.Standbys != "" {
		fo.standbys = re.Standbys
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
// Without this read, entries that start before the feeder would reject requests of live callers
// meanwhile. If all processes start at once, the reads of all entries would fill the service's link,
// and delay those by which the feeder itself starts: so each entry waits for the feeder first.
func (fo *Follower) readStale(ctx context.Context) {
	if fo.Patience == 0 || fo.Directory.Ready() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	// The quarantine comes first: with the others the process begins to serve.
	for _, rd := range []struct {
		apply  func([]keyvalue.Item, bool)
		prefix string
	}{
		{apply: fo.applyQuarantine, prefix: quarantine.Key},
		{apply: fo.applyOperator, prefix: fo.Source.ConfigurationKey},
		{apply: fo.applyEndpoints, prefix: fo.Source.EndpointPrefix},
	} {
		ch, err := fo.Client.ScanStale(ctx, rd.prefix)
		fo.recordContact(err)
		fo.setUnavailable(rd.prefix, err)
		if err == nil {
			rd.apply(ch.Items, true)
		}
	}
}

// callFeed calls a process that may feed this one, or returns errNoFeeder for no address.
func (fo *Follower) callFeed(ctx context.Context, address string, rq FeedRequest) (FeedResponse, error) {
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

func (fo *Follower) scanEndpoints(ctx context.Context) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	return fo.Client.Scan(ctx, fo.Source.EndpointPrefix)
}
