package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

func TestPenaltyEndsWithRestart(t *testing.T) {
	// The penalty of a crashed endpoint must not apply to its restart under the same ID, which would
	// get no requests for seconds.
	var ta Table
	now := time.Now()
	former := directory.Endpoint{ID: "a", Incarnation: 10, Slots: 6}
	other := directory.Endpoint{ID: "b", Slots: 6}
	_, ok := ta.Pick([]directory.Endpoint{former}, nil, "", now)
	assert.Assert(t, ok)
	for range 4 {
		ta.Failed("a", now)
	}
	ta.Slow("b", time.Second)
	for _, tc := range []struct {
		name string
		en   directory.Endpoint
		pick string
	}{
		{"the same incarnation", former, "b"},
		{"no incarnation", directory.Endpoint{ID: "a", Slots: 6}, "b"},
		{"a later incarnation", directory.Endpoint{ID: "a", Incarnation: 20, Slots: 6}, "a"},
		{"an earlier incarnation", former, "a"},
	} {
		en, _ := ta.Pick([]directory.Endpoint{tc.en, other}, nil, "", now)
		assert.Equal(t, en.ID, tc.pick, tc.name)
		ta.Done(en.ID)
	}
	assert.Equal(t, ta.rows["a"].inFlight, 1, "a request to the earlier incarnation is still counted")
}

func TestClientIsReplacedAfterRestart(t *testing.T) {
	var fo Forwarder
	former := directory.Endpoint{Address: "10.0.0.1:80", ID: "a", Incarnation: 10}
	first := fo.client(former)
	assert.Equal(t, fo.client(former).HTTP, first.HTTP)
	again := fo.client(directory.Endpoint{Address: "10.0.0.1:80", ID: "a", Incarnation: 20})
	assert.Assert(t, again.HTTP != first.HTTP, "its connections lead to the previous process")
	moved := fo.client(directory.Endpoint{Address: "10.0.0.2:80", ID: "a", Incarnation: 20})
	assert.Assert(t, moved.HTTP != again.HTTP)
}
