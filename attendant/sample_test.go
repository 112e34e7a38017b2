package attendant_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/attendant"
	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/peer"
)

func engineOptions(name string, fe *fakeEngine) attendant.Options {
	return attendant.Options{
		Endpoints:  []attendant.EndpointOptions{{Engine: fe.client(), Name: name, Service: "marker-llm"}},
		Grace:      time.Minute,
		Instance:   name,
		StallBound: 5 * time.Second,
	}
}

// somePlaces are places without stored data.
var somePlaces = []message.BlobLocation{{Address: "c:1", FailureDomain: "c"}, {Address: "d:1", FailureDomain: "d"}}

func sampleRequest(attempt string, pls []message.BlobLocation) message.SampleRequest {
	return message.SampleRequest{
		Attempt:     attempt,
		Deadline:    "30s",
		Group:       2,
		MaxTokens:   20,
		Member:      1,
		MinVersion:  6,
		Prompt:      "grade this scaffold",
		Step:        4,
		StorePlaces: pls,
		Trainer:     "marker",
	}
}

// A sample generated across a weight swap must name both versions.
func TestSwapMidSample(t *testing.T) {
	run(t, func(se *session) {
		pls, stop := se.places()
		defer stop()
		fe := &fakeEngine{version: 7}
		_, end := se.start("a:1", engineOptions("marker-1", fe))
		defer end()
		time.Sleep(time.Second)
		time.AfterFunc(1250*time.Millisecond, func() { fe.load(8) })
		ev := se.sample(se.Context(), "a:1", "marker-1", sampleRequest("s1", pls))
		assert.DeepEqual(se, ev.Result.Segments, []engine.Segment{{Tokens: 12, Version: 7}, {Tokens: 8, Version: 8}})
	})
}

// Guards against accepting chunks that are lost, duplicated, of another request, without a version or
// too old.
func TestSpoiltAnswers(t *testing.T) {
	spoil := func(change func(ch *engine.Chunk)) func(*engine.Chunk) {
		return func(ch *engine.Chunk) {
			if ch.First == 7 {
				change(ch)
			}
		}
	}
	for _, tc := range []struct {
		name  string
		spoil func(ch *engine.Chunk)
	}{
		{name: "crossed", spoil: spoil(func(ch *engine.Chunk) { ch.RequestID = "another" })},
		{name: "doubled", spoil: spoil(func(ch *engine.Chunk) { ch.First = 6 })},
		{name: "empty", spoil: func(ch *engine.Chunk) { ch.Tokens = nil }},
		{name: "endless", spoil: func(ch *engine.Chunk) { ch.Done = false }},
		{name: "lost", spoil: spoil(func(ch *engine.Chunk) { ch.First = 8 })},
		{name: "stale", spoil: spoil(func(ch *engine.Chunk) { ch.Version = 5 })},
		{name: "unnamed", spoil: spoil(func(ch *engine.Chunk) { ch.Version = 0 })},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(se *session) {
				fe := &fakeEngine{alter: tc.spoil, version: 7}
				op := engineOptions("marker-1", fe)
				_, end := se.start("a:1", op)
				defer end()
				time.Sleep(time.Second)
				ev := se.sample(se.Context(), "a:1", "marker-1", sampleRequest("s1", somePlaces))
				assert.Assert(se, ev.Result == nil)
				assert.Equal(se, ev.Refusal.Outcome(), outcome.Unknown)
			})
		})
	}
}

// Guards against lost, duplicated or wrongly attributed tokens in a sample that another engine
// resumes.
func TestResume(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first *fakeEngine
		alter func(req *message.SampleRequest)
		leave bool
	}{
		{name: "after-a-crash", first: &fakeEngine{breakAt: 11}},
		{name: "after-a-stall", first: &fakeEngine{stallAt: 3}},
		{name: "after-leaving", first: &fakeEngine{stallAt: 5}, leave: true},
		{name: "of-another-slot", first: &fakeEngine{breakAt: 11}, alter: func(req *message.SampleRequest) { req.Member++ }},
		{name: "of-stale-tokens", first: &fakeEngine{breakAt: 11}, alter: func(req *message.SampleRequest) { req.MinVersion = 8 }},
		{name: "of-the-unknown", first: &fakeEngine{}, alter: func(req *message.SampleRequest) { req.ResumeFrom.Attempt = "s0" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(se *session) {
				pls, stop := se.places()
				defer stop()
				tc.first.version = 7
				op := engineOptions("marker-1", tc.first)
				if tc.leave {
					op.Grace, op.StallBound = 8*time.Second, time.Minute
				}
				_, end := se.start("a:1", op)
				_, endSecond := se.start("b:1", engineOptions("marker-2", &fakeEngine{version: 8}))
				defer endSecond()
				if tc.leave {
					time.AfterFunc(2*time.Second, end)
				} else {
					defer end()
				}
				time.Sleep(time.Second)
				se.sample(se.Context(), "a:1", "marker-1", sampleRequest("s1", pls))
				req := sampleRequest("s2", pls)
				req.ResumeFrom = &message.ResumeFrom{Address: "a:1", Attempt: "s1"}
				if tc.alter != nil {
					tc.alter(&req)
				}
				ev := se.sample(se.Context(), "b:1", "marker-2", req)
				se.checkPayload(ev)
				time.Sleep(10 * time.Second) // until the first attendant has shut down
			})
		})
	}
}

// checkPayload verifies the stored tokens of a sample.
func (se *session) checkPayload(ev message.SampleEvent) {
	assert.Assert(se, ev.Result != nil)
	po := &peer.Pool{DialFunc: se.net.dial, MaxMessageSize: attendant.MaxMessageSize}
	defer po.Close()
	data, err := blob.Fetch(se.Context(), attendant.NewBlobClient(po), ev.Result.Places, ev.Result.Digest)
	assert.NilError(se, err)
	var pl message.Payload
	assert.NilError(se, decode(data, &pl))
	for i, to := range pl.Tokens {
		assert.Equal(se, to, token(pl.Prompt, i))
	}
	assert.DeepEqual(se, pl.Segments, ev.Result.Segments)
	assert.Equal(se, len(pl.Tokens), 20)
}

// All attempts here must be refused as not run.
func TestSampleRefused(t *testing.T) {
	run(t, func(se *session) {
		fe := &fakeEngine{version: 5}
		_, end := se.start("a:1", engineOptions("marker-1", fe))
		defer end()
		time.Sleep(time.Second)
		se.sample(se.Context(), "a:1", "marker-1", sampleRequest("older-weights", somePlaces))
		se.sample(se.Context(), "a:1", "marker-9", sampleRequest("other-endpoint", somePlaces))
		req := sampleRequest("no-places", somePlaces[:1])
		se.sample(se.Context(), "a:1", "marker-1", req)
		req = sampleRequest("no-deadline", somePlaces)
		req.Deadline = "soon"
		se.sample(se.Context(), "a:1", "marker-1", req)
		fe.load(7)
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(se.Context(), 1900*time.Millisecond)
		defer cancel()
		req = sampleRequest("twice", somePlaces)
		req.MaxTokens = 100
		go se.sample(ctx, "a:1", "marker-1", req)
		time.Sleep(time.Second)
		se.sample(se.Context(), "a:1", "marker-1", req)
		time.Sleep(2 * time.Second)
		se.note("canceled at the engine: %v", fe.canceledIDs())
	})
}
