package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriacroft/peer"
)

// A feedFixture is a feeder and the processes that follow it.
type feedFixture struct {
	boot      int
	feeder    *Follower
	followers []*followerFixture
	slots     int // of the endpoint changed last, so that each change differs
}

// A followerFixture is a process that follows the feeder.
type followerFixture struct {
	*Follower
	late    []FeedResponse // responses that were lost
	request FeedRequest    // the next one
}

func newFeedFixture(followers int) *feedFixture {
	fe := &feedFixture{feeder: &Follower{Directory: &Directory{}, Log: quiet()}}
	fe.feeder.Directory.SetEndpoints(nil, time.Now())
	for range followers {
		fd := &followerFixture{Follower: &Follower{Directory: &Directory{}, Log: quiet()}, request: FeedRequest{Differences: true}}
		fe.followers = append(fe.followers, fd)
	}
	return fe
}

// set adds or changes an endpoint of the feeder.
func (fe *feedFixture) set(number int, leaving bool) {
	fe.slots++
	fe.feeder.Directory.SetEndpoint(Endpoint{
		Address: fmt.Sprintf("10.0.0.%d:80", number), Domain: "a", ID: fmt.Sprintf("e%02d", number), Leaving: leaving, Service: "desk", Slots: fe.slots,
	})
}

// restart replaces the feeder by one that reads the endpoints anew.
func (fe *feedFixture) restart() {
	ens, _ := fe.feeder.Directory.entries()
	fe.boot++
	fe.feeder = &Follower{Directory: &Directory{}, Log: quiet()}
	fe.feeder.Directory.SetEndpoints(ens, time.Now())
}

// respond returns the feeder's response to a follower's request, as it is after encoding.
func (fe *feedFixture) respond(tb assert.TestingT, fd *followerFixture) FeedResponse {
	confirmAll(fe.feeder.Directory)
	up, _, err := fe.feeder.update(fmt.Sprint("boot-", fe.boot), fd.request)
	assert.NilError(tb, err)
	re, _ := fe.feeder.response(up)
	data, err := peer.Encode(re)
	assert.NilError(tb, err)
	var decoded FeedResponse
	assert.NilError(tb, peer.Decode(data, &decoded))
	return decoded
}

// apply applies a response and sets the next request.
func (fd *followerFixture) apply(tb assert.TestingT, re FeedResponse) error {
	err := fd.applyEndpointUpdate(fd.request, re)
	fd.request = fd.followUp(fd.request, re, err)
	return err
}

// catchUp exchanges until the follower has the feeder's generation.
func (fe *feedFixture) catchUp(tb assert.TestingT, fd *followerFixture) {
	for range 3 {
		if fd.apply(tb, fe.respond(tb, fd)) == nil {
			return
		}
	}
	assert.Assert(tb, false, "a follower that asks for all endpoints still has a gap")
}

// check compares a follower with the feeder.
func (fe *feedFixture) check(tb assert.TestingT, fd *followerFixture) {
	want, _ := fe.feeder.Directory.entries()
	got, _ := fd.Directory.entries()
	assert.DeepEqual(tb, got, want)
}

// Followers have the feeder's endpoints after any changes, restarts of the feeder, lost, late and
// repeated responses, and reads of their own.
func TestFollowersMatchFeeder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fe := newFeedFixture(3)
		number := rapid.IntRange(0, 120)
		pick := func() *followerFixture {
			return fe.followers[rapid.IntRange(0, len(fe.followers)-1).Draw(rt, "follower")]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"set": func(rt *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(rt, "count") {
					fe.set(number.Draw(rt, "number"), rapid.Bool().Draw(rt, "leaving"))
				}
			},
			"remove": func(rt *rapid.T) {
				fe.feeder.Directory.RemoveEndpoint(fmt.Sprintf("e%02d", number.Draw(rt, "number")), time.Now())
			},
			"follow": func(rt *rapid.T) {
				fd := pick()
				fe.catchUp(rt, fd)
				fe.check(rt, fd)
			},
			"lose a response": func(rt *rapid.T) {
				fd := pick()
				fd.late = append(fd.late, fe.respond(rt, fd))
			},
			"apply a late response": func(rt *rapid.T) {
				fd := pick()
				if len(fd.late) == 0 {
					return
				}
				re := fd.late[0]
				fd.late = fd.late[1:]
				_ = fd.apply(rt, re)
			},
			"restart the feeder": func(*rapid.T) { fe.restart() },
			"read without a feeder": func(rt *rapid.T) {
				fd := pick()
				ens, _ := fe.feeder.Directory.entries()
				fd.Directory.SetEndpoints(ens[:len(ens)/2], time.Now())
				fd.request.Generation = unknownGeneration
			},
		})
		for _, fd := range fe.followers {
			fe.catchUp(rt, fd)
			fe.check(rt, fd)
		}
	})
}

