package directory

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
)

// Settings of the feed, a long poll for changes.
const (
	feedMethod = "directory.Feed"
	// feedWait is how long a response waits for changes.
	feedWait    = 800 * time.Millisecond
	feedTimeout = feedWait + 400*time.Millisecond
	// maxFeedAge bounds the age of the endpoints that a feeder sends. Together with the
	// duration of a call it stays below the 2 s after which a leaving endpoint must get no new
	// work.
	maxFeedAge = 1100 * time.Millisecond
	// feedPoll is the interval at which a feeder checks for changes.
	feedPoll = 20 * time.Millisecond
)

// unknownGeneration is the generation of endpoints that did not come from a feeder.
const unknownGeneration = math.MaxUint64

// Errors of the feed.
var (
	// ErrNotFeeder means that the process does not follow the endpoints itself.
	ErrNotFeeder = errors.New("does not feed")
	// ErrOldEndpoints means that the feeder has not confirmed its endpoints recently.
	ErrOldEndpoints = errors.New("endpoints are old")
)

var errNoFeeder = errors.New("no feeder is known")

// A FeedRequest asks for everything that differs from the caller's state: the endpoints, the
// configuration, the holds and the quarantined requests.
type FeedRequest struct {
	Boot       string // boot ID of the process that Generation and Held belong to
	Generation uint64
	Held       uint64              // generation of the quarantined requests
	Holds      int64               // version of the operators' holds; 0 for none
	Unsaved    []quarantine.Record `cbor:",omitempty"` // records that the caller could not save yet
	Version    int64               // of the configuration; 0 for none
}

// A FeedResponse holds the changes: the endpoints, if Fresh, and the configuration and the
// quarantined requests, if newer than the caller's.
type FeedResponse struct {
	Boot          string
	Configuration *Configuration `cbor:",omitempty"`
	Endpoints     []Endpoint
	Fresh         bool // Endpoints is set, as the caller's generation differs
	Generation    uint64
	Held          uint64
	Holds         *hold.Set           `cbor:",omitempty"` // if other than the caller's
	Quarantine    []quarantine.Record `cbor:",omitempty"`
	// Stale means that only Quarantine is set: the process is not a feeder, or its endpoints
	// are stale.
	Stale bool `cbor:",omitempty"`
}

// hasUpdate reports whether a response has anything newer than the caller's state. Holds older
// than the caller's don't count, as the feeder may lag behind; they go with the next response.
func (re *FeedResponse) hasUpdate(rq FeedRequest) bool {
	return re.Fresh || re.Configuration != nil || re.Holds.Version() > rq.Holds || len(re.Quarantine) > 0
}

// RegisterFeed registers the RPC method by which other processes get a follower's state. Boot
// identifies this run of the process.
func RegisterFeed(sv *peer.Server, fo *Follower, boot string) {
	peer.Handle(sv, feedMethod, func(ctx context.Context, _ message.Header, rq FeedRequest) (FeedResponse, error) {
		return fo.feed(ctx, boot, rq)
	})
}

// feed responds once there are changes for the caller, or after feedWait.
func (fo *Follower) feed(ctx context.Context, boot string, rq FeedRequest) (FeedResponse, error) {
	end := time.Now().Add(feedWait)
	fo.quarantine().MergeUnsaved(rq.Unsaved, time.Now())
	held := rq.Held
	if rq.Boot != boot {
		held = 0
	}
	for {
		generation, age, known := fo.Directory.confirmed(time.Now())
		re := FeedResponse{Boot: boot, Generation: generation, Held: fo.quarantine().Generation()}
		re.Quarantine = fo.quarantine().Since(held, time.Now())
		switch {
		case fo.direct() && known && age <= maxFeedAge:
		case len(re.Quarantine) > 0:
			return FeedResponse{Boot: boot, Held: re.Held, Quarantine: re.Quarantine, Stale: true}, nil
		case !fo.direct() || !known:
			return FeedResponse{}, ErrNotFeeder
		default:
			return FeedResponse{}, errors.Wrapf(ErrOldEndpoints, "%s", age)
		}
		if co := fo.Directory.Configuration(); co != nil && co.Version > rq.Version {
			re.Configuration = co
		}
		if se := fo.Directory.Holds(); se.Version() != rq.Holds {
			re.Holds = se.WithVersion(se.Version())
		}
		if rq.Boot != boot || rq.Generation != generation {
			re.Endpoints, re.Fresh = fo.Directory.entries(), true
		}
		if re.hasUpdate(rq) || !time.Now().Before(end) {
			return re, nil
		}
		sleep(ctx, feedPoll)
	}
}

// followFeeder gets updates from the feeder until ctx ends, and reads from the key-value
// service itself while no feeder is reachable.
//
// Calls to the key-value service are billed, and an endpoint's entry changes with each version
// of its weights, so that it is cheaper if one process reads on behalf of all.
func (fo *Follower) followFeeder(ctx context.Context) {
	var rq FeedRequest
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
			fo.applyResponse(ctx, re)
			rq = FeedRequest{Boot: re.Boot, Generation: re.Generation, Held: re.Held}
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

// applyResponse applies a response of the feeder.
//
// A feeder responds only while the key-value service is available to it, so that any outage is
// over. Without recording that, an endpoint removed long after an outage would be kept for
// reregisterGrace, as this process does not call the service itself.
func (fo *Follower) applyResponse(ctx context.Context, re FeedResponse) {
	fo.setUnavailable(fo.Source.EndpointPrefix, nil)
	fo.Directory.ConfirmConfiguration(time.Now())
	fo.setHolds("feeder", re.Holds)
	if re.Holds != nil && time.Since(fo.holdsCheckedAt) >= holdsCheckPause {
		fo.holdsCheckedAt = time.Now()
		defer fo.checkHolds(ctx, re.Holds.Version())
	}
	if re.Fresh {
		fo.Directory.replaceEndpoints(re.Endpoints)
	}
	if co := re.Configuration; co != nil && fo.Directory.SetConfiguration(co) {
		fo.Log.WithFields(logrus.Fields{"from": "feeder", "routes": len(co.Routes), "taken": true, "version": co.Version}).Info("configuration")
	}
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
