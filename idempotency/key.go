package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	keySize    = 36 // characters
	timeSize   = 6  // bytes: RFC 9562 starts with the Unix time in milliseconds
	keyVersion = 7
)

// ErrBadKey means that a key is not a UUID of version 7 in its standard form. Other keys have no
// mint time, so they can't be distinguished from keys that ran before the home
// started.
var ErrBadKey = errors.New("idempotency key must be a UUID of version 7, such as 01976a5e-2f0b-7cc3-98c4-dc0c0c07398f")

// A Key is an idempotency key, a UUID of version 7 that contains its mint time.
type Key struct {
	id uuid.UUID
}

// NewKey returns a new key minted at now. The library's generator is monotonic: after the clock is
// set back, its keys would lie in the future.
func NewKey(now time.Time) (Key, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return Key{}, errors.Wrap(err, "mint a key")
	}
	ms := now.UnixMilli()
	for i := timeSize - 1; i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	id[timeSize] = id[timeSize]&0x0f | keyVersion<<4
	return Key{id: id}, nil
}

// ParseKey parses the 36-character form of a key.
func ParseKey(text string) (Key, error) {
	if len(text) != keySize {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q", text)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, errors.Wrapf(ErrBadKey, "%q", text)
	}
	return Key{id: id}, nil
}

// MintedAt returns the mint time by the minter's clock, in whole milliseconds.
func (ke Key) MintedAt() time.Time {
	var ms int64
	for _, by := range ke.id[:timeSize] {
		ms = ms<<8 | int64(by)
	}
	return time.UnixMilli(ms)
}

// String returns the 36-character form of the key.
func (ke Key) String() string { return ke.id.String() }

// Home returns the endpoint that may run the key, or "" if endpoints is empty. It uses rendezvous
// hashing: the order of endpoints is irrelevant, and a change of the set moves only keys of the
// endpoints that it adds or removes.
func (ke Key) Home(endpoints []string) string {
	var home string
	var highest uint64
	var di xxhash.Digest
	for _, name := range endpoints {
		di.Reset()
		// A Digest's writes don't fail.
		_, _ = di.WriteString(name)
		_, _ = di.Write(ke.id[:])
		sum := di.Sum64()
		if home == "" || sum > highest || sum == highest && name < home {
			home, highest = name, sum
		}
	}
	return home
}
