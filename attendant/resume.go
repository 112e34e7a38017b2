package attendant

import (
	"context"
	"slices"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// maxCacheSize is the largest KV cache that is sent to another attendant, in
// bytes: half of a message's limit.
const maxCacheSize = MaxMessageSize / 2

// PartialMethod is the net/rpc method of Partial.
const PartialMethod = "Attendant.Partial"

// Partial returns the tokens that an attempt here has made. Tokens whose
// version never arrived are not among them: they are made anew.
func (at *Attendant) Partial(ctx context.Context, _ message.Header, req PartialRequest) (PartialResponse, error) {
	pa := at.partials.get(req.Attempt)
	if pa == nil || pa.attempt.finished() {
		// An answer that ended must not be continued past its end.
		return PartialResponse{}, nil
	}
	pl := pa.attempt.payload()
	if len(pl.Tokens) == 0 {
		return PartialResponse{}, nil
	}
	pr := PartialResponse{Found: true, Payload: pl}
	if req.Cache && pa.endpoint.engine.ExportCacheFunc != nil {
		cs, err := pa.endpoint.engine.ExportCacheFunc(ctx, req.Attempt)
		// Without the cache the other engine computes it anew: slower, but
		// right.
		if err == nil && len(cs.Data) <= maxCacheSize {
			pr.Cache = &cs
		}
	}
	return pr, nil
}

// resume takes the tokens that another attempt at the same slot has made. If
// they can't be had, the attempt starts from its prompt.
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
	if pr.Cache != nil && usable(*pr.Cache, pr.Payload.Tokens, en.observed()) {
		cs := *pr.Cache
		cs.RequestID = atm.id()
		// The engine computes what it can't import.
		_ = en.engine.ImportCacheFunc(ctx, cs)
	}
}

// sameSlot tells whether two payloads are of one slot and prompt. Tokens of
// another prompt would make a sample that looks whole and is wrong.
func sameSlot(pl, other message.Payload) bool {
	return pl.Trainer == other.Trainer && pl.Step == other.Step &&
		pl.Group == other.Group && pl.Member == other.Member && pl.Prompt == other.Prompt
}

// usable tells whether a KV cache fits the tokens and the weights that go on
// with them. One of other weights would let the next tokens depend on a version
// that no segment names.
func usable(cs engine.CacheSnapshot, tokens []engine.Token, ve engine.Version) bool {
	return cs.Version == ve && len(cs.Tokens) <= len(tokens) &&
		slices.Equal(cs.Tokens, tokens[:len(cs.Tokens)])
}
