package peer

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func TestCompress(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	letters := make([]byte, 100<<10)
	for i := range letters {
		letters[i] = 'a' + byte(rng.IntN(26))
	}
	noise := make([]byte, 100<<10)
	for i := range noise {
		noise[i] = byte(rng.Uint32())
	}
	for _, tc := range []struct {
		name string
		text []byte
		most float64 // maximum size of the result, as a fraction of the payload
	}{
		{"small", []byte("text"), 1},
		{"text of random letters", letters, 0.65},
		{"incompressible", noise, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			payload, err := Encode(tc.text)
			assert.NilError(t, err)
			compressed, err := compress(payload)
			assert.NilError(t, err)
			assert.Assert(t, float64(len(compressed)) <= tc.most*float64(len(payload)), "%d of %d", len(compressed), len(payload))
			plain, err := decompress(compressed)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(plain, payload))
			var text []byte
			assert.NilError(t, Decode(plain, &text))
			assert.Assert(t, bytes.Equal(text, tc.text))
		})
	}
}

func TestDecompressLimit(t *testing.T) {
	// Guards against exceeding the memory limit when a faulty sender compresses a far too
	// large payload.
	compressed := compressor().EncodeAll(make([]byte, maxDecompressedSize+1), nil)
	payload, err := Encode(cbor.Tag{Content: compressed, Number: compressedTag})
	assert.NilError(t, err)
	_, err = decompress(payload)
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}

func TestDecompressCorrupt(t *testing.T) {
	compressed, err := compress([]byte(strings.Repeat("text ", minCompressedSize)))
	assert.NilError(t, err)
	_, err = decompress(compressed[:len(compressed)-3])
	assert.Assert(t, err == nil, "a truncated tag counts as uncompressed, and its decoding fails")
	compressed[len(compressed)/2] ^= 0xff
	compressed[len(compressed)/2+1] ^= 0xff
	_, err = decompress(compressed)
	assert.Assert(t, err != nil)
}
