package profile

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest returns the hex digest of the profile's source.
func (pr Profile) Digest() string { return digestOf(pr.source) }

func digestOf(source string) string {
	sum := sha256.Sum256([]byte(source))
	return hex.EncodeToString(sum[:16])
}
