package membership

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Digest is an order-independent hash of the states of a set of attendants. Equal digests
// mean equal sets.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	All     uint64
	Leaving uint64 // of the leaving attendants
}

// A DomainDigest is the digest of the attendants of one failure domain.
type DomainDigest struct {
	_             struct{} `cbor:",toarray"`
	Digest        Digest
	FailureDomain string
}

// add adds an attendant's state to the digest. The order does not matter.
func (di *Digest) add(up *StateUpdate) {
	buf := make([]byte, 0, 64)
	buf = append(buf, up.Instance...)
	buf = binary.BigEndian.AppendUint64(buf, up.Incarnation)
	if up.Leaving {
		di.Leaving ^= xxhash.Sum64(buf)
	}
	buf = binary.BigEndian.AppendUint64(buf, up.Sequence)
	di.All ^= xxhash.Sum64(append(buf, byte(up.Doubt)))
}

// domainDigests returns the digests of the table's failure domains, ordered by name.
func (ta *Table) domainDigests() []DomainDigest {
	var dos []DomainDigest
	for _, ro := range ta.rows.values() {
		if ro.state.Doubt == Gone {
			continue
		}
		at, ok := slices.BinarySearchFunc(dos, ro.descriptor.FailureDomain, func(do DomainDigest, name string) int {
			return strings.Compare(do.FailureDomain, name)
		})
		if !ok {
			dos = slices.Insert(dos, at, DomainDigest{FailureDomain: ro.descriptor.FailureDomain})
		}
		dos[at].Digest.add(&ro.state)
	}
	return dos
}

// combine returns the digest of all failure domains.
func combine(dos []DomainDigest) Digest {
	var di Digest
	for _, do := range dos {
		di.All ^= do.Digest.All
		di.Leaving ^= do.Digest.Leaving
	}
	return di
}

// differences returns the failure domains whose digests differ. Both lists are ordered by name.
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
