package ledger

import (
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// A state is a stored record with its version and writer.
type state struct {
	record  Record
	version int64  // of the key
	write   uint64 // sequence number of the write at its writer
	writer  string // unique ID of the Writer
}

// The types below are the stored format. Arrays without field names, binary digests and
// indexed places keep it compact.

type stateForm struct {
	_       struct{} `cbor:",toarray"`
	Batches []batchForm
	Cursor  message.Cursor
	Dropped string
	Epoch   uint64
	Places  []message.BlobLocation // without duplicates
	Seals   int
	Steps   []stepForm
	Write   uint64
	Writer  string
}

type stepForm struct {
	_       struct{} `cbor:",toarray"`
	Digest  []byte
	Number  int
	Places  []int
	Profile string
	Samples int
}

type batchForm struct {
	_       struct{} `cbor:",toarray"`
	Acked   bool
	Digest  []byte
	Entries []entryForm
	Ordinal int
	Seal    int
	Step    int
	Whole   bool
}

type entryForm struct {
	_        struct{} `cbor:",toarray"`
	Digest   []byte
	Group    int
	Member   int
	Places   []int
	Segments []segmentForm
	Size     int
}

type segmentForm struct {
	_       struct{} `cbor:",toarray"`
	Tokens  int
	Version engine.Version
}

// A placeTable assigns an index to each place.
type placeTable struct {
	index  map[message.BlobLocation]int
	places []message.BlobLocation
}

// add returns the indexes of places and assigns an index to new ones.
func (pt *placeTable) add(pls []message.BlobLocation) []int {
	indexes := make([]int, len(pls))
	for i, pl := range pls {
		at, ok := pt.index[pl]
		if !ok {
			at = len(pt.places)
			pt.index[pl] = at
			pt.places = append(pt.places, pl)
		}
		indexes[i] = at
	}
	return indexes
}

// get returns the places for indexes.
func (pt *placeTable) get(indexes []int) ([]message.BlobLocation, error) {
	pls := make([]message.BlobLocation, len(indexes))
	for i, at := range indexes {
		if at < 0 || at >= len(pt.places) {
			return nil, errors.Newf("place %d of %d", at, len(pt.places))
		}
		pls[i] = pt.places[at]
	}
	return pls, nil
}

// encode returns the stored format of a state, without its version.
func encode(st state) ([]byte, error) {
	pt := placeTable{index: map[message.BlobLocation]int{}}
	sf := stateForm{
		Cursor: st.record.Cursor, Dropped: st.record.Dropped, Epoch: st.record.Epoch,
		Seals: st.record.Seals, Write: st.write, Writer: st.writer,
	}
	for _, ba := range st.record.Batches {
		bf, err := encodeBatch(&pt, ba)
		if err != nil {
			return nil, errors.Wrapf(err, "batch %s", ba.ID())
		}
		sf.Batches = append(sf.Batches, bf)
	}
	for _, sp := range st.record.Steps {
		digest, err := hex.DecodeString(sp.Digest)
		if err != nil {
			return nil, errors.Wrapf(err, "step %d", sp.Number)
		}
		sf.Steps = append(sf.Steps, stepForm{
			Digest:  digest,
			Number:  sp.Number,
			Places:  pt.add(sp.Places),
			Profile: sp.Profile,
			Samples: sp.Samples,
		})
	}
	sf.Places = pt.places
	return cbor.Marshal(sf)
}

func encodeBatch(pt *placeTable, ba Batch) (batchForm, error) {
	digest, err := hex.DecodeString(ba.Digest)
	bf := batchForm{Acked: ba.Acked, Digest: digest, Ordinal: ba.Ordinal, Seal: ba.Seal, Step: ba.Step, Whole: ba.Whole}
	if err != nil {
		return bf, err
	}
	bf.Entries = make([]entryForm, len(ba.Entries))
	for i, en := range ba.Entries {
		digest, err := hex.DecodeString(en.Digest)
		if err != nil {
			return bf, errors.Wrapf(err, "member %d of group %d", en.Member, en.Group)
		}
		ef := entryForm{Digest: digest, Group: en.Group, Member: en.Member, Places: pt.add(en.Places), Size: en.Size}
		for _, se := range en.Segments {
			ef.Segments = append(ef.Segments, segmentForm{Tokens: se.Tokens, Version: se.Version})
		}
		bf.Entries[i] = ef
	}
	return bf, nil
}

// decode reverses encode.
func decode(data []byte) (state, error) {
	var sf stateForm
	if err := cbor.Unmarshal(data, &sf); err != nil {
		return state{}, err
	}
	pt := placeTable{places: sf.Places}
	st := state{write: sf.Write, writer: sf.Writer}
	st.record = Record{Cursor: sf.Cursor, Dropped: sf.Dropped, Epoch: sf.Epoch, Seals: sf.Seals}
	for _, bf := range sf.Batches {
		ba, err := decodeBatch(&pt, bf)
		if err != nil {
			return state{}, errors.Wrapf(err, "batch %d of step %d", bf.Ordinal, bf.Step)
		}
		st.record.Batches = append(st.record.Batches, ba)
	}
	for _, sp := range sf.Steps {
		pls, err := pt.get(sp.Places)
		if err != nil {
			return state{}, errors.Wrapf(err, "step %d", sp.Number)
		}
		st.record.Steps = append(st.record.Steps, Step{
			Digest:  hex.EncodeToString(sp.Digest),
			Number:  sp.Number,
			Places:  pls,
			Profile: sp.Profile,
			Samples: sp.Samples,
		})
	}
	return st, nil
}

func decodeBatch(pt *placeTable, bf batchForm) (Batch, error) {
	ba := Batch{
		Acked: bf.Acked, Digest: hex.EncodeToString(bf.Digest),
		Ordinal: bf.Ordinal, Seal: bf.Seal, Step: bf.Step, Whole: bf.Whole,
	}
	for _, ef := range bf.Entries {
		pls, err := pt.get(ef.Places)
		if err != nil {
			return Batch{}, errors.Wrapf(err, "member %d of group %d", ef.Member, ef.Group)
		}
		en := message.SampleEntry{
			Digest: hex.EncodeToString(ef.Digest),
			Group:  ef.Group, Member: ef.Member, Places: pls, Size: ef.Size,
		}
		for _, se := range ef.Segments {
			en.Segments = append(en.Segments, engine.Segment{Tokens: se.Tokens, Version: se.Version})
		}
		ba.Entries = append(ba.Entries, en)
	}
	return ba, nil
}
