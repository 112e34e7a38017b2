// Package configuration transfers the profile document between processes over net/rpc: a
// process that receives a higher revision in a message's header fetches the document.
package configuration

import (
	"context"

	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/profile"
)

// FetchMethod is the net/rpc method that returns the document in force.
const FetchMethod = "Configuration.Fetch"

// A FetchRequest asks a process for its document.
type FetchRequest struct {
	Held uint64 // revision held by the caller
}

// A FetchResponse holds the document of the called process, or the zero Document if that
// is not newer than the caller's.
type FetchResponse struct {
	Document profile.Document
}

// Handle registers FetchMethod, which serves the replica's document.
func Handle(sv *peer.Server, rp *profile.Replica) {
	peer.Handle(sv, FetchMethod, func(_ context.Context, _ message.Header, req FetchRequest) (FetchResponse, error) {
		do := rp.Current()
		if do.Revision() <= req.Held {
			return FetchResponse{}, nil
		}
		return FetchResponse{Document: do}, nil
	})
}

// Fetcher returns a FetchFunc for a profile.Syncer whose peers are identified by their
// addresses. It fetches over a pool, for the replica's process.
func Fetcher(po *peer.Pool, rp *profile.Replica) func(ctx context.Context, address string) (profile.Document, error) {
	return func(ctx context.Context, address string) (profile.Document, error) {
		req := FetchRequest{Held: rp.Revision()}
		re, err := peer.Call[FetchRequest, FetchResponse](ctx, po, address, FetchMethod, req)
		return re.Document, err
	}
}
