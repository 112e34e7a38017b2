package keyvalue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone means that the service no longer holds the changes since the
// version that a Follow asked for: scan the prefix again.
var ErrHistoryGone = errors.New("history is no longer held")

// An Expectation is the version that a key must have for a Transaction to be
// applied. Version 0 means that the key must not exist.
type Expectation struct {
	Key     string
	Version int64
}

// A Write is one key that a Transaction sets.
type Write struct {
	Key   string
	Lease LeaseID // the key vanishes with it; 0 means that it stays
	Value []byte
}

// MaxTransaction is how many expectations, writes and deletes a Transaction may
// have in all.
const MaxTransaction = 32

// A Transaction is applied as a whole or not at all.
type Transaction struct {
	Deletes []string
	Expects []Expectation
	Writes  []Write
}

// Size returns how many expectations, writes and deletes a transaction has.
func (tx Transaction) Size() int { return len(tx.Deletes) + len(tx.Expects) + len(tx.Writes) }

// Changes are the items under a prefix, or what changed there, as of Version.
// An item that was deleted has a nil Value.
type Changes struct {
	Items   []Item
	Version int64 // continue from here
}

// Transact applies a transaction and returns the version of its writes.
// ErrConflict means that an expectation did not hold.
func (cl *Client) Transact(ctx context.Context, tx Transaction) (int64, error) {
	if tx.Size() > MaxTransaction {
		return 0, errors.Wrapf(ErrTooLarge, "transact: %d of at most %d entries", tx.Size(), MaxTransaction)
	}
	for _, wr := range tx.Writes {
		if len(wr.Value) > MaxValueSize {
			return 0, errors.Wrapf(ErrTooLarge, "transact %s: %d bytes", wr.Key, len(wr.Value))
		}
	}
	ve, err := cl.TransactFunc(ctx, tx)
	return ve, errors.Wrap(err, "transact")
}

// Scan returns all items under a prefix and the version to follow from. Items
// that change while it runs may be in it or not; following from its version
// brings them again.
func (cl *Client) Scan(ctx context.Context, prefix string) (Changes, error) {
	ch, err := cl.ScanFunc(ctx, prefix)
	return ch, errors.Wrapf(err, "scan %s", prefix)
}

// ScanStale calls ScanStaleFunc, or ScanFunc where there is none.
func (cl *Client) ScanStale(ctx context.Context, prefix string) (Changes, error) {
	if cl.ScanStaleFunc == nil {
		return cl.Scan(ctx, prefix)
	}
	ch, err := cl.ScanStaleFunc(ctx, prefix)
	return ch, errors.Wrapf(err, "scan %s", prefix)
}

// Follow waits, for wait at most, until something under a prefix has changed
// after a version, and returns what has. No items mean that nothing did.
func (cl *Client) Follow(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	ch, err := cl.FollowFunc(ctx, prefix, after, wait)
	return ch, errors.Wrapf(err, "follow %s", prefix)
}
