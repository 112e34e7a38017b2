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

// testBoot is the boot ID of feeders in tests.
const testBoot = "boot"

// confirmAll records that all topics are the newest now.
func confirmAll(di *Directory) {
	for _, to := range Topics() {
		di.Confirm(to, time.Now())
	}
}

// feed responds to a follower once there are changes for it, or after feedWait.
func (fo *Follower) feed(ctx context.Context, rq FeedRequest) (FeedResponse, error) {
	up, err := fo.awaitUpdate(ctx, testBoot, rq)
	if err != nil {
		return FeedResponse{}, err
	}
	re, _ := fo.response(up)
	return re, nil
}

func TestFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		confirmAll(di)
		fo := &Follower{Directory: di}
		first, err := fo.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.Assert(t, first.Fresh)
		assert.Equal(t, len(first.Endpoints), 1)

		known := FeedRequest{Boot: first.Boot, Generation: first.Generation}
		en, _ := di.Endpoint("a")
		en.Models = []ModelVersion{{Model: "m", Version: 2}}
		di.SetEndpoint(en)
		start := time.Now()
		second, err := fo.feed(t.Context(), known)
		assert.NilError(t, err)
		assert.Assert(t, !second.Fresh, "a new version does not change the generation")
		assert.Assert(t, time.Since(start) >= feedWait)

		confirmAll(di)
		time.AfterFunc(100*time.Millisecond, func() {
			en.Leaving = true
			di.SetEndpoint(en)
		})
		start = time.Now()
		third, err := fo.feed(t.Context(), known)
		assert.NilError(t, err)
		assert.Assert(t, third.Fresh && third.Endpoints[0].Leaving)
		assert.Assert(t, time.Since(start) < 150*time.Millisecond)
	})
}

func TestConfigurationIsFed(t *testing.T) {
	// The feeder sends a newer configuration at once, so that the other process need not read
	// it from the key-value service.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.SetConfiguration(&Configuration{Version: 3})
		confirmAll(di)
		feeder := &Follower{Directory: di}
		first, err := feeder.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.Equal(t, first.Configuration.Version, int64(3))

		time.AfterFunc(100*time.Millisecond, func() { di.SetConfiguration(&Configuration{Version: 5}) })
		start := time.Now()
		rq := FeedRequest{Boot: "boot", Generation: first.Generation, Version: 3}
		second, err := feeder.feed(t.Context(), rq)
		assert.NilError(t, err)
		assert.Equal(t, second.Configuration.Version, int64(5))
		assert.Assert(t, !second.Fresh)
		assert.Assert(t, time.Since(start) < 150*time.Millisecond)

		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		fed := &Follower{Directory: &Directory{}, Log: logrus.NewEntry(logger)}
		assert.NilError(t, fed.applyResponse(t.Context(), rq, second))
		assert.Equal(t, fed.Directory.Configuration().Version, int64(5))
		assert.NilError(t, fed.applyResponse(t.Context(), FeedRequest{}, first)) // a delayed response
		assert.Equal(t, fed.Directory.Configuration().Version, int64(5))
	})
}

func TestConfigurationWithoutFeeder(t *testing.T) {
	// Guards against using an old configuration while no feeder is reachable.
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

func TestFeedEndsOutage(t *testing.T) {
	// Guards against keeping a removed endpoint for the grace period of an outage that ended
	// long ago, if the process got its state from a feeder since.
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		me := &keyvalue.Memory{}
		fo := &Follower{Client: me.Client(), Directory: withEndpoint(), Log: logrus.NewEntry(logger), Source: source()}
		var fb feedFallback
		ctx, cancel := context.WithCancel(t.Context())
		_, err := fo.Client.Scan(ctx, "servers/")
		assert.NilError(t, err)
		me.SetFaults(keyvalue.Faults{Outage: true})
		fo.readDirectly(ctx, &fb)
		time.Sleep(4 * time.Second)
		assert.NilError(t, fo.applyResponse(t.Context(), FeedRequest{}, FeedResponse{}))
		me.SetFaults(keyvalue.Faults{})
		time.Sleep(time.Minute)
		fo.readDirectly(ctx, &fb)
		assert.Assert(t, !known(fo.Directory, "a"))
		cancel()
		synctest.Wait()
	})
}

func TestStaleEndpointsNotFed(t *testing.T) {
	// Guards against requests to a removed endpoint because a feeder that is cut off from the
	// key-value service keeps sending stale endpoints.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		confirmAll(di)
		fo := &Follower{Directory: di}
		time.Sleep(maxEndpointAge + time.Millisecond)
		_, err := fo.feed(t.Context(), FeedRequest{})
		assert.Assert(t, errors.Is(err, ErrOldState))
		fo.DirectFunc = func() bool { return false }
		confirmAll(di)
		_, err = fo.feed(t.Context(), FeedRequest{})
		assert.Assert(t, errors.Is(err, ErrNotFeeder), "it does not follow the service itself")
	})
}

func TestCutOff(t *testing.T) {
	// Guards against entries that are cut off staying ready, and so in the load balancer's
	// rotation, where they reject steps that other entries could store.
	for _, tc := range []struct {
		name   string
		err    error // of each call
		cutOff bool
	}{
		{"success", nil, false},
		{"history lost", keyvalue.ErrHistoryGone, false},
		{"feeder cut off", ErrOldState, false},
		{"no longer a feeder", ErrNotFeeder, false},
		{"timeout", context.DeadlineExceeded, true},
		{"rejected by the key-value service", keyvalue.ErrUnavailable, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fo := &Follower{Directory: &Directory{}}
				fo.recordContact(nil)
				for range 20 {
					time.Sleep(feedWait)
					fo.recordContact(tc.err)
				}
				assert.Equal(t, fo.Directory.CutOff(time.Now()), tc.cutOff)
				fo.recordContact(nil)
				assert.Assert(t, !fo.Directory.CutOff(time.Now()))
			})
		})
	}
}

func TestNotCutOffDuringOutage(t *testing.T) {
	// Guards against all entries considering themselves cut off, and rejecting all steps, during
	// an outage of the key-value service in which the last feeder still responds.
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
		fo.recordContact(ErrNotFeeder)
		time.Sleep(contactTimeout - time.Millisecond)
		assert.Assert(t, !fo.Directory.CutOff(time.Now()))
	})
}

func TestPatience(t *testing.T) {
	// Guards against a burst of calls to the key-value service from all entries while a lost
	// feeder is replaced.
	for _, tc := range []struct {
		name     string
		patience time.Duration
		reads    bool
	}{
		{"none", 0, true},
		{"longer than the replacement", 1200 * time.Millisecond, false},
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
				var lookups atomic.Int64
				cl.GetStaleFunc = func(context.Context, string) (keyvalue.Item, error) {
					lookups.Add(1)
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
				version := map[bool]int64{false: 2, true: 3}[tc.reads] // 2 is from the stale read
				assert.Equal(t, fo.Directory.Configuration().Version, version)
				// The configuration, the endpoints and the quarantined requests.
				assert.Equal(t, stale.Load(), map[bool]int64{false: 3, true: 0}[tc.reads])
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, fo.Directory.Configuration().Version, int64(3), "no feeder within the patience")
				assert.Assert(t, lookups.Load() > 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}
