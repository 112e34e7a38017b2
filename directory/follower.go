package directory

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
)

// Settings of following the key-value service.
const (
	// followWait is how long one call waits for changes. Calls are billed, but a dead
	// connection is detected only at the end of the wait.
	followWait = 10 * time.Second
	// followSlack is added to followWait for the timeout of a call.
	followSlack = time.Second
	// followPause is the pause after changes, to batch them into one call. Together with the
	// duration of a call it stays well below the 2 s after which a leaving endpoint must get
	// no new work.
	followPause = 250 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 250 * time.Millisecond
	// expireEvery is the interval at which missing endpoints are expired.
	expireEvery = 100 * time.Millisecond
	// endpointsWait is how long one call waits for changes of endpoints. It is shorter than
	// followWait as a feeder must confirm its endpoints within maxFeedAge.
	endpointsWait = 800 * time.Millisecond
)

// maxUnreadLogged bounds the undecodable parts of a configuration in one log entry.
const maxUnreadLogged = 20

// revisionField is the log field with a key's version.
const revisionField = "revision"

// A Schema defines the keys of the key-value service and how to decode their values.
type Schema struct {
	ConfigurationKey string
	EndpointPrefix   string
	VersionPrefix    string // followed by the model's name
	// OperatorPrefix is a prefix of ConfigurationKey and VersionPrefix, so that one call
	// follows both.
	OperatorPrefix string

	DecodeConfigurationFunc func(value []byte) (*Configuration, error)
	DecodeEndpointFunc      func(id string, value []byte) (Endpoint, error)
	DecodeVersionFunc       func(value []byte) (model string, version uint64, err error)
}

// A Follower keeps a Directory up to date.
type Follower struct {
	Client    *keyvalue.Client
	Directory *Directory
	Log       *logrus.Entry
	Source    Schema
	// DirectFunc reports whether the process follows the key-value service itself. If not, it
	// gets its state from Feeder over Pool, and follows only the key Own. Nil means true.
	DirectFunc func() bool
	Feeder     *lease.Resolver
	// Address is that of a process that can feed others, or "". While the feeder is away it reads from
	// the key-value service in the feeder's place.
	Address string
	// HolderFunc returns the address of the process that should feed, or "" if it is unknown. It is
	// told to followers that ask this process by mistake. Nil means unknown.
	HolderFunc func() string
	Name       string // of this process among the followers
	// Own is the key of the operators' requests to this instance, or "".
	Own  string
	Pool *peer.Pool
	// Patience is how long after its start or the feeder's last response the process waits for
	// a feeder before it reads from the key-value service itself. It avoids billed calls while
	// a lost feeder is replaced.
	Patience time.Duration
	// OperatorFunc handles items under OperatorPrefix that are neither the configuration nor a
	// version. Nil ignores them.
	OperatorFunc func(it keyvalue.Item)

	// Quarantine tracks requests that crash their endpoints. Nil tracks none.
	Quarantine *quarantine.Table

	awaitsOperator  atomic.Bool // the operators' keys have yet to be read since the process follows them itself
	cache           updateCache
	counts          feedCounters
	failedReads     int         // of the endpoints, one after the other
	holdsCheckedAt  time.Time   // last read of the holds because the feeder sent older ones
	known           standbyList // callers that can feed others
	lastFeeder      string      // address of the last known feeder
	standbys        string      // as last told by the feeder, see standbyList.joined
	substituteAt    string      // address of the standby that feeds this process in the feeder's place, or ""
	substitutes     atomic.Bool // this process feeds others in its feeder's place
	emptyQuarantine quarantine.Table
	unusable        unusableEntries
}

// Run keeps the directory up to date until ctx ends.
func (fo *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		direct := fo.direct()
		sub, cancel := context.WithCancel(ctx)
		fo.awaitsOperator.Store(direct)
		var wg sync.WaitGroup
		for _, fn := range fo.tasks(direct) {
			wg.Go(func() { fn(sub) })
		}
		for ctx.Err() == nil && fo.direct() == direct {
			sleep(ctx, expireEvery)
			fo.Directory.Expire(time.Now())
		}
		cancel()
		fo.Directory.changed.Notify() // the responses of a feeder that is none any more
		wg.Wait()
	}
}

