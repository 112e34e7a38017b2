package capacity

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// BenchmarkPayload measures the size of a sample's payload, and the time to encode
// it, to store it and to read it.
func BenchmarkPayload(b *testing.B) {
	for _, tokens := range []int{1_000, 5_000, 20_000} {
		so := newSampleOwner(1, 1, true)
		pl := message.Payload{Prompt: "mark", Segments: []engine.Segment{{Tokens: tokens, Version: 7}}, Step: 7, Trainer: "a"}
		for range tokens {
			pl.Tokens = append(pl.Tokens, engine.Token{ID: int32(so.random.IntN(128_000)), LogProb: -so.random.Float32()})
		}
		data, err := json.Marshal(pl)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("encode/tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				_, err := json.Marshal(pl)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "B")
		})
		st := &blob.Store{Folder: b.TempDir()}
		digest := blob.Digest(data)
		b.Run(fmt.Sprintf("put/tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				assert.NilError(b, st.Delete(digest))
				assert.NilError(b, st.Put(digest, data))
			}
		})
		b.Run(fmt.Sprintf("get/tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				_, err := st.Get(digest)
				assert.NilError(b, err)
			}
		})
	}
}
