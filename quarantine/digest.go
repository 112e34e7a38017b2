// Package quarantine holds back poison requests, which crash one endpoint after the other.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is the length of a digest in bytes, enough for collision resistance.
const digestSize = 16

// A Digest identifies a request by its content. Retries of a client have different IDs but the
// same digest.
type Digest string

// DigestOf returns the digest of a customer's request to a host; target is its path and query. Equal
// requests of different customers have different digests. The key is not included, as keys change.
func DigestOf(customer, host, method, target string, body []byte) Digest {
	return digestOf([]byte(customer), []byte(host), []byte(method), []byte(target), body)
}

// SpreadOf returns the Table.Spread of an instance.
func SpreadOf(instance string) float64 {
	sum := sha256.Sum256([]byte(instance))
	return float64(binary.BigEndian.Uint32(sum[:])) / (1 << 32)
}

func digestOf(parts ...[]byte) Digest {
	ha := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part))) // makes the encoding of the parts unambiguous
		_, _ = ha.Write(size[:])                               // never fails
		_, _ = ha.Write(part)
	}
	return Digest(hex.EncodeToString(ha.Sum(nil)[:digestSize]))
}
