package directory

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/quarantine"
)

// returnBound is the time after the key-value service is back within which each process has the newest state again.
const returnBound = 3 * time.Second

// A silentStore is a key-value service that answers some calls only while it isn't silent. The answer of a call that
// begins or ends in a silence is lost, and its connection says nothing more.
type silentStore struct {
	keyvalue.Memory
	prefix string // of the calls that are not answered; "" for all
	silent atomic.Bool
}

// lost waits until ctx ends if the answer to a call is lost.
func (ss *silentStore) lost(ctx context.Context, prefix string) error {
	if !ss.silent.Load() || ss.prefix != "" && ss.prefix != prefix {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// client returns a client of the service.
func (ss *silentStore) client() *keyvalue.Client {
	cl := ss.Client()
	follow, get, scan := cl.FollowFunc, cl.GetFunc, cl.ScanFunc
	cl.FollowFunc = func(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Changes, error) {
		if err := ss.lost(ctx, prefix); err != nil {
			return keyvalue.Changes{}, err
		}
		ch, err := follow(ctx, prefix, after, wait)
		if errLost := ss.lost(ctx, prefix); errLost != nil {
			return keyvalue.Changes{}, errLost
		}
		return ch, err
	}
	cl.GetFunc = func(ctx context.Context, key string) (keyvalue.Item, error) {
		if err := ss.lost(ctx, key); err != nil {
			return keyvalue.Item{}, err
		}
		return get(ctx, key)
	}
	cl.ScanFunc = func(ctx context.Context, prefix string) (keyvalue.Changes, error) {
		if err := ss.lost(ctx, prefix); err != nil {
			return keyvalue.Changes{}, err
		}
		return scan(ctx, prefix)
	}
	return cl
}

// write changes the configuration, the holds and the quarantine.
func (ss *silentStore) write(t *testing.T, version int) {
	t.Helper()
	put(t, &ss.Memory, "op/config", fmt.Sprintf(`{"Version":%d}`, version))
	put(t, &ss.Memory, "servers/a", `{"Service":"desk"}`)
	change(t, ss.Client(), hold.Held, hold.Customer, fmt.Sprint("customer-", version))
}

// hasVersion reports whether what a process knows is from the write of a version.
func hasVersion(fo *Follower, version int) bool {
	co := fo.Directory.Configuration()
	return co != nil && co.Version == int64(version) && isHeld(fo, fmt.Sprint("customer-", version))
}

// Guards against a feeder that passes an older configuration on as the newest one, because it confirms its endpoints
// while the answers to its other calls are lost.
func TestFeederWithoutNewsOfOneTopic(t *testing.T) {
	for _, tc := range []struct {
		name   string
		prefix string
		before time.Duration // from the start to the silence
		err    error         // of the feed in the silence
	}{
		{"operator", "op/", 5 * time.Second, ErrOldState},
		{"holds", hold.Key, 5 * time.Second, ErrOldState},
		{"quarantine", quarantine.Key, 5 * time.Second, ErrOldState},
		{"operator from the start", "op/", 0, ErrNotFeeder},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				ss := &silentStore{prefix: tc.prefix}
				ss.write(t, 1)
				fo := &Follower{Client: ss.client(), Directory: &Directory{}, Log: quiet(), Source: source()}
				ss.silent.Store(tc.before == 0)
				go fo.Run(ctx)
				time.Sleep(tc.before)
				ss.silent.Store(true)
				time.Sleep(2 * maxFeedAge)
				_, err := fo.feed(t.Context(), FeedRequest{})
				assert.ErrorIs(t, err, tc.err)
				ss.write(t, 2)
				time.Sleep(5 * time.Second)
				ss.silent.Store(false)
				time.Sleep(returnBound)
				_, err = fo.feed(t.Context(), FeedRequest{})
				assert.NilError(t, err)
				assert.Assert(t, hasVersion(fo, 2))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against entries that read by themselves and miss a change of the configuration for seconds: while no feeder
// responds, none will tell them that the key-value service is back.
func TestEntriesWithoutFeederNoticeReturn(t *testing.T) {
	for _, prefix := range []string{"", "op/config"} {
		t.Run("silent "+prefix, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				ss := &silentStore{prefix: prefix}
				ss.write(t, 1)
				var fos []*Follower
				for i := range 20 {
					fo := &Follower{
						Client: ss.client(), DirectFunc: func() bool { return false }, Directory: &Directory{}, Log: quiet(),
						Feeder: &lease.Resolver{Client: ss.client(), Log: quiet(), Name: "scheduler"},
						Name:   fmt.Sprint("entry-", i), Patience: time.Second, Source: source(),
					}
					fos = append(fos, fo)
					go fo.Run(ctx)
				}
				time.Sleep(5 * time.Second)
				ss.silent.Store(true)
				time.Sleep(20 * time.Second)
				ss.write(t, 2)
				ss.silent.Store(false)
				time.Sleep(returnBound)
				for _, fo := range fos {
					assert.Assert(t, hasVersion(fo, 2), fo.Name)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against an entry that takes its configuration for the newest because a feeder responds: what counts is when the
// feeder knew that, and how long the response was on its way.
func TestAgeIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feeder := &Follower{Directory: withEndpoint(), Log: quiet()}
		confirmAll(feeder.Directory)
		time.Sleep(2 * feedAgeStep)
		feeder.Directory.Confirm(TopicEndpoints, time.Now())
		time.Sleep(maxEndpointAge - feedAgeStep/2)
		re, err := feeder.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.Equal(t, re.Age, maxEndpointAge+2*feedAgeStep, "that of the oldest topic, though the endpoints will be too old first")
		fed := &Follower{Directory: &Directory{}, Log: quiet()}
		assert.NilError(t, fed.applyResponse(t.Context(), FeedRequest{}, re))
		age, known := fed.Directory.Age(TopicOperator, time.Now())
		assert.Assert(t, known)
		assert.Equal(t, age, re.Age)
		time.Sleep(configurationTimeout - re.Age - time.Millisecond)
		assert.Assert(t, !fed.Directory.ConfigurationStale(time.Now()))
		time.Sleep(time.Millisecond)
		assert.Assert(t, fed.Directory.ConfigurationStale(time.Now()))
	})
}

// Guards against state that counts as new though its response was held up, or the process was suspended before reading it.
func TestConfirmedAt(t *testing.T) {
	called := time.Now()
	changes := keyvalue.Changes{Items: []keyvalue.Item{{Key: "op/config"}}}
	for _, tc := range []struct {
		name    string
		pc      prefixCall
		ch      keyvalue.Changes
		took    time.Duration
		atAfter time.Duration // from the call to the time of the confirmed state
	}{
		{"scan", prefixCall{scan: true}, changes, time.Second, 0},
		{"changes", prefixCall{wait: followWait}, changes, time.Second, 0},
		{"no changes", prefixCall{wait: followWait}, keyvalue.Changes{}, followWait + time.Millisecond, followWait},
		{"no changes, held up", prefixCall{wait: followWait}, keyvalue.Changes{}, 5 * time.Second, followWait},
		{"no changes, answered early", prefixCall{wait: followWait}, keyvalue.Changes{}, time.Millisecond, time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.pc.called = called
			at := tc.pc.confirmedAt(tc.ch, called.Add(tc.took))
			assert.Equal(t, at.Sub(called), tc.atAfter)
		})
	}
}

// Guards against an age that does not count the time in which an instance was suspended.
func TestElapsed(t *testing.T) {
	from := time.Now()
	const ran = 100 * time.Millisecond
	wall := func(du time.Duration) time.Time { return from.Round(0).Add(du) }
	assert.Equal(t, elapsed(from, from.Add(ran)), ran)
	assert.Equal(t, elapsed(from, wall(5*time.Second)), 5*time.Second)
}
