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

// Bounds of feeding processes with endpoints.
const (
	// feedMethod asks for the endpoints.
	feedMethod = "directory.Feed"
	// feedWait is how long an answer waits for news.
	feedWait = 800 * time.Millisecond
	// feedTimeout bounds one call.
	feedTimeout = feedWait + 400*time.Millisecond
	// feedAge is how old the feeder's own knowledge may be. With the time of one
	// call it stays under the 2 s within which an endpoint that leaves must get
	// no new work.
	feedAge = 1100 * time.Millisecond
	// feedPoll is how often a feeder looks for news.
	feedPoll = 20 * time.Millisecond
)

// unknownGeneration is the generation of endpoints that were not fed.
const unknownGeneration = math.MaxUint64

// Errors of a process that is asked for endpoints.
var (
	// ErrNotFeeder means that it does not follow the endpoints itself.
	ErrNotFeeder = errors.New("does not feed")
	// ErrOldEndpoints means that it follows them and has not heard of late.
	ErrOldEndpoints = errors.New("endpoints are old")
)

// errNoFeeder means that no feeder is known.
var errNoFeeder = errors.New("no feeder is known")

// A FeedRequest asks for the endpoints if they are not those of a generation, for
// the configuration if it is newer than a version, and for the quarantined
// requests if they are not those of a generation of theirs.
type FeedRequest struct {
	Boot       string // of the process whose generations they are
	Generation uint64
	Held       uint64              // generation of the quarantined requests
	Holds      int64               // version of the operators' holds; 0 for none
	Unsaved    []quarantine.Record `cbor:",omitempty"` // what the caller could not save yet
	Version    int64               // of the configuration; 0 for none
}

// A FeedResponse holds the endpoints, if Fresh, and the configuration and the
// quarantined requests, if newer.
type FeedResponse struct {
	Boot          string
	Configuration *Configuration `cbor:",omitempty"`
	Endpoints     []Endpoint
	Fresh         bool // they are not those that were asked with
	Generation    uint64
	Held          uint64
	Holds         *hold.Set           `cbor:",omitempty"` // if other than the caller's
	Quarantine    []quarantine.Record `cbor:",omitempty"`
	// Stale means that there is nothing but Quarantine: the process does not feed,
	// or its endpoints are old.
	Stale bool `cbor:",omitempty"`
}

// news reports whether a response holds anything that is newer than what was asked with.
// Older holds are told with the next response: the caller may know more than the feeder.
func (re *FeedResponse) news(rq FeedRequest) bool {
	return re.Fresh || re.Configuration != nil || re.Holds.Version() > rq.Holds || len(re.Quarantine) > 0
}

// RegisterFeed lets other processes take their endpoints from a follower.
func RegisterFeed(sv *peer.Server, fo *Follower, boot string) {
	peer.Handle(sv, feedMethod, func(ctx context.Context, _ message.Header, rq FeedRequest) (FeedResponse, error) {
		return fo.feed(ctx, boot, rq)
	})
}

// feed answers once the endpoints or the configuration are others than those that
// the caller has.
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
		case fo.direct() && known && age <= feedAge:
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
		if sh := fo.Directory.Holds(); sh.Version() != rq.Holds {
			re.Holds = sh.WithVersion(sh.Version())
		}
		if rq.Boot != boot || rq.Generation != generation {
			re.Endpoints, re.Fresh = fo.Directory.entries(), true
		}
		if re.news(rq) || !time.Now().Before(end) {
			return re, nil
		}
		sleep(ctx, feedPoll)
	}
}

// takeFeed takes the endpoints and the configuration from the feeder for as long
// as it can be reached, and reads them itself meanwhile.
//
// Each call to the key-value service is paid for, and an endpoint's entry
// changes with each version of its weights. Fed by one process, 27 entries make
// a tenth of the calls that each would make for itself.
func (fo *Follower) takeFeed(ctx context.Context) {
	var rq FeedRequest
	var un unfed
	defer un.end()
	fo.glance(ctx)
	heard := time.Now() // of the feeder
	for ctx.Err() == nil {
		if co := fo.Directory.Configuration(); co != nil {
			rq.Version = co.Version
		}
		rq.Holds = fo.Directory.Holds().Version()
		rq.Unsaved = fo.quarantine().Unsaved()
		re, err := fo.askFeed(ctx, rq)
		fo.hear(err)
		fo.takeQuarantine("feeder", re.Quarantine)
		if err == nil && !re.Stale {
			un.end()
			fo.takeResponse(ctx, re)
			rq = FeedRequest{Boot: re.Boot, Generation: re.Generation, Held: re.Held}
			heard = time.Now()
			continue
		}
		if err == nil {
			rq.Boot, rq.Held = re.Boot, re.Held
		}
		rq.Generation = unknownGeneration // what is read meanwhile replaces what was fed
		if time.Since(heard) < fo.Patience {
			sleep(ctx, patiencePause)
			continue
		}
		un.begin(ctx, fo)
		ch, err := fo.scanEndpoints(ctx)
		fo.hear(err)
		fo.away(fo.Source.EndpointPrefix, err)
		if err == nil {
			fo.applyEndpoints(ch.Items, true)
			fo.readQuarantine(ctx)
		}
		sleep(ctx, scanPause)
	}
}

