// Package blob stores payloads under the digest of their content, each in two data
// folders in different failure domains.
package blob

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Errors of this package, for errors.Is.
var (
	// ErrBadDigest means that a digest is malformed or not that of the data.
	ErrBadDigest = errors.New("digest does not fit")
	// ErrFull means that the payload would exceed the folder's maximum size.
	ErrFull = errors.New("data folder is full")
	// ErrMissing means that there is no valid copy.
	ErrMissing = errors.New("payload is missing")
	// ErrTooFewCopies means that a payload is stored in fewer failure domains than
	// ReplicaCount.
	ErrTooFewCopies = errors.New("too few copies")
)

// Digest returns the SHA-256 of a payload in lower-case hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ValidDigest reports whether digest has the format of Digest's result.
func ValidDigest(digest string) bool {
	sum, err := hex.DecodeString(digest)
	return err == nil && len(sum) == sha256.Size && hex.EncodeToString(sum) == digest
}