// direct reports whether the process follows the key-value service itself.
func (fo *Follower) direct() bool {
	return fo.DirectFunc == nil || fo.DirectFunc() || fo.substitutes.Load()
}

// tasks returns the functions that keep the directory up to date, to run concurrently.
func (fo *Follower) tasks(direct bool) []func(ctx context.Context) {
	prefix := func(prefix string, wait, pause time.Duration, apply func([]keyvalue.Item, bool)) func(ctx context.Context) {
		return func(ctx context.Context) { fo.Prefix(ctx, prefix, wait, pause, apply) }
	}
	var tasks []func(ctx context.Context)
	switch {
	case direct:
		tasks = append(tasks,
			prefix(fo.Source.OperatorPrefix, followWait, 0, fo.applyOperator),
			prefix(fo.Source.EndpointPrefix, endpointsWait, followPause, fo.applyEndpoints),
			prefix(quarantine.Key, followWait, 0, fo.applyQuarantine),
			fo.followHolds,
		)
	default:
		tasks = append(tasks, fo.followFeeder)
	}
	if fo.substitutes.Load() {
		tasks = append(tasks, fo.probeFeeder)
	}
	if !direct && fo.Own != "" {
		tasks = append(tasks, prefix(fo.Own, followWait, 0, fo.applyOperator))
	}
	return tasks
}

// followHolds keeps the operators' holds up to date until ctx ends.
func (fo *Follower) followHolds(ctx context.Context) {
	fo.Prefix(ctx, hold.Key, followWait, 0, func(its []keyvalue.Item, full bool) { fo.applyHolds(ctx, its, full) })
}

// Prefix scans a prefix and follows its changes until ctx ends. Apply is called with a complete
// listing (true) first and after the history was lost or the revision went back, and with
// changes (false) otherwise.
func (fo *Follower) Prefix(
	ctx context.Context, prefix string, wait, pause time.Duration, apply func([]keyvalue.Item, bool),
) {
	var after int64
	scan := true
	for ctx.Err() == nil {
		ch, err := fo.next(ctx, prefix, after, scan, wait)
		if ctx.Err() != nil {
			return
		}
		fo.recordContact(err)
		fo.setUnavailable(prefix, err)
		if errors.Is(err, keyvalue.ErrHistoryGone) {
			fo.Log.WithFields(logrus.Fields{"prefix": prefix, "after": after}).Info("history lost, scanning again")
			scan = true
			continue
		}
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		if back := ch.Version < after; back && !scan {
			// After a restore from an older backup, no changes would be reported until the
			// revision is as high again.
			fo.Log.WithFields(logrus.Fields{"prefix": prefix, "after": after, revisionField: ch.Version}).Warn("revision decreased, scanning again")
			scan = true
			sleep(ctx, retryPause)
			continue
		}
		if scan || len(ch.Items) > 0 {
			apply(ch.Items, scan)
		}
		switch prefix {
		case fo.Source.EndpointPrefix:
			fo.Directory.ConfirmEndpoints(time.Now())
		case fo.Source.OperatorPrefix, fo.Source.ConfigurationKey:
			fo.Directory.ConfirmConfiguration(time.Now())
			fo.awaitsOperator.Store(false)
		}
		if scan || len(ch.Items) > 0 {
			sleep(ctx, pause)
		}
		after, scan = ch.Version, false
	}
}

func (fo *Follower) next(
	ctx context.Context, prefix string, after int64, scan bool, wait time.Duration,
) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	if scan {
		return fo.Client.Scan(ctx, prefix)
	}
	return fo.Client.Follow(ctx, prefix, after, wait)
}

// recordContact records a contact if the call got a response, even a rejection.
func (fo *Follower) recordContact(err error) {
	if err == nil || errors.IsAny(err, keyvalue.ErrHistoryGone, ErrNotFeeder, ErrOldEndpoints) {
		fo.Directory.RecordContact(time.Now())
	}
}

