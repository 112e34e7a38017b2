package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
)

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}

// change makes a change in the key-value service.
func change(t *testing.T, cl *keyvalue.Client, ac hold.Action, ki hold.Kind, name string) {
	t.Helper()
	_, err := (&hold.Store{Client: cl}).Change(t.Context(), hold.Change{
		Action: ac, ID: time.Now().String() + string(ac) + name,
		Record: hold.Record{Target: hold.Target{Kind: ki, Name: name}, By: "ada", Why: "test"},
	})
	assert.NilError(t, err)
}

func TestDrainByOperator(t *testing.T) {
	// A drained endpoint is shown as leaving, but its entry is fed unchanged, as the other
	// process applies the hold itself.
	var me keyvalue.Memory
	di := withEndpoint()
	fo := &Follower{Directory: di, Log: quiet()}
	for _, tc := range []struct {
		action  hold.Action
		leaving bool
	}{{hold.Held, true}, {hold.Released, false}} {
		change(t, me.Client(), tc.action, hold.Endpoint, "a")
		it, err := me.Client().Get(t.Context(), hold.Key)
		assert.NilError(t, err)
		fo.applyHolds(t.Context(), []keyvalue.Item{it}, false)
		en, _ := di.Endpoint("a")
		assert.Equal(t, en.Leaving, tc.leaving)
		assert.Equal(t, di.Endpoints("")[0].Leaving, tc.leaving)
		entries, _ := di.entries()
		assert.Assert(t, !entries[0].Leaving)
	}
}

func TestHoldsAreFed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		di := withEndpoint()
		confirmAll(di)
		feeder := &Follower{Directory: di, Log: quiet()}
		first, err := feeder.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.Assert(t, first.Holds == nil)
		change(t, me.Client(), hold.Held, hold.Customer, "bakery")
		it, err := me.Client().Get(t.Context(), hold.Key)
		assert.NilError(t, err)
		time.AfterFunc(100*time.Millisecond, func() { feeder.applyHolds(t.Context(), []keyvalue.Item{it}, false) })
		start := time.Now()
		rq := FeedRequest{Boot: "boot", Generation: first.Generation}
		second, err := feeder.feed(t.Context(), rq)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < 150*time.Millisecond)

		fed := &Follower{Directory: &Directory{}, Log: quiet()}
		assert.NilError(t, fed.applyResponse(t.Context(), rq, second))
		_, held := fed.Directory.Holds().Customer("bakery")
		assert.Assert(t, held)
		assert.NilError(t, fed.applyResponse(t.Context(), FeedRequest{}, first)) // a delayed response
		_, held = fed.Directory.Holds().Customer("bakery")
		assert.Assert(t, held)
	})
}

func TestHoldsOutlastAnOutage(t *testing.T) {
	// Guards against releasing all holds if they cannot be read during an outage.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		change(t, me.Client(), hold.Held, hold.Customer, "bakery")
		di := &Directory{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fo := &Follower{Client: me.Client(), Directory: di, Log: quiet()}
		go fo.followHolds(ctx)
		synctest.Wait()
		_, held := di.Holds().Customer("bakery")
		assert.Assert(t, held)
		me.SetFaults(keyvalue.Faults{Outage: true})
		time.Sleep(time.Minute)
		fo.readHolds(ctx)
		_, held = di.Holds().Customer("bakery")
		assert.Assert(t, held)
		me.SetFaults(keyvalue.Faults{})
		change(t, me.Client(), hold.Released, hold.Customer, "bakery")
		time.Sleep(time.Second)
		synctest.Wait()
		_, held = di.Holds().Customer("bakery")
		assert.Assert(t, !held)
	})
}

// An undecodable value leaves the current holds in force.
func TestUndecodableHolds(t *testing.T) {
	var me keyvalue.Memory
	change(t, me.Client(), hold.Held, hold.Customer, "bakery")
	it, err := me.Client().Get(t.Context(), hold.Key)
	assert.NilError(t, err)
	fo := &Follower{Directory: &Directory{}, Log: quiet()}
	fo.applyHolds(t.Context(), []keyvalue.Item{it, {Key: hold.Key, Value: []byte("x"), Version: it.Version + 1}}, true)
	_, held := fo.Directory.Holds().Customer("bakery")
	assert.Assert(t, held)
}

