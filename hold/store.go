package hold

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/keyvalue"
)

// Key is the key in the key-value service that holds the sheet.
const Key = "wisteriacroft/holds"

// ErrUndecodable means that the value under Key is no sheet.
var ErrUndecodable = errors.New("not decodable")

// maxTries is how often a change is tried that others were faster than.
const maxTries = 10

// Decode returns the sheet that a value holds, at its key's version. An empty value
// holds nothing.
func Decode(it keyvalue.Item) (*Set, error) {
	sh := &Set{}
	if len(it.Value) > 0 {
		if err := cbor.Unmarshal(it.Value, sh); err != nil {
			return nil, errors.Wrapf(ErrUndecodable, "%s at revision %d: %v", Key, it.Version, err)
		}
	}
	return sh.WithVersion(it.Version), nil
}

// A Store reads and changes the sheet.
type Store struct{ Client *keyvalue.Client }

// Read returns the sheet that is in force.
func (ke *Store) Read(ctx context.Context) (*Set, error) {
	it, err := ke.Client.Get(ctx, Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return nil, err
	}
	return Decode(it)
}

// Change makes a change and returns whether it made a difference. It may be repeated.
//
// A write whose answer is lost may have taken effect. The history tells: the sheet is
// read again, and holds the change's ID or doesn't. Only if it can't be read either is
// the outcome unknown.
func (ke *Store) Change(ctx context.Context, ch Change) (bool, error) {
	var err error
	for range maxTries {
		sh, errRead := ke.Read(ctx)
		switch {
		case errRead != nil && err == nil:
			return false, errRead
		case errRead != nil:
			return false, errors.CombineErrors(err, errRead)
		case sh.made(ch.ID):
			return true, nil
		}
		next, changed, errApply := sh.Apply(ch)
		if errApply != nil || !changed {
			return false, errApply
		}
		value, errEncode := cbor.Marshal(next)
		if errEncode != nil {
			return false, errors.Wrap(errEncode, "encode the holds")
		}
		_, errPut := ke.Client.Put(ctx, Key, value, sh.Version(), 0)
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
