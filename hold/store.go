package hold

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/keyvalue"
)

// Key is the key of the holds in the key-value service.
const Key = "wisteriacroft/holds"

// ErrUndecodable means that the value of Key cannot be decoded.
var ErrUndecodable = errors.New("not decodable")

// maxAttempts bounds the attempts of a change that conflicts with others.
const maxAttempts = 10

// Decode decodes a value of Key. An empty value means no holds.
func Decode(it keyvalue.Item) (*Set, error) {
	se := &Set{}
	if len(it.Value) > 0 {
		if err := cbor.Unmarshal(it.Value, se); err != nil {
			return nil, errors.Wrapf(ErrUndecodable, "%s at revision %d: %v", Key, it.Version, err)
		}
	}
	return se.WithVersion(it.Version), nil
}

// A Store reads and changes the holds in the key-value service.
type Store struct{ Client *keyvalue.Client }

// Read returns the current holds.
func (st *Store) Read(ctx context.Context) (*Set, error) {
	it, err := st.Client.Get(ctx, Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return nil, err
	}
	return Decode(it)
}

// Change applies a change, and reports whether it changed anything. It is idempotent.
//
// If the outcome of a write is unknown, the holds are read again, and their history shows whether
// the change was applied. Only if that read fails too is the outcome of Change unknown.
func (st *Store) Change(ctx context.Context, ch Change) (bool, error) {
	var err error
	for range maxAttempts {
		se, errRead := st.Read(ctx)
		switch {
		case errRead != nil && err == nil:
			return false, errRead
		case errRead != nil:
			return false, errors.CombineErrors(err, errRead)
		case se.hasChange(ch.ID):
			return true, nil
		}
		next, changed, errApply := se.Apply(ch)
		if errApply != nil || !changed {
			return false, errApply
		}
		value, errEncode := cbor.Marshal(next)
		if errEncode != nil {
			return false, errors.Wrap(errEncode, "encode the holds")
		}
		_, errPut := st.Client.Put(ctx, Key, value, se.Version(), 0)
		if errPut == nil {
			return true, nil
		}
		if !errors.IsAny(errPut, keyvalue.ErrConflict, keyvalue.ErrOutcomeUnknown) {
			return false, errPut
		}
		err = errPut
	}
	return false, err
}
