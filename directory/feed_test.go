package directory

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
)

func TestFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.ConfirmEndpoints(time.Now())
		fo := &Follower{Directory: di}
		first, err := fo.feed(t.Context(), "boot", FeedRequest{})
		assert.NilError(t, err)
		assert.Assert(t, first.Fresh)
		assert.Equal(t, len(first.Endpoints), 1)

		known := FeedRequest{Boot: first.Boot, Generation: first.Generation}
		en, _ := di.Endpoint("a")
		en.Models = []ModelVersion{{Model: "m", Version: 2}}
		di.SetEndpoint(en)
		begun := time.Now()
		second, err := fo.feed(t.Context(), "boot", known)
		assert.NilError(t, err)
		assert.Assert(t, !second.Fresh, "new weights are no news")
		assert.Assert(t, time.Since(begun) >= feedWait)

		di.ConfirmEndpoints(time.Now())
		time.AfterFunc(100*time.Millisecond, func() {
			en.Leaving = true
			di.SetEndpoint(en)
		})
		begun = time.Now()
		third, err := fo.feed(t.Context(), "boot", known)
		assert.NilError(t, err)
		assert.Assert(t, third.Fresh && third.Endpoints[0].Leaving)
		assert.Assert(t, time.Since(begun) < 150*time.Millisecond)
	})
}

func TestConfigurationIsFed(t *testing.T) {
	// A process that is fed makes no call to the key-value service for the
	// configuration, and a newer one reaches it at once.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.SetConfiguration(&Configuration{Version: 3})
		di.ConfirmEndpoints(time.Now())
		feeder := &Follower{Directory: di}
		first, err := feeder.feed(t.Context(), "boot", FeedRequest{})
		assert.NilError(t, err)
		assert.Equal(t, first.Configuration.Version, int64(3))

		time.AfterFunc(100*time.Millisecond, func() { di.SetConfiguration(&Configuration{Version: 5}) })
		begun := time.Now()
		second, err := feeder.feed(t.Context(), "boot", FeedRequest{Boot: "boot", Generation: first.Generation, Version: 3})
		assert.NilError(t, err)
		assert.Equal(t, second.Configuration.Version, int64(5))
		assert.Assert(t, !second.Fresh)
		assert.Assert(t, time.Since(begun) < 150*time.Millisecond)

		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		fed := &Follower{Directory: &Directory{}, Log: logrus.NewEntry(logger)}
		fed.takeResponse(t.Context(), second)
		assert.Equal(t, fed.Directory.Configuration().Version, int64(5))
		fed.takeResponse(t.Context(), first) // an answer that was overtaken
		assert.Equal(t, fed.Directory.Configuration().Version, int64(5))
	})
}

func TestConfigurationOfAProcessThatIsNotFed(t *testing.T) {
	// Symptom: requests go by an old route for as long as no scheduler is there.
	// Sequence: the feeder is gone; operators change the configuration.
	// Cause: a process that is fed as a rule did not follow the key itself.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var me keyvalue.Memory
		put(t, &me, "op/config", `{"Version":3}`)
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		log := logrus.NewEntry(logger)
		fo := &Follower{
			Client: me.Client(), DirectFunc: func() bool { return false }, Directory: &Directory{},
			Feeder: &lease.Resolver{Client: me.Client(), Log: log, Name: "scheduler"}, Log: log, Source: source(),
		}
		go fo.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, fo.Directory.Configuration().Version, int64(3))
		put(t, &me, "op/config", `{"Version":5}`)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, fo.Directory.Configuration().Version, int64(5))
		cancel()
		synctest.Wait()
	})
}

func TestFedProcessKnowsOfTheServicesReturn(t *testing.T) {
	// Symptom: an endpoint that has left gets requests for 2.5 s more.
	// Sequence: the key-value service is away and returns, and the process is fed
	// from then on; a minute later the feeder is gone, and the process reads that an
	// endpoint has left.
	// Cause: the process had not heard of the service itself since the outage.
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		fo := &Follower{Directory: withEndpoint(), Log: logrus.NewEntry(logger), Source: source()}
		fo.away("servers/", keyvalue.ErrUnavailable)
		time.Sleep(4 * time.Second)
		fo.takeResponse(t.Context(), FeedResponse{})
		time.Sleep(time.Minute)
		fo.away("servers/", nil)
		fo.applyEndpoints(nil, true)
		assert.Assert(t, !known(fo.Directory, "a"))
	})
}

