package rollout

import (
	"context"
	"time"

	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// callTimeout bounds a call between an owner and an attendant. It is longer
// than an attendant takes to pass an order on.
const callTimeout = DefaultPassTimeout + time.Second

// RegisterFence makes an attendant's server answer owners of rollouts.
func RegisterFence(sv *peer.Server, fe *Fence) {
	peer.Handle(sv, OrderMethod, func(ctx context.Context, _ message.Header, rq Request) (Response, error) {
		return fe.Order(ctx, rq)
	})
	peer.Handle(sv, ProbeMethod, func(_ context.Context, _ message.Header, rq ProbeRequest) (Status, error) {
		return fe.Probe(rq)
	})
}

// ConnectFence makes a fence tell owners through a pool, until ctx ends.
func ConnectFence(ctx context.Context, po *peer.Pool, fe *Fence) {
	send := peer.Sender[Status, struct{}](ctx, po, SettleMethod, callTimeout)
	fe.NotifyFunc = func(address string, st Status) { send(address, st, func(struct{}, error) {}) }
}

// RegisterRollouts makes an entry's server take the word of attendants, for each
// rollout that it may own.
func RegisterRollouts(sv *peer.Server, rollouts func() []*Rollout) {
	peer.Handle(sv, SettleMethod, func(_ context.Context, _ message.Header, st Status) (struct{}, error) {
		for _, ro := range rollouts() {
			ro.Settled(st)
		}
		return struct{}{}, nil
	})
}

// Connect makes a rollout send through a pool, until ctx ends.
func Connect(ctx context.Context, po *peer.Pool, ro *Rollout) {
	ro.SendOrderFunc = peer.Sender[Request, Response](ctx, po, OrderMethod, callTimeout)
	ro.SendProbeFunc = peer.Sender[ProbeRequest, Status](ctx, po, ProbeMethod, callTimeout)
}
