package directory

import (
	"context"
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
	// connection is detected only at the end of the wait, and a feeder must confirm each topic
	// within its maxAge.
	followWait = 800 * time.Millisecond
	// ownWait is the same for Own, which nobody is sent.
	ownWait = 2 * time.Second
	// followSlack is added to the wait for the timeout of a call.
	followSlack = time.Second
	// followPause is the pause after changes, to batch them into one call. Together with the
	// duration of a call it stays well below the 2 s after which a leaving endpoint must get
	// no new work.
	followPause = 250 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 250 * time.Millisecond
	// expireEvery is the interval at which missing endpoints are expired.
	expireEvery = 100 * time.Millisecond
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

	cache           updateCache
	counts          feedCounters
	failedReads     int              // of the endpoints, one after the other
	holdsCheckedAt  time.Time        // last read of the holds because the feeder sent older ones
	known           standbyList      // callers that can feed others
	lastFeeder      string           // address of the last known feeder
	old             [topicCount]bool // as logged, see logAges
	probedAt        time.Time        // last probe
	outages         outageSet
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
		var wg sync.WaitGroup
		for _, fn := range fo.tasks(direct) {
			wg.Go(func() { fn(sub) })
		}
		for ctx.Err() == nil && fo.direct() == direct {
			sleep(ctx, expireEvery)
			fo.expire(time.Now())
			if direct && fo.mustProbe(time.Now()) {
				wg.Go(func() { fo.probe(sub) })
			}
			fo.logAges(direct, time.Now())
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
			prefix(fo.Source.EndpointPrefix, followWait, followPause, fo.applyEndpoints),
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
		tasks = append(tasks, prefix(fo.Own, ownWait, 0, fo.applyOperator))
	}
	return tasks
}

// followHolds keeps the operators' holds up to date until ctx ends.
func (fo *Follower) followHolds(ctx context.Context) {
	fo.Prefix(ctx, hold.Key, followWait, 0, func(its []keyvalue.Item, full bool) { fo.applyHolds(ctx, its, full) })
}

// recordContact records a contact if the call got a response, even a rejection.
func (fo *Follower) recordContact(err error) {
	if err == nil || errors.IsAny(err, keyvalue.ErrHistoryGone, ErrNotFeeder, ErrOldState) {
		fo.Directory.RecordContact(time.Now())
	}
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