func TestOldKnowledgeIsNotFed(t *testing.T) {
	// Symptom: entries that are well send requests to an endpoint that has left.
	// Sequence: the feeder loses its path to the key-value service, and entries
	// go on taking their endpoints from it.
	// Cause: the feeder answered with what it had last heard, however old.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.ConfirmEndpoints(time.Now())
		fo := &Follower{Directory: di}
		time.Sleep(feedAge + time.Millisecond)
		_, err := fo.feed(t.Context(), "boot", FeedRequest{})
		assert.Assert(t, errors.Is(err, ErrOldEndpoints))
		fo.DirectFunc = func() bool { return false }
		di.ConfirmEndpoints(time.Now())
		_, err = fo.feed(t.Context(), "boot", FeedRequest{})
		assert.Assert(t, errors.Is(err, ErrNotFeeder), "it does not follow the service itself")
	})
}

func TestCutOff(t *testing.T) {
	// Symptom: a trainer's step is 5 s late, though most entries could keep it.
	// Sequence: a third of the entries are cut off from the service and from the
	// schedulers, and stay in the balancer's rotation; the trainer meets three.
	// Cause: an entry that had read the routes once counted as ready for good.
	for _, tc := range []struct {
		name   string
		err    error // of each call
		cutOff bool
	}{
		{"calls are answered", nil, false},
		{"history is gone", keyvalue.ErrHistoryGone, false},
		{"the feeder has lost the service", ErrOldEndpoints, false},
		{"the process feeds no longer", ErrNotFeeder, false},
		{"nothing answers", context.DeadlineExceeded, true},
		{"the service turns this process away", keyvalue.ErrUnavailable, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fo := &Follower{Directory: &Directory{}}
				fo.hear(nil)
				for range 20 {
					time.Sleep(feedWait)
					fo.hear(tc.err)
				}
				assert.Equal(t, fo.Directory.CutOff(time.Now()), tc.cutOff)
				fo.hear(nil)
				assert.Assert(t, !fo.Directory.CutOff(time.Now()))
			})
		})
	}
}

func TestLastFeederTellsAnOutageFromACut(t *testing.T) {
	// Symptom: all trainers' steps of an outage are refused and never come again.
	// Sequence: the service goes away for longer than a lease lasts; no feeder is
	// known any longer.
	// Cause: an entry without a feeder took itself for cut off, as all others did,
	// though the process that had fed it still answered.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		log := logrus.NewEntry(logger)
		fo := &Follower{
			Directory: &Directory{}, Feeder: &lease.Resolver{Client: me.Client(), Log: log, Name: "scheduler"}, lastFeeder: "10.0.0.1:1",
		}
		me.SetFaults(keyvalue.Faults{Outage: true})
		assert.Equal(t, fo.feederAddress(t.Context()), "10.0.0.1:1")
		fo.hear(ErrNotFeeder)
		time.Sleep(cutOffAfter - time.Millisecond)
		assert.Assert(t, !fo.Directory.CutOff(time.Now()))
	})
}

func TestPatience(t *testing.T) {
	// Load pattern: 58 entries lose their feeder at the same moment, and another one is
	// there a second later. Each that reads all itself meanwhile makes five calls.
	for _, tc := range []struct {
		name     string
		patience time.Duration
		reads    bool
	}{
		{"none", 0, true},
		{"longer than it takes", 1200 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var me keyvalue.Memory
				put(t, &me, "op/config", `{"Version":3}`)
				logger := logrus.New()
				logger.SetLevel(logrus.PanicLevel)
				log := logrus.NewEntry(logger)
				cl := me.Client()
				var looks atomic.Int64
				cl.GetStaleFunc = func(context.Context, string) (keyvalue.Item, error) {
					looks.Add(1)
					return keyvalue.Item{}, keyvalue.ErrNotFound
				}
				fo := &Follower{
					Client: cl, DirectFunc: func() bool { return false }, Directory: &Directory{},
					Feeder: &lease.Resolver{Client: cl, Log: log, Name: "scheduler"}, Log: log, Patience: tc.patience, Source: source(),
				}
				var stale atomic.Int64
				cl.ScanStaleFunc = func(ctx context.Context, prefix string) (keyvalue.Changes, error) {
					stale.Add(1)
					return keyvalue.Changes{Items: []keyvalue.Item{{Key: prefix, Value: []byte(`{"Version":2}`)}}}, nil
				}
				go fo.Run(ctx)
				time.Sleep(time.Second)
				version := map[bool]int64{false: 2, true: 3}[tc.reads] // 2 is the cheap reading's
				assert.Equal(t, fo.Directory.Configuration().Version, version)
				// The configuration, the endpoints and the quarantined requests.
				assert.Equal(t, stale.Load(), map[bool]int64{false: 3, true: 0}[tc.reads])
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, fo.Directory.Configuration().Version, int64(3), "a feeder that does not come")
				assert.Assert(t, looks.Load() > 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}
