package peer

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// minCompressedSize is the minimum size of a payload to be compressed, in bytes.
	minCompressedSize = 2 << 10
	// compressedTag is the CBOR tag of a compressed payload, from the unassigned range.
	compressedTag = 65400
	// maxDecompressedSize bounds the size of a decompressed payload, in bytes.
	maxDecompressedSize = DefaultMaxMessageSize
)

// compressor and decompressor process one payload at a time; concurrent callers wait.
// Entropy compression of all literals helps with texts without repetitions, and costs less
// CPU time than flate.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		en, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithAllLitEntropyCompression(true), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressionWindow))
		if err != nil {
			panic(err) // the options are constant
		}
		return en
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		de, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedSize))
		if err != nil {
			panic(err) // the options are constant
		}
		return de
	})
)

// compressionWindow is the size of the encoder's window, in bytes. It bounds the encoder's memory.
const compressionWindow = 128 << 10

// compress compresses a payload if that makes it smaller. Traffic between failure domains is
// billed, and most of it is the texts of samples.
func compress(payload []byte) ([]byte, error) {
	if len(payload) < minCompressedSize || len(payload) > maxDecompressedSize {
		return payload, nil // one that is too large is rejected by the message limit
	}
	compressed := compressor().EncodeAll(payload, make([]byte, 0, len(payload)))
	if len(compressed) >= len(payload) {
		return payload, nil
	}
	return encoding.Marshal(cbor.Tag{Content: compressed, Number: compressedTag})
}

// decompress reverses compress.
func decompress(payload []byte) ([]byte, error) {
	compressed, ok := compressedContent(payload)
	if !ok {
		return payload, nil
	}
	plain, err := decompressor().DecodeAll(compressed, nil)
	if errors.IsAny(err, zstd.ErrDecoderSizeExceeded, zstd.ErrWindowSizeExceeded) {
		return nil, errors.Wrapf(ErrTooLarge, "decompress: more than %d bytes", maxDecompressedSize)
	}
	return plain, errors.Wrap(err, "decompress")
}

// compressedContent returns the compressed content of a payload, if it is compressed.
func compressedContent(payload []byte) ([]byte, bool) {
	if len(payload) == 0 || payload[0]>>5 != cborTag {
		return nil, false
	}
	var tag cbor.RawTag
	var compressed []byte
	ok := cbor.Unmarshal(payload, &tag) == nil && tag.Number == compressedTag && cbor.Unmarshal(tag.Content, &compressed) == nil
	return compressed, ok
}

// cborTag is the CBOR major type of a tag: the upper three bits of its first byte.
const cborTag = 6

// encodePayload encodes a value and compresses the result.
func encodePayload(value any) ([]byte, error) {
	data, err := Encode(value)
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// decodePayload reverses encodePayload.
func decodePayload(data []byte, value any) error {
	plain, err := decompress(data)
	if err != nil {
		return err
	}
	return Decode(plain, value)
}
