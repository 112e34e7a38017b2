package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/scale"
)

// enableScaling installs a configuration that allows scaling of the desk service.
func (de *deployment) enableScaling() {
	co := *de.forwarder.Directory.Configuration()
	co.Version++
	co.Services = []directory.Service{
		{Name: "desk", Scale: &directory.Scale{Max: 2}},
		{Name: "other"},
		{Models: []directory.Model{{Name: "m"}}, Name: "llm", Scale: &directory.Scale{Max: 2}},
	}
	de.forwarder.Directory.SetConfiguration(&co)
}

func TestLoadsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ls loads
		ls.collect("desk", time.Now())
		ls.begin("desk", time.Now())
		time.Sleep(100 * time.Millisecond)
		ls.begin("desk", time.Now())
		ls.begin("desk", time.Now())
		ls.end("desk", true, time.Now())
		ls.refuse("desk", time.Now())
		time.Sleep(200 * time.Millisecond)
		ls.end("desk", false, time.Now())
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, ls.collect("desk", time.Now()), scale.Observation{
			Begun: 2, Busy: 600 * time.Millisecond, Refused: 1, Span: 400 * time.Millisecond,
		})
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, ls.collect("desk", time.Now()), scale.Observation{Busy: 100 * time.Millisecond, Span: 100 * time.Millisecond})
	})
}

// Loads are reported only for scaled plain services. A request that several endpoints reject counts
// as one rejection.
func TestLoadsOfRequests(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2}, full, succeeding)
	assert.Equal(t, len(de.forwarder.Loads(time.Now())), 0)
	de.enableScaling()
	assert.Equal(t, (<-de.send(t, "/a")).status, 200)
	loads := de.forwarder.Loads(time.Now())
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads["desk"].Begun, 1)
	assert.Equal(t, loads["desk"].Refused, 0)
	assert.Assert(t, loads["desk"].Busy > 0)
	assert.Assert(t, loads["desk"].Span > 0)

	de = deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2}, full, full)
	de.enableScaling()
	de.forwarder.Loads(time.Now())
	assert.Equal(t, (<-de.send(t, "/a")).status, 503)
	loads = de.forwarder.Loads(time.Now())
	assert.Equal(t, loads["desk"].Begun, 0)
	assert.Equal(t, loads["desk"].Refused, 1, "a request that two endpoints rejected counts once")
}

// A stream that breaks and cannot be resumed must not stay counted as in flight.
func TestLoadsOfStreams(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.AtMostOnce, MaxAttempts: 2, Streaming: true}, truncated)
	de.enableScaling()
	<-de.send(t, "/a")
	waitUntil(t, "the slot is free", func() bool {
		de.forwarder.loads.mu.Lock()
		defer de.forwarder.loads.mu.Unlock()
		return de.forwarder.loads.rows["desk"].inFlight == 0
	})
}
