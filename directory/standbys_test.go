package directory

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Standbys that call the feeder are named to all followers, until they have not called for standbyTTL.
func TestStandbysAreNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		confirmAll(di)
		feeder := &Follower{Directory: di, Log: quiet()}
		for _, address := range []string{"10.0.0.2:1", "10.0.0.1:1", ""} {
			_, err := feeder.feed(t.Context(), FeedRequest{Address: address})
			assert.NilError(t, err)
		}
		fd := &Follower{Directory: &Directory{}, Feeder: nil, Log: quiet()}
		re, err := feeder.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.NilError(t, fd.applyResponse(t.Context(), FeedRequest{}, re))
		assert.Equal(t, fd.standbys, "10.0.0.1:1 10.0.0.2:1")

		time.Sleep(standbyTTL + time.Millisecond)
		confirmAll(di)
		re, err = feeder.feed(t.Context(), FeedRequest{Standbys: hashStandbys(fd.standbys)})
		assert.NilError(t, err)
		assert.NilError(t, fd.applyResponse(t.Context(), FeedRequest{}, re))
		assert.Equal(t, fd.standbys, "10.0.0.1:1 10.0.0.2:1", "the last ones known are better than none")
	})
}

// Each process begins with another standby, so that each gets a part of them.
func TestStandbyOrder(t *testing.T) {
	first := map[string]int{}
	for i := range 400 {
		fo := &Follower{Name: fmt.Sprint("entry-", i), standbys: "a b c d"}
		order := fo.standbyOrder()
		first[order[0]]++
		slices.Sort(order)
		assert.DeepEqual(t, order, []string{"a", "b", "c", "d"})
	}
	for address, count := range first {
		assert.Assert(t, count > 60 && count < 140, "%s: %d", address, count)
	}
	assert.Equal(t, len((&Follower{}).standbyOrder()), 0)
}

// A process that doesn't feed names the one that does, unless it is that one itself.
func TestFormerFeederNamesItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		confirmAll(di)
		leads := false
		fo := &Follower{
			DirectFunc: func() bool { return leads }, Directory: di, HolderFunc: func() string { return "10.0.0.9:1" }, Log: quiet(),
		}
		re, err := fo.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.DeepEqual(t, re, FeedResponse{Boot: testBoot, Holder: "10.0.0.9:1", Stale: true})
		leads = true
		re, err = fo.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)
		assert.Assert(t, !re.Stale && re.Holder == "")
	})
}