// takeResponse takes in what the feeder said.
//
// It feeds only while the key-value service answers it, so that the service is
// not away. A process that is fed asks it nothing itself, and would go on taking
// an outage for one that lasts: what left long after it would stay for 2.5 s more
// as if it might come back.
func (fo *Follower) takeResponse(ctx context.Context, re FeedResponse) {
	fo.away(fo.Source.EndpointPrefix, nil)
	fo.Directory.ConfirmConfiguration(time.Now())
	fo.takeHolds("feeder", re.Holds)
	if re.Holds != nil && time.Since(fo.doubtedAt) >= doubtPause {
		fo.doubtedAt = time.Now()
		defer fo.doubtHolds(ctx, re.Holds.Version())
	}
	if re.Fresh {
		fo.Directory.replaceEndpoints(re.Endpoints)
	}
	if co := re.Configuration; co != nil && fo.Directory.SetConfiguration(co) {
		fo.Log.WithFields(logrus.Fields{"from": "feeder", "routes": len(co.Routes), "taken": true, "version": co.Version}).Info("configuration")
	}
}

// doubtPause is the pause between two questions to the key-value service for holds of
// which the feeder knows an older version: it may be behind for a while.
const doubtPause = 2 * time.Second

// An unfed follows the configuration and the holds while there is no feeder.
type unfed struct{ cancel context.CancelFunc }

// begin starts following, with a reading first: what came while the process was
// fed may be missing.
func (un *unfed) begin(ctx context.Context, fo *Follower) {
	if un.cancel != nil {
		return
	}
	ctx, un.cancel = context.WithCancel(ctx)
	go fo.Prefix(ctx, fo.Source.ConfigurationKey, followWait, 0, fo.applyOperator)
	go fo.followHolds(ctx)
}

func (un *unfed) end() {
	if un.cancel != nil {
		un.cancel()
		un.cancel = nil
	}
}

// glance reads the configuration and the endpoints in the cheap way, for a process
// that has just started and is patient: what it reads may be seconds old, and a
// feeder brings what is new within its patience.
//
// All processes may start at once, and the feeder some tenths of a second later.
// Without it, 58 entries refused 33 requests of live callers meanwhile.
func (fo *Follower) glance(ctx context.Context) {
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
		fo.hear(err)
		fo.away(prefix, err)
		if err == nil {
			apply(ch.Items, true)
		}
	}
}

// patiencePause is the pause before a feeder is asked for again.
const patiencePause = 100 * time.Millisecond

// scanPause is the pause between readings of all endpoints while there is no
// feeder.
const scanPause = 500 * time.Millisecond

func (fo *Follower) askFeed(ctx context.Context, rq FeedRequest) (FeedResponse, error) {
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

// feederAddress returns where to ask for endpoints, or "".
//
// While the service is away, feeders lose their leases and none is known. The
// process that fed last still answers then, though only that it feeds no longer,
// and so tells an outage of the service from a cut of this process. Taken for
// one another, all entries would refuse all steps at once for the outage's time.
func (fo *Follower) feederAddress(ctx context.Context) string {
	if address := fo.Feeder.Address(ctx); address != "" {
		fo.lastFeeder = address
	}
	return fo.lastFeeder
}

// scanTimeout bounds a reading of all endpoints while there is no feeder: with
// the pause it stays under the time after which the process counts as cut off.
// A service that is 60 times slower than usual answers in 0.24 s.
const scanTimeout = 800 * time.Millisecond

func (fo *Follower) scanEndpoints(ctx context.Context) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	return fo.Client.Scan(ctx, fo.Source.EndpointPrefix)
}
