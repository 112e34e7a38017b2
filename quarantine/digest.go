// Package quarantine keeps poison requests, under which one endpoint after the other
// crashes, from the endpoints that are left.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is the length of a digest in bytes: enough that no one finds two
// requests with the same one.
const digestSize = 16

// A Digest identifies what a request asks for. Each try of a client has an ID of
// its own; its digest stays the same.
type Digest string

// DigestOf returns the digest of a customer's request to a host; target is its path
// and query. What one customer sends is not held against another, who may ask for the
// same; the customer's key is no part of it, since keys change.
func DigestOf(customer, host, method, target string, body []byte) Digest {
	return digestOf([]byte(customer), []byte(host), []byte(method), []byte(target), body)
}

// DigestOfItem returns the digest of an item of a step. Items keep their IDs when
// they come again. Those of a group may ask for the same, and run at many engines
// at once: taken for one, they would rest after any three of these had ended.
func DigestOfItem(customer, host, id, path string, body []byte) Digest {
	return digestOf([]byte(customer), []byte(host), []byte("item"), []byte(id), []byte(path), body)
}

func digestOf(parts ...[]byte) Digest {
	ha := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part))) // so that no two lists of parts read the same
		_, _ = ha.Write(size[:])                               // never fails
		_, _ = ha.Write(part)
	}
	return Digest(hex.EncodeToString(ha.Sum(nil)[:digestSize]))
}