// withoutFeeder returns a follower that has no feeder and isn't one, and runs until ctx ends.
func withoutFeeder(ctx context.Context, me *keyvalue.Memory) *Follower {
	fo := &Follower{
		Client: me.Client(), DirectFunc: func() bool { return false }, Directory: &Directory{},
		Feeder: &lease.Resolver{Client: me.Client(), Log: quiet(), Name: "scheduler"}, Log: quiet(), Source: source(),
	}
	go fo.Run(ctx)
	return fo
}

func isHeld(fo *Follower, customer string) bool {
	_, held := fo.Directory.Holds().Customer(customer)
	return held
}

// Guards against missing changes of holds while no feeder is reachable.
func TestHoldsWithoutFeeder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var me keyvalue.Memory
		change(t, me.Client(), hold.Held, hold.Customer, "bakery")
		fo := withoutFeeder(ctx, &me)
		time.Sleep(time.Second)
		assert.Assert(t, isHeld(fo, "bakery"))
		change(t, me.Client(), hold.Released, hold.Customer, "bakery")
		change(t, me.Client(), hold.Held, hold.Customer, "mill")
		time.Sleep(time.Second)
		assert.Assert(t, !isHeld(fo, "bakery"))
		assert.Assert(t, isHeld(fo, "mill"))
		cancel()
		synctest.Wait()
	})
}

// Guards against keeping a hold that no longer exists, and missing later changes, after the
// key-value service is restored from a backup and its revision goes back.
func TestHoldsAfterRestore(t *testing.T) {
	for name, start := range map[string]func(ctx context.Context, me *keyvalue.Memory) *Follower{
		"direct": func(ctx context.Context, me *keyvalue.Memory) *Follower {
			fo := &Follower{Client: me.Client(), Directory: &Directory{}, Log: quiet(), Source: source()}
			go fo.Run(ctx)
			return fo
		},
		"no feeder": withoutFeeder,
	} {
		for _, empty := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var me keyvalue.Memory
					put(t, &me, "other", "1")
					if !empty {
						change(t, me.Client(), hold.Held, hold.Customer, "mill")
					}
					old := me.Copy()
					change(t, me.Client(), hold.Held, hold.Customer, "bakery")
					for range 20 {
						put(t, &me, "other", "2")
					}
					fo := start(ctx, &me)
					time.Sleep(time.Second)
					assert.Assert(t, isHeld(fo, "bakery"))
					me.Restore(old)
					time.Sleep(followWait + 2*time.Second)
					assert.Assert(t, !isHeld(fo, "bakery"))
					assert.Equal(t, isHeld(fo, "mill"), !empty)
					change(t, me.Client(), hold.Held, hold.Customer, "inn")
					time.Sleep(time.Second)
					assert.Assert(t, isHeld(fo, "inn"), "change at a lower revision")
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// Older holds from a feeder release a hold only if the key-value service was restored from a
// backup, not if the feeder lags behind.
func TestFedHoldsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		change(t, me.Client(), hold.Held, hold.Customer, "mill")
		old := me.Copy()
		feeder := &Follower{Client: me.Client(), Directory: withEndpoint(), Log: quiet()}
		feeder.readHolds(t.Context())
		change(t, me.Client(), hold.Held, hold.Customer, "bakery")
		fed := &Follower{Client: me.Client(), Directory: &Directory{}, Log: quiet()}
		fed.readHolds(t.Context())
		assert.Assert(t, isHeld(fed, "bakery"))
		call := func() {
			confirmAll(feeder.Directory)
			start := time.Now()
			rq := FeedRequest{Boot: "boot", Generation: 1, Holds: fed.Directory.Holds().Version()}
			re, err := feeder.feed(t.Context(), rq)
			assert.NilError(t, err)
			assert.Assert(t, re.Fresh || time.Since(start) >= feedWait, "older holds are no update")
			assert.NilError(t, fed.applyResponse(t.Context(), rq, re))
		}
		call()
		assert.Assert(t, isHeld(fed, "bakery"), "the feeder lags behind")
		time.Sleep(time.Minute)
		me.Restore(old)
		call()
		assert.Assert(t, !isHeld(fed, "bakery"))
		assert.Assert(t, isHeld(fed, "mill"))
		me.Restore(keyvalue.Copy{})
		feeder.readHolds(t.Context())
		assert.Assert(t, !isHeld(feeder, "mill"))
		time.Sleep(time.Minute)
		call()
		assert.Assert(t, !isHeld(fed, "mill"))
	})
}
