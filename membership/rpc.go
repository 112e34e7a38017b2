package membership

import (
	"context"

	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// Register registers a table's RPC methods with a server.
func Register(sv *peer.Server, ta *Table) {
	peer.Handle(sv, ReportMethod,
		func(_ context.Context, he message.Header, rq ReportRequest) (ReportResponse, error) {
			return ta.Report(he, rq), nil
		})
	peer.Handle(sv, ExchangeMethod,
		func(_ context.Context, he message.Header, rq ExchangeRequest) (ExchangeResponse, error) {
			return ta.Exchange(he, rq), nil
		})
	peer.Handle(sv, SyncMethod,
		func(_ context.Context, he message.Header, rq SyncRequest) (SyncResponse, error) {
			return ta.Sync(he, rq), nil
		})
}

// Connect makes a table send its calls through a pool until ctx ends.
func Connect(ctx context.Context, po *peer.Pool, ta *Table) {
	ta.SendExchangeFunc = peer.Sender[ExchangeRequest, ExchangeResponse](ctx, po, ExchangeMethod, callTimeout)
	ta.SendSyncFunc = peer.Sender[SyncRequest, SyncResponse](ctx, po, SyncMethod, callTimeout)
}

// ConnectReporter makes a reporter send its calls through a pool until ctx ends.
func ConnectReporter(ctx context.Context, po *peer.Pool, rp *Reporter) {
	rp.SendFunc = peer.Sender[ReportRequest, ReportResponse](ctx, po, ReportMethod, callTimeout)
}
