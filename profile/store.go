package profile

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// DefaultKey is where the document is kept in the key-value service.
const DefaultKey = "wisteriacroft/profiles"

// A Store keeps the document in the key-value service, all of it under one
// key: one revision, one watch, and a change to several profiles is atomic.
type Store struct {
	Client *keyvalue.Client
	Key    string // default DefaultKey
}

// A VersionedDocument is a document with its place in the service's order of writes.
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

// Read returns the document in the service, or the zero VersionedDocument if there is
// none yet.
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

// Watch waits until the key is at a version above after. It returns the zero
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

// decodeItem returns the document that an item holds.
func decodeItem(it keyvalue.Item) (VersionedDocument, error) {
	sd := VersionedDocument{Version: it.Version}
	err := sd.Document.UnmarshalBinary(it.Value)
	return sd, errors.Wrap(err, it.Key)
}

// put writes a document over the item at a version.
func (st *Store) put(ctx context.Context, do Document, expected int64) error {
	data, err := do.MarshalBinary()
	if err != nil {
		return err
	}
	_, err = st.Client.Put(ctx, st.key(), data, expected, 0)
	return err
}
