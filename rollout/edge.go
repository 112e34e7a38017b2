package rollout

import (
	"context"
	"time"

	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// callTimeout is the timeout of calls between owners and attendants. It is longer than PassFunc may
// take.
const callTimeout = DefaultPassTimeout + time.Second

// RegisterFence registers a fence's RPC methods on an attendant's server.
func RegisterFence(sv *peer.Server, fe *Fence) {
	peer.Handle(sv, OrderMethod, func(ctx context.Context, _ message.Header, rq Request) (Response, error) {
		return fe.Order(ctx, rq)
	})
	peer.Handle(sv, ProbeMethod, func(_ context.Context, _ message.Header, rq ProbeRequest) (Status, error) {
		return fe.Probe(rq)
	})
}

// ConnectFence makes a fence send its notices through a pool until ctx ends.
func ConnectFence(ctx context.Context, po *peer.Pool, fe *Fence) {
	send := peer.Sender[Status, struct{}](ctx, po, SettleMethod, callTimeout)
	fe.NotifyFunc = func(address string, st Status) { send(address, st, func(struct{}, error) {}) }
}

// RegisterRollouts registers the RPC method that receives settle notices for an entry's rollouts.
func RegisterRollouts(sv *peer.Server, rollouts func() []*Rollout) {
	peer.Handle(sv, SettleMethod, func(_ context.Context, _ message.Header, st Status) (struct{}, error) {
		for _, ro := range rollouts() {
			ro.Settled(st)
		}
		return struct{}{}, nil
	})
}

// Connect makes a rollout send its calls through a pool until ctx ends.
func Connect(ctx context.Context, po *peer.Pool, ro *Rollout) {
	ro.SendOrderFunc = peer.Sender[Request, Response](ctx, po, OrderMethod, callTimeout)
	ro.SendProbeFunc = peer.Sender[ProbeRequest, Status](ctx, po, ProbeMethod, callTimeout)
}
