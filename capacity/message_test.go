package capacity

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/rollout"
)

// BenchmarkOrder measures the bytes between the owner of a rollout and an
// attendant, for one engine: a probe, an order, and the report of its completion.
func BenchmarkOrder(b *testing.B) {
	var ne network
	answer := rollout.Status{Endpoint: "marker-llm-07-042", Epoch: 70_000, Incarnation: 1_700_000_000, Ordered: 70_000, Sequence: 70_000, Token: 1 << 62, Version: 70_000}
	header := func() message.Header {
		return message.Header{Incarnation: 1_700_000_000, Revision: 70_000, Sender: "attendant-207"}
	}
	sv := &peer.Server{HeaderFunc: header}
	peer.Handle(sv, rollout.ProbeMethod, func(context.Context, message.Header, rollout.ProbeRequest) (rollout.Status, error) {
		return answer, nil
	})
	peer.Handle(sv, rollout.OrderMethod, func(context.Context, message.Header, rollout.Request) (rollout.Response, error) {
		return rollout.Response{Status: answer, Verdict: rollout.Accepted}, nil
	})
	peer.Handle(sv, rollout.SettleMethod, func(context.Context, message.Header, rollout.Status) (struct{}, error) {
		return struct{}{}, nil
	})
	li := ne.listen("a")
	hs := &http.Server{Handler: sv}
	go func() { _ = hs.Serve(li) }()
	po := &peer.Pool{DialFunc: ne.dial, HeaderFunc: header}
	defer func() { po.Close(); hs.Close() }()
	request := rollout.Request{
		Endpoint: answer.Endpoint, Incarnation: answer.Incarnation, Notify: "10.0.12.31:7400", Token: answer.Token,
		Order: engine.Order{Epoch: answer.Epoch, Kind: engine.LoadVersion, Version: answer.Version},
	}
	calls := map[string]func() error{
		"probe": func() error {
			_, err := peer.Call[rollout.ProbeRequest, rollout.Status](b.Context(), po, "a", rollout.ProbeMethod, rollout.ProbeRequest{Endpoint: answer.Endpoint, Epoch: 70_000})
			return err
		},
		"order": func() error {
			_, err := peer.Call[rollout.Request, rollout.Response](b.Context(), po, "a", rollout.OrderMethod, request)
			return err
		},
		"settle": func() error {
			_, err := peer.Call[rollout.Status, struct{}](b.Context(), po, "a", rollout.SettleMethod, answer)
			return err
		},
	}
	for _, name := range []string{"probe", "order", "settle"} {
		b.Run(name, func(b *testing.B) {
			assert.NilError(b, calls[name]()) // opens the connection
			read, written := po.Bytes().Read(), po.Bytes().Written()
			for b.Loop() {
				assert.NilError(b, calls[name]())
			}
			b.ReportMetric(float64(po.Bytes().Read()-read)/float64(b.N), "read-B/call")
			b.ReportMetric(float64(po.Bytes().Written()-written)/float64(b.N), "written-B/call")
		})
	}
}
