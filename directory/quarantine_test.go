package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/quarantine"
)

func TestQuarantineIsFed(t *testing.T) {
	// Guards against another entry retrying a request that crashed an endpoint before it gets
	// the quarantine record.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		confirmAll(di)
		feeder := &Follower{Directory: di, Quarantine: &quarantine.Table{}}
		first, err := feeder.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.Equal(t, len(first.Quarantine), 0)
		time.AfterFunc(100*time.Millisecond, func() { feeder.Quarantine.RecordCrash("request", "a", time.Now()) })
		start := time.Now()
		rq := FeedRequest{Boot: "boot", Generation: first.Generation, Held: first.Held}
		second, err := feeder.feed(t.Context(), rq)
		assert.NilError(t, err)
		assert.Assert(t, !second.Fresh && len(second.Quarantine) == 1)
		assert.Assert(t, time.Since(start) < 150*time.Millisecond)
	})
}

func TestQuarantineWithoutFeeder(t *testing.T) {
	// During an outage of the key-value service there is no feeder. Unsaved records are
	// exchanged through the last one.
	synctest.Test(t, func(t *testing.T) {
		last := &Follower{DirectFunc: func() bool { return false }, Directory: withEndpoint(), Quarantine: &quarantine.Table{}}
		_, err := last.feed(t.Context(), FeedRequest{})
		assert.ErrorIs(t, err, ErrNotFeeder)
		var seen quarantine.Table
		seen.RecordCrash("request", "a", time.Now())
		seen.RecordCrash("request", "b", time.Now())
		sent, err := last.feed(t.Context(), FeedRequest{Unsaved: seen.Unsaved()})
		assert.NilError(t, err)
		assert.Assert(t, sent.Stale && !sent.Fresh && sent.Configuration == nil)
		assert.Equal(t, len(last.Quarantine.Unsaved()), 2, "the last feeder saves them too")

		received, err := last.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		other := &Follower{Directory: &Directory{}, Log: logrus.NewEntry(logger), Quarantine: &quarantine.Table{}}
		other.mergeQuarantine("feeder", received.Quarantine)
		assert.Assert(t, other.Quarantine.Check("request", time.Now()).Held())
		_, err = last.feed(t.Context(), FeedRequest{Boot: "boot", Held: received.Held})
		assert.ErrorIs(t, err, ErrNotFeeder, "nothing new")

		// Once it is a feeder again, it sends the endpoints, but no records that were
		// already sent.
		last.DirectFunc = nil
		confirmAll(last.Directory)
		fed, err := last.feed(t.Context(), FeedRequest{Boot: "boot", Generation: unknownGeneration, Held: received.Held})
		assert.NilError(t, err)
		assert.Assert(t, fed.Fresh && !fed.Stale && len(fed.Quarantine) == 0)
	})
}

func TestQuarantineAfterRestart(t *testing.T) {
	// Guards against a quarantined request reaching endpoints right after a restart of all
	// processes.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var me keyvalue.Memory
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		log := logrus.NewEntry(logger)
		var before quarantine.Table
		go (&quarantine.Store{Client: me.Client(), Log: log, Table: &before}).Run(ctx)
		for _, endpoint := range []string{"a", "b", "c"} {
			before.RecordCrash("request", endpoint, time.Now())
		}
		put(t, &me, "op/config", `{"Version":3}`)
		put(t, &me, "servers/a", `{"Service":"desk"}`)
		time.Sleep(time.Second)
		for _, direct := range []bool{false, true} {
			fo := &Follower{
				Client: me.Client(), DirectFunc: func() bool { return direct }, Directory: &Directory{}, Log: log,
				Feeder:     &lease.Resolver{Client: me.Client(), Log: log, Name: "scheduler"},
				Quarantine: &quarantine.Table{}, Patience: time.Second, Source: source(),
			}
			go fo.Run(ctx)
			begun := time.Now()
			for !fo.Directory.Ready() && time.Since(begun) < time.Minute {
				time.Sleep(time.Millisecond)
				synctest.Wait()
			}
			assert.Assert(t, time.Since(begun) < fo.Patience)
			assert.Assert(t, fo.Quarantine.Check("request", time.Now()).Held(), "direct: %v", direct)
		}
		cancel()
		synctest.Wait()
	})
}
