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

func TestPack(t *testing.T) {
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
		most float64 // size of what is sent, as a part of the payload
	}{
		{"small", []byte("text"), 1},
		{"text of random letters", letters, 0.65},
		{"what can't be compressed", noise, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			payload, err := Encode(tc.text)
			assert.NilError(t, err)
			packed, err := pack(payload)
			assert.NilError(t, err)
			assert.Assert(t, float64(len(packed)) <= tc.most*float64(len(payload)), "%d of %d", len(packed), len(payload))
			plain, err := unpack(packed)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(plain, payload))
			var text []byte
			assert.NilError(t, Decode(plain, &text))
			assert.Assert(t, bytes.Equal(text, tc.text))
		})
	}
}

func TestUnpackIsBounded(t *testing.T) {
	// Symptom: a process passes its memory limit.
	// Sequence: a sender gone wrong packs what is far too large.
	packed := packer().EncodeAll(make([]byte, maxUnpacked+1), nil)
	payload, err := Encode(cbor.Tag{Content: packed, Number: packedTag})
	assert.NilError(t, err)
	_, err = unpack(payload)
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}

func TestUnpackOfWhatIsBroken(t *testing.T) {
	packed, err := pack([]byte(strings.Repeat("text ", packFrom)))
	assert.NilError(t, err)
	_, err = unpack(packed[:len(packed)-3])
	assert.Assert(t, err == nil, "no whole tag is no packed payload, and its decoding fails")
	packed[len(packed)/2] ^= 0xff
	packed[len(packed)/2+1] ^= 0xff
	_, err = unpack(packed)
	assert.Assert(t, err != nil)
}
