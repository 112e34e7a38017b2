// Package configuration carries the document in force between processes over
// net/rpc: whoever sees a higher revision in a message's header fetches it.
package configuration

import (
	"context"

	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/profile"
)

// FetchMethod is the net/rpc method that answers with the document in force.
const FetchMethod = "Configuration.Fetch"

// A FetchRequest asks a process for its document.
type FetchRequest struct {
	Held uint64 // revision that the asking process holds
}

// A FetchResponse holds the document of the process asked, or the zero Document if
// that is no newer than the one held.
type FetchResponse struct {
	Document profile.Document
}

// Handle serves the document that ho holds.
func Handle(sv *peer.Server, ho *profile.Replica) {
	peer.Handle(sv, FetchMethod, func(_ context.Context, _ message.Header, req FetchRequest) (FetchResponse, error) {
		do := ho.Current()
		if do.Revision() <= req.Held {
			return FetchResponse{}, nil
		}
		return FetchResponse{Document: do}, nil
	})
}

// Fetcher returns a FetchFunc for a profile.Syncer whose peers are named by
// their addresses. It fetches over a pool, for the holder's process.
func Fetcher(po *peer.Pool, ho *profile.Replica) func(ctx context.Context, address string) (profile.Document, error) {
	return func(ctx context.Context, address string) (profile.Document, error) {
		req := FetchRequest{Held: ho.Revision()}
		re, err := peer.Call[FetchRequest, FetchResponse](ctx, po, address, FetchMethod, req)
		return re.Document, err
	}
}
