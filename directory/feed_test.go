package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.Confirm(time.Now())
		fo := &Follower{Directory: di}
		first, err := fo.feed(t.Context(), "boot", FeedRequest{})
		assert.NilError(t, err)
		assert.Assert(t, first.Fresh)
		assert.Equal(t, len(first.Endpoints), 1)

		known := FeedRequest{Boot: first.Boot, Generation: first.Generation}
		en, _ := di.Endpoint("a")
		en.Models = []Serving{{Model: "m", Version: 2}}
		di.SetEndpoint(en)
		begun := time.Now()
		second, err := fo.feed(t.Context(), "boot", known)
		assert.NilError(t, err)
		assert.Assert(t, !second.Fresh, "new weights are no news")
		assert.Assert(t, time.Since(begun) >= feedWait)

		di.Confirm(time.Now())
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

func TestOldKnowledgeIsNotFed(t *testing.T) {
	// Symptom: entries that are well send requests to an endpoint that has left.
	// Sequence: the feeder loses its path to the key-value service, and entries
	// go on taking their endpoints from it.
	// Cause: the feeder answered with what it had last heard, however old.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.Confirm(time.Now())
		fo := &Follower{Directory: di}
		time.Sleep(feedAge + time.Millisecond)
		_, err := fo.feed(t.Context(), "boot", FeedRequest{})
		assert.Assert(t, errors.Is(err, ErrNotFeeder))
		fo.DirectFunc = func() bool { return false }
		di.Confirm(time.Now())
		_, err = fo.feed(t.Context(), "boot", FeedRequest{})
		assert.Assert(t, errors.Is(err, ErrNotFeeder), "it does not follow the service itself")
	})
}