// setUnavailable records from the result of a call whether the key-value service is
// unavailable, and logs a change.
func (fo *Follower) setUnavailable(prefix string, err error) {
	unavailable := err != nil && !errors.Is(err, keyvalue.ErrHistoryGone)
	if !fo.Directory.SetUnavailable(unavailable, time.Now()) {
		return
	}
	en := fo.Log.WithFields(logrus.Fields{"dependency": "key-value", "prefix": prefix})
	if unavailable {
		en.WithError(err).Warn("dependency lost")
		return
	}
	en.Info("dependency regained")
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (fo *Follower) applyOperator(its []keyvalue.Item, _ bool) {
	for _, it := range its {
		switch {
		case it.Value == nil:
		case it.Key == fo.Source.ConfigurationKey:
			fo.applyConfiguration(it)
		case strings.HasPrefix(it.Key, fo.Source.VersionPrefix):
			fo.applyVersion(it)
		case fo.OperatorFunc != nil:
			fo.OperatorFunc(it)
		}
	}
}

func (fo *Follower) applyConfiguration(it keyvalue.Item) {
	co, err := fo.Source.DecodeConfigurationFunc(it.Value)
	en := fo.Log.WithFields(logrus.Fields{"key": it.Key, revisionField: it.Version})
	if err != nil {
		en.WithError(err).Error("cannot decode configuration, keeping the current one")
		return
	}
	taken := fo.Directory.SetConfiguration(co)
	en.WithFields(logrus.Fields{"version": co.Version, "routes": len(co.Routes), "taken": taken}).Info("configuration")
	if taken && len(co.Unread) > 0 {
		en.WithFields(logrus.Fields{
			"count": len(co.Unread), "unread": co.Unread[:min(len(co.Unread), maxUnreadLogged)], "version": co.Version,
		}).Error("cannot decode parts of the configuration, treating them as absent")
	}
}

func (fo *Follower) applyVersion(it keyvalue.Item) {
	model, version, err := fo.Source.DecodeVersionFunc(it.Value)
	en := fo.Log.WithFields(logrus.Fields{"key": it.Key, revisionField: it.Version})
	if err != nil {
		en.WithError(err).Error("cannot decode announced version")
		return
	}
	if fo.Directory.SetVersion(model, version) {
		en.WithFields(logrus.Fields{"model": model, "version": version}).Info("version named")
	}
}

// applyEndpoints applies changes in their order, so that the last one of an endpoint wins. Full
// means that the items are a complete listing.
func (fo *Follower) applyEndpoints(its []keyvalue.Item, full bool) {
	var ens []Endpoint
	now := time.Now()
	if full {
		fo.unusable.retain(its)
	}
	for _, it := range its {
		id := strings.TrimPrefix(it.Key, fo.Source.EndpointPrefix)
		if it.Value == nil {
			fo.unusable.remove(it.Key)
			fo.Directory.RemoveEndpoint(id, now)
			fo.Log.WithFields(logrus.Fields{"endpoint": id, revisionField: it.Version}).Info("endpoint's entry removed")
			continue
		}
		en, err := fo.decodeEndpoint(id, it)
		if fo.isUnusable(it, err) {
			fo.Directory.RemoveEndpoint(id, now)
			continue
		}
		fo.logEndpoint(en)
		if old := fo.Directory.SetEndpoint(en); old != "" {
			fo.Log.WithFields(logrus.Fields{"by": en.ID, "endpoint": old, revisionField: it.Version}).Info("endpoint was replaced")
		}
		ens = append(ens, en)
	}
	if full {
		fo.Directory.SetEndpoints(ens, now)
	}
}

// decodeEndpoint returns the endpoint that an entry describes.
func (fo *Follower) decodeEndpoint(id string, it keyvalue.Item) (Endpoint, error) {
	if len(it.Value) > maxEntry {
		return Endpoint{}, errors.Wrapf(errLargeEntry, "%d bytes", len(it.Value))
	}
	en, err := fo.Source.DecodeEndpointFunc(id, it.Value)
	en.Revision = it.Version
	return en, err
}

// logEndpoint logs an endpoint if it is new or its Leaving has changed.
func (fo *Follower) logEndpoint(en Endpoint) {
	old, known := fo.Directory.entry(en.ID)
	if known && old.Leaving == en.Leaving {
		return
	}
	fo.Log.WithFields(logrus.Fields{
		"address": en.Address, "endpoint": en.ID, "leaving": en.Leaving,
		revisionField: en.Revision, "service": en.Service,
	}).Info("endpoint")
}