// A response whose differences don't follow the known endpoints is refused whole, logged and counted,
// and the next request asks for all endpoints.
func TestGapInDifferences(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(re *FeedResponse)
	}{
		{"other generation", func(re *FeedResponse) { re.Since++ }},
		{"other boot", func(re *FeedResponse) { re.Boot = "another" }},
		{"an endpoint is missing", func(re *FeedResponse) { re.Endpoints = re.Endpoints[:1] }},
		{"a removal is missing", func(re *FeedResponse) { re.Removed = nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fe := newFeedFixture(1)
			fd := fe.followers[0]
			for i := range 10 {
				fe.set(i, false)
			}
			fe.catchUp(t, fd)
			known, _ := fd.Directory.entries()
			fe.set(20, false)
			fe.set(21, false)
			fe.feeder.Directory.RemoveEndpoint("e03", time.Now())
			re := fe.respond(t, fd)
			assert.Assert(t, re.Partial)
			assert.Equal(t, len(re.Endpoints)+len(re.Removed), 3)
			tc.change(&re)
			assert.Assert(t, errors.Is(fd.apply(t, re), errGap))
			after, _ := fd.Directory.entries()
			assert.DeepEqual(t, after, known)
			assert.Equal(t, fd.FeedCounts().Gaps, int64(1))
			fe.catchUp(t, fd)
			fe.check(t, fd)
		})
	}
}

// A process of an earlier release can't apply differences, and gets all endpoints.
func TestFollowerOfEarlierReleaseGetsAll(t *testing.T) {
	fe := newFeedFixture(1)
	fd := fe.followers[0]
	fe.set(1, false)
	fe.catchUp(t, fd)
	fe.set(2, false)
	fd.request.Differences = false
	re := fe.respond(t, fd)
	assert.Assert(t, re.Fresh && !re.Partial)
	assert.Equal(t, len(re.Endpoints), 2)
}

// Guards against encoding a change once for each follower: a release of all endpoints would fill the
// feeder's processor with endpoints times followers.
func TestChangeIsEncodedOnce(t *testing.T) {
	const endpoints, followers = 200, 100
	fe := newFeedFixture(followers)
	for i := range endpoints {
		fe.set(i, false)
	}
	send := func() (sent int) {
		for _, to := range Topics() {
			fe.feeder.Directory.Confirm(to, time.Now().Add(time.Hour)) // the age in responses stays the same
		}
		for _, fd := range fe.followers {
			up, _, err := fe.feeder.update("boot-0", fd.request)
			assert.NilError(t, err)
			en, err := fe.feeder.encodeUpdate(up)
			assert.NilError(t, err)
			sent += en.Size()
			re, _ := fe.feeder.response(up)
			assert.NilError(t, fd.apply(t, re))
		}
		return sent
	}
	whole := send()
	assert.Equal(t, fe.feeder.FeedCounts(), FeedCounts{Encoded: 1, Whole: followers})
	for i := range endpoints {
		fe.set(i, true)
		partial := send()
		assert.Assert(t, partial*5 < whole, "%d bytes for one change, %d for all endpoints", partial, whole)
	}
	assert.Equal(t, fe.feeder.FeedCounts(), FeedCounts{Encoded: 1 + endpoints, Partial: endpoints * followers, Whole: followers})
	for _, fd := range fe.followers {
		fe.check(t, fd)
	}
}

// Guards against a feeder that panics when it is asked before it knows of any endpoint or configuration.
func TestFeedOfEmptyDirectory(t *testing.T) {
	fe := newFeedFixture(1)
	confirmAll(fe.feeder.Directory)
	up, _, err := fe.feeder.update(testBoot, FeedRequest{Differences: true})
	assert.NilError(t, err)
	for range 2 {
		_, err = fe.feeder.encodeUpdate(up)
		assert.NilError(t, err)
	}
	assert.Equal(t, fe.feeder.FeedCounts(), FeedCounts{Encoded: 1, Whole: 2})
}

// The log of changes is bounded, and covers the newest ones.
func TestChangeLogIsBounded(t *testing.T) {
	var cl changeLog
	rd := rand.New(rand.NewPCG(1, 2))
	for i := range 10_000 {
		cl.add(fmt.Sprint(rd.IntN(100)), 100)
		assert.Equal(t, cl.generation(), uint64(i+1))
		assert.Assert(t, len(cl.ids) <= 200)
		assert.Assert(t, cl.covers(uint64(max(0, i+1-100))))
	}
	assert.Assert(t, !cl.covers(cl.generation()+1))
	assert.Assert(t, !cl.covers(unknownGeneration))
	before := cl.generation()
	cl.reset()
	assert.Assert(t, cl.generation() > before && !cl.covers(before))
}
