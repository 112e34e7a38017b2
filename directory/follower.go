package directory

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
)

// Bounds of following the key-value service.
const (
	// followWait is how long one call waits for changes. Each call is paid for;
	// a waiting one shows a silent connection only when it ends.
	followWait = 10 * time.Second
	// followSlack is how much longer the answer may take.
	followSlack = time.Second
	// followPause is the pause after changes, so that many in a row cost one
	// call. With the call's own time it stays well under the 2 s within which
	// an endpoint that leaves must get no new work.
	followPause = 250 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 250 * time.Millisecond
	// expireEvery is how often endpoints that stay missing are looked for.
	expireEvery = 100 * time.Millisecond
	// endpointsWait is how long one call waits for changes of endpoints. Those
	// who are fed need to know that the feeder is in touch.
	endpointsWait = 800 * time.Millisecond
)

// maxUnreadLogged bounds the parts of a configuration that one log line names.
const maxUnreadLogged = 20

// revisionField is the field of log lines that holds a key's version.
const revisionField = "revision"

// A Schema says where in the key-value service things lie and how they read.
type Schema struct {
	ConfigurationKey string
	EndpointPrefix   string
	VersionPrefix    string // after it stands the model's name
	// OperatorPrefix is a prefix of the configuration's key and of
	// VersionPrefix, so that one call follows both.
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
	// DirectFunc reports whether the process reads all from the key-value
	// service itself. Else it takes endpoints and the configuration from Feeder,
	// which it reaches over Pool, and reads only what concerns its own instance.
	// Nil means that it does.
	DirectFunc func() bool
	Feeder     *lease.Resolver
	// Own is the key of what the operators ask of this instance, or "".
	Own  string
	Pool *peer.Pool
	// Patience is for how long after the feeder's last answer, or after the start, the
	// process waits for a feeder before it reads all itself. Of a day's calls of 58
	// entries, half were of such readings, most of them in the second in which a lost
	// feeder is replaced. Zero waits for none.
	Patience time.Duration
	// OperatorFunc is told of items under OperatorPrefix that are neither the
	// configuration nor a version. Nil ignores them.
	OperatorFunc func(it keyvalue.Item)

	// Quarantine is what is known of requests that end their endpoints. Nil knows
	// of none.
	Quarantine *quarantine.Table

	doubtedAt    time.Time // when the feeder's holds were last doubted
	lastFeeder   string    // address of the feeder that was known last
	noQuarantine quarantine.Table
	unusable     entries
}

// Run follows until ctx ends.
func (fo *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		direct := fo.direct()
		sub, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for _, fn := range fo.tasks(direct) {
			wg.Go(func() { fn(sub) })
		}
		for ctx.Err() == nil && fo.direct() == direct {
			sleep(ctx, expireEvery)
			fo.Directory.Expire(time.Now())
		}
		cancel()
		wg.Wait()
	}
}

// direct reports whether the process reads all from the service itself.
func (fo *Follower) direct() bool { return fo.DirectFunc == nil || fo.DirectFunc() }

// tasks returns what follows what.
func (fo *Follower) tasks(direct bool) []func(ctx context.Context) {
	prefix := func(prefix string, wait, pause time.Duration, apply func([]keyvalue.Item, bool)) func(ctx context.Context) {
		return func(ctx context.Context) { fo.Prefix(ctx, prefix, wait, pause, apply) }
	}
	if direct {
		return []func(ctx context.Context){
			prefix(fo.Source.OperatorPrefix, followWait, 0, fo.applyOperator),
			prefix(fo.Source.EndpointPrefix, endpointsWait, followPause, fo.applyEndpoints),
			prefix(quarantine.Key, followWait, 0, fo.applyQuarantine),
			fo.followHolds,
		}
	}
	tasks := []func(ctx context.Context){fo.takeFeed}
	if fo.Own != "" {
		tasks = append(tasks, prefix(fo.Own, followWait, 0, fo.applyOperator))
	}
	return tasks
}

