package standin

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/plainservice"
	"wisteriacroft/unit"
)

// drain steps an engine until a request is done.
func drain(en *Engine, ge *generation, each func(step int)) (tokens []engine.Token, segments []engine.Segment) {
	now := time.Unix(0, 0)
	for step := 0; ; step++ {
		each(step)
		en.step(now)
		chunks, more := en.takeChunks(ge)
		for _, ch := range chunks {
			tokens = append(tokens, ch.Tokens...)
			segments = append(segments, engine.Segment{Tokens: len(ch.Tokens), Version: ch.Version})
		}
		if !more {
			return tokens, segments
		}
	}
}

func testRow() EndpointRow { return EndpointRow{Kind: EngineKind, Fencing: true}.defaults() }

func TestTokensIdentifyVersion(t *testing.T) {
	// A sample whose segments name a version that did not generate its tokens
	// must be detected, also if the engine swaps weights within a response.
	req := engine.GenerateRequest{ID: "a", MaxTokens: 400, Prompt: "p", Seed: 5}
	answer := func() ([]engine.Token, []engine.Segment) {
		en := newEngine(testRow(), "")
		return drain(en, en.start(req), func(step int) {
			if step == 4 {
				en.state.Version = 2
			}
		})
	}
	tokens, segments := answer()
	again, _ := answer()
	assert.DeepEqual(t, tokens, again)
	assert.Assert(t, Attributed("p", tokens, segments))
	assert.Assert(t, Whole("p", tokens, 400))
	assert.Assert(t, !Whole("p", tokens[1:], 400))
	assert.Equal(t, segments[len(segments)-1].Version, engine.Version(2))
	assert.Assert(t, !Attributed("p", tokens, []engine.Segment{{Tokens: len(tokens), Version: 1}}))
	assert.Assert(t, !Attributed("q", tokens, segments))
	other := append([]engine.Token{TokenAt("p", 6, 0, 1)}, tokens[1:]...)
	assert.Assert(t, !Attributed("p", other, segments), "tokens of two seeds")

	en := newEngine(testRow(), "")
	resumed := req
	resumed.Resume = tokens[:3]
	en.state.Version = 2
	rest, _ := drain(en, en.start(resumed), func(int) {})
	assert.DeepEqual(t, rest[1:], tokens[4:])
	assert.DeepEqual(t, en.Runs(), []Run{{
		First: 3, Prompt: "p", RequestID: "a", Seed: 5, Tokens: len(tokens) - 3, Version: 2,
	}})
}

func TestLengthDistribution(t *testing.T) {
	full, sum := 0, 0
	for seed := range uint64(10_000) {
		length := LengthOf("p", seed, 1600)
		sum += length
		full += boolToInt(length == 1600)
	}
	assert.Assert(t, full > 100 && full < 220, "%d", full)
	assert.Assert(t, sum/10_000 > 200 && sum/10_000 < 320, "%d", sum/10_000)
}

func TestOrders(t *testing.T) {
	for name, tc := range map[string]struct {
		fault   FaultName
		fencing bool
		orders  []engine.Order
		refused bool
		want    engine.Version
	}{
		"swap":    {orders: []engine.Order{{Epoch: 2, Version: 9}}, want: 9},
		"fenced":  {fencing: true, orders: []engine.Order{{Epoch: 2, Version: 9}, {Epoch: 1, Version: 8}}, refused: true, want: 9},
		"ignored": {orders: []engine.Order{{Epoch: 2, Version: 9}, {Epoch: 1, Version: 8}}, want: 8},
		"fails":   {fault: SwapFails, orders: []engine.Order{{Epoch: 2, Version: 9}}, want: 1},
		"unknown": {fault: SwapUnknown, orders: []engine.Order{{Epoch: 2, Version: 9}}, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			row := testRow()
			row.Fencing = tc.fencing
			en := newEngine(row, "")
			if tc.fault != "" {
				en.set(Fault{Name: tc.fault})
			}
			var err error
			for _, or := range tc.orders {
				or.Kind = engine.LoadVersion
				if err = en.accept(or); err == nil {
					en.load(t.Context(), <-en.orders)
				}
			}
			assert.Equal(t, errors.Is(err, errFenced), tc.refused)
			assert.Equal(t, en.state.Version, tc.want)
		})
	}
}

