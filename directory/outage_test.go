package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

const (
	// drainBound is the time after the removal of an endpoint's entry from which it must get no new work. It holds for removals from
	// stableAfter after the return of the key-value service on.
	drainBound  = 2 * time.Second
	stableAfter = 3 * time.Second
	// registerBound is the time after the return within which endpoints register again.
	registerBound = 2 * time.Second
)

// An outageTest is a process that reads endpoints from a key-value service which is silent for a while.
type outageTest struct {
	*testing.T
	directory *Directory
	store     *silentStore
}

// testOutage runs a test with endpoints. The process has read them for a phase when the test begins.
func testOutage(t *testing.T, phase time.Duration, ids []string, testFunc func(ot outageTest)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ot := outageTest{T: t, directory: &Directory{}, store: &silentStore{}}
		for _, id := range ids {
			ot.register(id)
		}
		fo := &Follower{Client: ot.store.client(), Directory: ot.directory, Log: quiet(), Source: source()}
		go fo.Run(ctx)
		time.Sleep(phase)
		testFunc(ot)
		cancel()
		synctest.Wait()
	})
}

func (ot outageTest) register(id string) {
	ot.Helper()
	put(ot.T, &ot.store.Memory, "servers/"+id, `{"Service":"desk"}`)
}

func (ot outageTest) unregister(id string) {
	ot.Helper()
	remove(ot.T, &ot.store.Memory, "servers/"+id)
}

// outage lasts for the given time.
func (ot outageTest) outage(du time.Duration) {
	ot.store.silent.Store(true)
	time.Sleep(du)
	ot.store.silent.Store(false)
}

// eachOutage runs a test with outages of several lengths that begin at different times in the process's calls.
func eachOutage(t *testing.T, ids []string, lengths []time.Duration, testFunc func(ot outageTest, length time.Duration)) {
	for _, length := range lengths {
		for phase := 5 * time.Second; phase < 6*time.Second; phase += 200 * time.Millisecond {
			t.Run(fmt.Sprint(length, " after ", phase), func(t *testing.T) {
				testOutage(t, phase, ids, func(ot outageTest) { testFunc(ot, length) })
			})
		}
	}
}

// Guards against an endpoint that leaves after an outage and still gets work seconds later: it was taken for one whose entry
// had expired, and its time to register again began with its removal, by a return that was noticed late.
func TestEndpointsThatLeaveAfterAnOutage(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("e%02d", i))
	}
	lengths := []time.Duration{2200 * time.Millisecond, 4160 * time.Millisecond, 6500 * time.Millisecond}
	eachOutage(t, ids, lengths, func(ot outageTest, length time.Duration) {
		ot.outage(length)
		time.Sleep(stableAfter)
		var used []string
		for _, id := range ids {
			ot.unregister(id)
			time.AfterFunc(drainBound, func() {
				if known(ot.directory, id) {
					used = append(used, id)
				}
			})
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(drainBound)
		assert.Equal(ot, len(used), 0, "used %s after they left: %s", drainBound, used)
	})
}

// Guards against taking an endpoint that leaves for one whose entry expired in the outage, though it has written its entry since.
func TestEndpointThatRegisteredAgainLeaves(t *testing.T) {
	testOutage(t, 5*time.Second, []string{"a"}, func(ot outageTest) {
		time.AfterFunc(3*time.Second, func() { ot.unregister("a") })
		ot.outage(4 * time.Second)
		time.Sleep(time.Second)
		ot.register("a")
		time.Sleep(500 * time.Millisecond)
		ot.unregister("a")
		time.Sleep(2 * followPause)
		assert.Assert(ot, !known(ot.directory, "a"))
	})
}

// Guards against losing endpoints that live. Their entries expire for lack of heartbeats in the outage or shortly after it.
func TestEndpointsWithExpiredEntriesAreKept(t *testing.T) {
	ids := []string{"early", "late"}
	lengths := []time.Duration{2600 * time.Millisecond, 3200 * time.Millisecond, 6 * time.Second}
	eachOutage(t, ids, lengths, func(ot outageTest, length time.Duration) {
		time.AfterFunc(length-100*time.Millisecond, func() { ot.unregister("early") })
		time.AfterFunc(length+400*time.Millisecond, func() { ot.unregister("late") })
		time.AfterFunc(length+registerBound, func() {
			ot.register("early")
			ot.register("late")
		})
		ot.outage(length)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(ot, known(ot.directory, "early") && known(ot.directory, "late"))
		}
	})
}

// Guards against losing endpoints that live because a second outage takes up the time in which they register.
func TestOutageWhileEndpointsRegister(t *testing.T) {
	testOutage(t, 5*time.Second, []string{"a"}, func(ot outageTest) {
		time.AfterFunc(3*time.Second, func() { ot.unregister("a") })
		ot.outage(4 * time.Second)
		time.Sleep(400 * time.Millisecond)
		const second = 1900 * time.Millisecond
		time.AfterFunc(second+registerBound, func() { ot.register("a") })
		ot.outage(second)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(ot, known(ot.directory, "a"))
		}
	})
}

// Guards against a process that notices the return of the key-value service seconds late, as calls from before get no answer.
func TestReturnIsNoticedAtOnce(t *testing.T) {
	lengths := []time.Duration{4160 * time.Millisecond, 6500 * time.Millisecond}
	eachOutage(t, nil, lengths, func(ot outageTest, length time.Duration) {
		time.AfterFunc(length/2, func() { ot.register("new") })
		ot.outage(length)
		time.Sleep(2 * probePause)
		assert.Assert(ot, known(ot.directory, "new"))
	})
}

// Guards against a process that loses its feeder after an outage and has a time of its own in which endpoints register again, or none:
// it would drop endpoints that live, or use some that have left.
func TestOutageIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ens := []Endpoint{{Address: "10.0.0.1:80", ID: "expired", Revision: 3}, {Address: "10.0.0.2:80", ID: "written", Revision: 9}}
		feeder := &Follower{Directory: &Directory{}, Log: quiet()}
		feeder.Directory.SetEndpoints(ens, time.Now())
		returned := time.Now()
		feeder.Directory.RecordOutage(keyvalue.Outage{Failure: returned, From: returned.Add(-minOutage), To: returned}, 7)
		confirmAll(feeder.Directory)
		time.Sleep(feedAgeStep)
		re, err := feeder.feed(t.Context(), FeedRequest{})
		assert.NilError(t, err)

		fed := &Follower{Directory: &Directory{}, Log: quiet(), Source: source()}
		assert.NilError(t, fed.applyResponse(t.Context(), FeedRequest{}, re))
		fed.applyEndpoints(nil, true)
		assert.Assert(t, known(fed.Directory, "expired"))
		assert.Assert(t, !known(fed.Directory, "written"))
		time.Sleep(time.Until(returned.Add(reregisterGrace)))
		fed.expire(time.Now())
		assert.Assert(t, !known(fed.Directory, "expired"))
	})
}
