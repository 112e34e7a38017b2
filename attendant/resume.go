package attendant

import (
	"context"
	"slices"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// maxCacheSize is the maximum size of a KV cache sent to another attendant, in bytes.
const maxCacheSize = MaxMessageSize / 2

// PartialMethod is the RPC method of Partial.
const PartialMethod = "Attendant.Partial"

// Partial returns the tokens that an attempt has generated here, without any whose version is not
// known yet.
func (at *Attendant) Partial(ctx context.Context, _ message.Header, req PartialRequest) (PartialResponse, error) {
	pa := at.partials.get(req.Attempt)
	if pa == nil || pa.attempt.finished() {
		// A complete answer must not be continued.
		return PartialResponse{}, nil
	}
	pl := pa.attempt.payload()
	if len(pl.Tokens) == 0 {
		return PartialResponse{}, nil
	}
	pr := PartialResponse{Found: true, Payload: pl}
	if req.Cache && pa.endpoint.engine.ExportCacheFunc != nil {
		cs, err := pa.endpoint.engine.ExportCacheFunc(ctx, req.Attempt)
		// Without the cache the other engine recomputes it.
		if err == nil && len(cs.Data) <= maxCacheSize {
			pr.Cache = &cs
		}
	}
	return pr, nil
}

// resume takes over the tokens of an earlier attempt at the same slot. If they are not available,
// the attempt starts from its prompt.
func (at *Attendant) resume(ctx context.Context, en *endpoint, atm *attempt) {
	from := atm.request.ResumeFrom
	pr, err := peer.Call[PartialRequest, PartialResponse](ctx, at.pool, from.Address, PartialMethod,
		PartialRequest{Attempt: from.Attempt, Cache: en.engine.ImportCacheFunc != nil})
	if err != nil || !pr.Found || !sameSlot(pr.Payload, atm.payload()) {
		return
	}
	if !atm.resume(pr.Payload.Tokens, pr.Payload.Segments) {
		return
	}
	if pr.Cache != nil && cacheUsable(*pr.Cache, pr.Payload.Tokens, en.currentVersion()) {
		cs := *pr.Cache
		cs.RequestID = atm.id()
		// On error the engine recomputes the cache.
		_ = en.engine.ImportCacheFunc(ctx, cs)
	}
}

// sameSlot reports whether two payloads have the same slot and prompt. Tokens of another prompt
// would make a valid-looking but wrong sample.
func sameSlot(pl, other message.Payload) bool {
	return pl.Trainer == other.Trainer && pl.Step == other.Step &&
		pl.Group == other.Group && pl.Member == other.Member && pl.Prompt == other.Prompt
}

// cacheUsable reports whether a KV cache matches the tokens and the engine's weights. Tokens generated
// from a cache of other weights would depend on a version that no segment names.
func cacheUsable(cs engine.CacheSnapshot, tokens []engine.Token, ve engine.Version) bool {
	return cs.Version == ve && len(cs.Tokens) <= len(tokens) &&
		slices.Equal(cs.Tokens, tokens[:len(cs.Tokens)])
}
