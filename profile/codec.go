package profile

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/finding"
	"wisteriacroft/keyvalue"
)

// maxChanges bounds the recorded changes. Their ids show whether a write of unknown
// outcome took effect and whether the service lost a change, so the record must
// cover several hours of changes: at 710 changes a day it covers four.
const maxChanges = 128

// formatVersion is the version of the encoding. Decoding rejects other versions.
const formatVersion = 2

// maxExpandedSize bounds the uncompressed document, in bytes. It guards against
// a small compressed value that expands beyond the process's memory.
const maxExpandedSize = 8 * keyvalue.MaxValueSize

// The encoded types. Their fields are exported for the CBOR codec.
type (
	encodedDocument struct {
		Changes  []encodedChange  `cbor:"changes"`
		Format   int              `cbor:"format"`
		Profiles []encodedProfile `cbor:"profiles"`
		Revision uint64           `cbor:"revision"`
		Sets     []EndpointSet    `cbor:"sets"`
	}
	encodedProfile struct {
		Name   string `cbor:"name"`
		Source string `cbor:"source"`
	}
	encodedChange struct {
		At       int64            `cbor:"at"` // Unix milliseconds
		By       string           `cbor:"by"`
		ID       string           `cbor:"id"`
		Message  string           `cbor:"message"`
		Revision uint64           `cbor:"revision"`
		Touched  []ChangedProfile `cbor:"touched"`
	}
)

// MarshalBinary encodes the document as compressed CBOR. gob, and so net/rpc,
// use it too. It is compressed because each entry reads the document every few
// seconds.
func (do Document) MarshalBinary() ([]byte, error) {
	en := encodedDocument{Format: formatVersion, Revision: do.revision, Sets: do.sets}
	for _, pr := range do.profiles {
		en.Profiles = append(en.Profiles, encodedProfile{Name: pr.name, Source: pr.source})
	}
	for _, ch := range do.changes {
		en.Changes = append(en.Changes, encodedChange{
			At:       ch.at.UnixMilli(),
			By:       ch.by,
			ID:       ch.id,
			Message:  ch.message,
			Revision: ch.revision,
			Touched:  ch.changed,
		})
	}
	data, err := cbor.Marshal(en)
	if err != nil {
		return nil, errors.Wrap(err, "encode the profiles")
	}
	if len(data) > maxExpandedSize {
		return nil, errors.Wrapf(keyvalue.ErrTooLarge, "encode the profiles: %d bytes", len(data))
	}
	return compress(data)
}

func compress(data []byte) ([]byte, error) {
	var bu bytes.Buffer
	zw := gzip.NewWriter(&bu)
	_, err := zw.Write(data)
	err = errors.CombineErrors(err, zw.Close())
	return bu.Bytes(), errors.Wrap(err, "compress the profiles")
}

// expand reverses compress. It fails if the result exceeds maxExpandedSize.
func expand(data []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	expanded, err := io.ReadAll(io.LimitReader(zr, maxExpandedSize+1))
	if err == nil && len(expanded) > maxExpandedSize {
		err = errors.Newf("more than %d bytes", maxExpandedSize)
	}
	return expanded, err
}

// UnmarshalBinary decodes the output of MarshalBinary. On an error, it leaves
// the document unchanged.
func (do *Document) UnmarshalBinary(data []byte) error {
	var en encodedDocument
	if len(data) > keyvalue.MaxValueSize {
		return errors.Newf("decode the profiles: %d bytes", len(data))
	}
	expanded, err := expand(data)
	if err != nil {
		return errors.Wrap(err, "expand the profiles")
	}
	if err := cbor.Unmarshal(expanded, &en); err != nil {
		return errors.Wrap(err, "decode the profiles")
	}
	if en.Format != formatVersion {
		return errors.Newf("decode the profiles: unknown format %d", en.Format)
	}
	var li finding.List
	profiles := make([]Profile, len(en.Profiles))
	for i, pr := range en.Profiles {
		profiles[i] = reader{}.parse(pr.Name, pr.Name+fileSuffix, pr.Source, &li).profile
	}
	if err := li.Err(); err != nil {
		return errors.Wrap(err, "decode the profiles")
	}
	decoded := NewDocument(en.Revision, profiles...)
	decoded.sets = en.Sets
	for _, ch := range en.Changes {
		decoded.changes = append(decoded.changes, Change{
			at:       time.UnixMilli(ch.At).UTC(),
			by:       ch.By,
			id:       ch.ID,
			message:  ch.Message,
			revision: ch.Revision,
			changed:  ch.Touched,
		})
	}
	*do = decoded
	return nil
}
