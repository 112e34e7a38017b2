// Package blob keeps payloads by the digest of their content, each on two
// data folders in different failure domains.
package blob

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Errors of this package, to be matched with errors.Is.
var (
	// ErrBadDigest means that a digest is malformed or not that of the data.
	ErrBadDigest = errors.New("digest does not fit")
	// ErrFull means that the payload does not fit in the folder's bound.
	ErrFull = errors.New("data folder is full")
	// ErrMissing means that no whole copy is there.
	ErrMissing = errors.New("payload is missing")
	// ErrTooFewCopies means that a payload is kept in fewer failure domains
	// than ReplicaCount.
	ErrTooFewCopies = errors.New("too few copies")
)

// Digest returns the name of a payload: its SHA-256 in hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ValidDigest reports whether digest has the form that Digest returns.
func ValidDigest(digest string) bool {
	sum, err := hex.DecodeString(digest)
	return err == nil && len(sum) == sha256.Size && hex.EncodeToString(sum) == digest
}
