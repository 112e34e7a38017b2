package keyvalue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone means that the service no longer has the changes since the version
// passed to Follow. The caller has to scan the prefix again.
var ErrHistoryGone = errors.New("history is no longer held")

// An Expectation is a precondition of a Transaction: the key must be at the version.
// Version 0 means that the key must not exist.
type Expectation struct {
	Key     string
	Version int64
}

// A Write is one key that a Transaction sets.
type Write struct {
	Key   string
	Lease LeaseID // the key is deleted with it; 0 means no lease
	Value []byte
}

// MaxTransaction is the maximum total of expectations, writes and deletes in a
// Transaction.
const MaxTransaction = 32

// A Transaction is applied atomically.
type Transaction struct {
	Deletes []string
	Expects []Expectation
	Writes  []Write
}

// Size returns the total of expectations, writes and deletes.
func (tx Transaction) Size() int { return len(tx.Deletes) + len(tx.Expects) + len(tx.Writes) }

// Changes are the items under a prefix, or those that changed, as of Version. A deleted
// item has a nil Value.
type Changes struct {
	Items   []Item
	Version int64 // to continue from
}

// Transact applies a transaction and returns the version of its writes. It returns
// ErrConflict if an expectation is not met.
func (cl *Client) Transact(ctx context.Context, tx Transaction) (int64, error) {
	if tx.Size() > MaxTransaction {
		return 0, errors.Wrapf(ErrTooLarge, "transact: %d of at most %d entries", tx.Size(), MaxTransaction)
	}
	for _, wr := range tx.Writes {
		if len(wr.Value) > MaxValueSize {
			return 0, errors.Wrapf(ErrTooLarge, "transact %s: %d bytes", wr.Key, len(wr.Value))
		}
	}
	sent := time.Now()
	ve, err := cl.TransactFunc(ctx, tx)
	return ve, cl.done(ctx, sent, err, "transact")
}

// Scan returns all items under a prefix and the version to follow from. Changes during
// the scan may or may not be included; Follow from that version returns them again.
func (cl *Client) Scan(ctx context.Context, prefix string) (Changes, error) {
	sent := time.Now()
	ch, err := cl.ScanFunc(ctx, prefix)
	return ch, cl.done(ctx, sent, err, "scan %s", prefix)
}

// ScanStale calls ScanStaleFunc, or ScanFunc if that is nil.
func (cl *Client) ScanStale(ctx context.Context, prefix string) (Changes, error) {
	if cl.ScanStaleFunc == nil {
		return cl.Scan(ctx, prefix)
	}
	ch, err := cl.ScanStaleFunc(ctx, prefix)
	return ch, errors.Wrapf(err, "scan %s", prefix)
}

// Follow waits at most wait for changes under a prefix after a version, and returns them.
// It returns no items if nothing changed.
func (cl *Client) Follow(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	sent := time.Now()
	ch, err := cl.FollowFunc(ctx, prefix, after, wait)
	return ch, cl.done(ctx, sent, err, "follow %s", prefix)
}
