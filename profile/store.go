package profile

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// DefaultKey is the document's key in the key-value service.
const DefaultKey = "wisteriacroft/profiles"

// A Store reads and writes the document in the key-value service. One key
// holds all profiles, so that a change to several of them is atomic and one
// watch covers all.
type Store struct {
	Client *keyvalue.Client
	Key    string // default DefaultKey
}

// A VersionedDocument is a document with the version of its key.
type VersionedDocument struct {
	Document Document
	Version  int64 // 0: the key does not exist
}

func (st *Store) key() string {
	if st.Key == "" {
		return DefaultKey
	}
	return st.Key
}

// Read returns the stored document, or the zero VersionedDocument if there is none.
func (st *Store) Read(ctx context.Context) (VersionedDocument, error) {
	it, err := st.Client.Get(ctx, st.key())
	if errors.Is(err, keyvalue.ErrNotFound) {
		return VersionedDocument{}, nil
	}
	if err != nil {
		return VersionedDocument{}, err
	}
	return decodeItem(it)
}

// Watch waits until the key's version is above after. It returns the zero
// VersionedDocument if the key was deleted.
func (st *Store) Watch(ctx context.Context, after int64) (VersionedDocument, error) {
	it, err := st.Client.Watch(ctx, st.key(), after)
	if err != nil {
		return VersionedDocument{}, err
	}
	if it.Value == nil {
		return VersionedDocument{}, nil
	}
	return decodeItem(it)
}

func decodeItem(it keyvalue.Item) (VersionedDocument, error) {
	vd := VersionedDocument{Version: it.Version}
	err := vd.Document.UnmarshalBinary(it.Value)
	return vd, errors.Wrap(err, it.Key)
}

// put writes a document if the key is at the expected version.
func (st *Store) put(ctx context.Context, do Document, expected int64) error {
	data, err := do.MarshalBinary()
	if err != nil {
		return err
	}
	_, err = st.Client.Put(ctx, st.key(), data, expected, 0)
	return err
}