// followHolds keeps what operators hold up to date until ctx ends.
func (fo *Follower) followHolds(ctx context.Context) {
	fo.Prefix(ctx, hold.Key, followWait, 0, func(its []keyvalue.Item, whole bool) { fo.applyHolds(ctx, its, whole) })
}

// Prefix scans a prefix and follows it until ctx ends. Apply gets whole
// listings first and after history was lost or went back, and changes else.
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
		fo.hear(err)
		fo.away(prefix, err)
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
			// Restored from an older copy, the service would show no change until its
			// revision is as high again.
			fo.Log.WithFields(logrus.Fields{"prefix": prefix, "after": after, revisionField: ch.Version}).Warn("revision went back, scanning again")
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

// hear takes in the outcome of a call. What a process refuses it has answered.
func (fo *Follower) hear(err error) {
	if err == nil || errors.IsAny(err, keyvalue.ErrHistoryGone, ErrNotFeeder, ErrOldEndpoints) {
		fo.Directory.RecordContact(time.Now())
	}
}

// away notes whether the service answers.
func (fo *Follower) away(prefix string, err error) {
	gone := err != nil && !errors.Is(err, keyvalue.ErrHistoryGone)
	if !fo.Directory.SetUnavailable(gone, time.Now()) {
		return
	}
	en := fo.Log.WithFields(logrus.Fields{"dependency": "key-value", "prefix": prefix})
	if gone {
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
		en.WithError(err).Error("configuration does not decode, the one in force stays")
		return
	}
	taken := fo.Directory.SetConfiguration(co)
	en.WithFields(logrus.Fields{"version": co.Version, "routes": len(co.Routes), "taken": taken}).Info("configuration")
	if taken && len(co.Unread) > 0 {
		en.WithFields(logrus.Fields{
			"count": len(co.Unread), "unread": co.Unread[:min(len(co.Unread), maxUnreadLogged)], "version": co.Version,
		}).Error("parts of the configuration do not decode, they count as absent")
	}
}

func (fo *Follower) applyVersion(it keyvalue.Item) {
	model, version, err := fo.Source.DecodeVersionFunc(it.Value)
	en := fo.Log.WithFields(logrus.Fields{"key": it.Key, revisionField: it.Version})
	if err != nil {
		en.WithError(err).Error("named version does not decode")
		return
	}
	if fo.Directory.SetVersion(model, version) {
		en.WithFields(logrus.Fields{"model": model, "version": version}).Info("version named")
	}
}

// applyEndpoints applies changes in the order in which they were made: the last
// word on an endpoint counts.
func (fo *Follower) applyEndpoints(its []keyvalue.Item, whole bool) {
	var ens []Endpoint
	now := time.Now()
	if whole {
		fo.unusable.keepOnly(its)
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
		if fo.noteUnusable(it, err) {
			fo.Directory.RemoveEndpoint(id, now)
			continue
		}
		fo.logEndpoint(en)
		if old := fo.Directory.SetEndpoint(en); old != "" {
			fo.Log.WithFields(logrus.Fields{"by": en.ID, "endpoint": old, revisionField: it.Version}).Info("endpoint was replaced")
		}
		ens = append(ens, en)
	}
	if whole {
		fo.Directory.SetEndpoints(ens, now)
	}
}

// decodeEndpoint returns the endpoint that an entry names.
func (fo *Follower) decodeEndpoint(id string, it keyvalue.Item) (Endpoint, error) {
	if len(it.Value) > maxEntry {
		return Endpoint{}, errors.Wrapf(errLargeEntry, "%d bytes", len(it.Value))
	}
	en, err := fo.Source.DecodeEndpointFunc(id, it.Value)
	en.Revision = it.Version
	return en, err
}

// logEndpoint writes a line if an endpoint is new or begins to leave.
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
