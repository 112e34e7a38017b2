package membership

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Digest sums up a set of attendants. Two entries whose digests are equal
// hold the same.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	All     uint64
	Leaving uint64 // of those that leave
}

// A DomainDigest is the digest of the attendants of one failure domain.
type DomainDigest struct {
	_             struct{} `cbor:",toarray"`
	Digest        Digest
	FailureDomain string
}

// add takes an attendant's news into the digest. The order does not matter.
func (di *Digest) add(ne *StateUpdate) {
	buf := make([]byte, 0, 64)
	buf = append(buf, ne.Instance...)
	buf = binary.BigEndian.AppendUint64(buf, ne.Incarnation)
	if ne.Leaving {
		di.Leaving ^= xxhash.Sum64(buf)
	}
	buf = binary.BigEndian.AppendUint64(buf, ne.Sequence)
	di.All ^= xxhash.Sum64(append(buf, byte(ne.Doubt)))
}

// domains returns the digests of the table's failure domains, by name.
func (ta *Table) domains() []DomainDigest {
	var dos []DomainDigest
	for _, ro := range ta.rows.values() {
		if ro.news.Doubt == Gone {
			continue
		}
		at, ok := slices.BinarySearchFunc(dos, ro.card.FailureDomain, func(do DomainDigest, name string) int {
			return strings.Compare(do.FailureDomain, name)
		})
		if !ok {
			dos = slices.Insert(dos, at, DomainDigest{FailureDomain: ro.card.FailureDomain})
		}
		dos[at].Digest.add(&ro.news)
	}
	return dos
}

// total returns the digest of all domains.
func total(dos []DomainDigest) Digest {
	var di Digest
	for _, do := range dos {
		di.All ^= do.Digest.All
		di.Leaving ^= do.Digest.Leaving
	}
	return di
}

// differences returns the failure domains of which two entries hold something
// else. Both lists are by name.
func differences(own, other []DomainDigest) []string {
	var names []string
	for len(own) > 0 || len(other) > 0 {
		switch {
		case len(other) == 0 || len(own) > 0 && own[0].FailureDomain < other[0].FailureDomain:
			names = append(names, own[0].FailureDomain)
			own = own[1:]
		case len(own) == 0 || other[0].FailureDomain < own[0].FailureDomain:
			names = append(names, other[0].FailureDomain)
			other = other[1:]
		default:
			if own[0].Digest.All != other[0].Digest.All {
				names = append(names, own[0].FailureDomain)
			}
			own, other = own[1:], other[1:]
		}
	}
	return names
}