func TestEndpointsOverHTTP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	base := "http://" + ln.Addr().String()
	es := NewEndpoints(EndpointsSettings{Endpoints: []EndpointRow{
		{Kind: EngineKind, Names: []string{"marker-1"}, Time: unit.Duration(time.Millisecond)},
		{Kind: PlainKind, Names: []string{"gate-1"}, Time: unit.Duration(time.Millisecond)},
	}})
	ended := make(chan error)
	go func() { ended <- es.Serve(ctx, ln) }()

	en := engine.NewHTTP(base+"/marker-1", nil)
	generate := func(id string) (tokens []engine.Token, err error) {
		err = en.GenerateFunc(ctx, engine.GenerateRequest{ID: id, MaxTokens: 64, Prompt: id, Seed: 1},
			func(ch engine.Chunk) error { tokens = append(tokens, ch.Tokens...); return nil })
		return tokens, err
	}
	tokens, err := generate("a")
	assert.NilError(t, err)
	assert.Assert(t, Whole("a", tokens, 64))
	assert.NilError(t, es.SetFault(Fault{Count: 1, Name: Cross, Target: "marker-1"}))
	_, err = generate("b")
	assert.ErrorIs(t, err, engine.ErrMismatchedResponse)

	gate := plainservice.NewHTTP(base+"/gate-1", nil)
	call := func(id string) error {
		header := http.Header{message.IdempotencyKeyHeader: {"k"}}
		req := plainservice.Request{Body: []byte("b"), Header: header, ID: id, Method: http.MethodPost, Path: "/calls/1"}
		an, err := gate.CallFunc(ctx, req)
		if err == nil {
			err = an.Body.Close()
		}
		return err
	}
	assert.NilError(t, call("a"))
	assert.NilError(t, es.SetFault(Fault{Count: 1, Name: Drop, Target: "gate-1"}))
	assert.ErrorIs(t, call("b"), plainservice.ErrBroken)
	co := es.Counts()
	assert.DeepEqual(t, co.Keys, map[string]int{"k": 2})
	assert.DeepEqual(t, co.Paths, map[string]int{"/calls/1": 2})
	assert.Equal(t, co.Prompts["a"], 1)
	cancel()
	assert.NilError(t, <-ended)
	assert.ErrorIs(t, call("c"), plainservice.ErrNotSent)
}

func TestCrashedEndpointRefusesConnections(t *testing.T) {
	// The port of a crashed endpoint must refuse connections, or a caller can't
	// distinguish a call that was not sent from one that ran.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	ep := newEndpoint(EndpointRow{Kind: PlainKind, Time: 1}.defaults(), "")
	ep.address = address
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- ep.serve(ctx) }()
	gate := plainservice.NewHTTP("http://"+address, nil)
	until := func(want error) {
		for {
			_, err := gate.ReportFunc(ctx)
			if errors.Is(err, want) {
				return
			}
		}
	}
	until(nil)
	ep.faults.set(Fault{Name: Crash})
	until(plainservice.ErrNotSent)
	ep.faults.set(Fault{Name: Clear})
	until(nil)
	cancel()
	assert.NilError(t, <-ended)
}

func TestCrashCutsStream(t *testing.T) {
	// A crash must abort running requests without a last chunk, or a truncated
	// response passes for a complete one.
	es := NewEndpoints(EndpointsSettings{Endpoints: []EndpointRow{{Kind: EngineKind, Names: []string{"marker-1"}}}})
	se := httptest.NewServer(es.Handler())
	defer se.Close()
	en := es.Engine("marker-1")
	now := time.Unix(0, 0)
	emitted := 0
	go func() {
		for en.delayedReport().Running == 0 { // step until the request is admitted
			now = now.Add(time.Second)
			en.step(now)
		}
	}()
	err := engine.NewHTTP(se.URL+"/marker-1", nil).GenerateFunc(
		t.Context(), engine.GenerateRequest{ID: "a", MaxTokens: 1 << 20, Prompt: "p"}, func(engine.Chunk) error {
			if emitted++; emitted == 1 {
				return es.SetFault(Fault{Name: Crash, Target: "marker-1", For: unit.Duration(time.Hour)})
			}
			return nil
		})
	assert.ErrorIs(t, err, engine.ErrBroken)
	en.mu.Lock()
	defer en.mu.Unlock()
	assert.Equal(t, len(en.running), 0)
}
