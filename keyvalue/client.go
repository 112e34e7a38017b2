// Package keyvalue is the client of the platform's key-value service, with an HTTP and an
// in-memory implementation.
package keyvalue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueSize is the maximum size of a value, in bytes.
const MaxValueSize = 1 << 20

// Errors of a Client, for errors.Is.
var (
	// ErrConflict means that the key is not at the expected version; nothing
	// was written.
	ErrConflict = errors.New("key is at another version")
	// ErrLeaseExpired means that the lease does not exist or has expired.
	ErrLeaseExpired = errors.New("lease has expired")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrTooLarge means that a value exceeds MaxValueSize, or a transaction
	// MaxTransaction; nothing was written.
	ErrTooLarge = errors.New("value is too large")
	// ErrUnavailable means that the service could not be reached; nothing was
	// written.
	ErrUnavailable = errors.New("key-value service is unavailable")
)

// A LeaseID identifies a lease. The zero LeaseID means no lease.
type LeaseID int64

// An Item is the value of a key at a version.
type Item struct {
	Key     string
	Lease   LeaseID
	Value   []byte
	Version int64 // of the whole service; increases with each write
}

// A Client calls the service. Tests and other protocols can replace its functions.
type Client struct {
	// DeleteFunc removes key if it is at version expected.
	DeleteFunc func(ctx context.Context, key string, expected int64) error
	// FollowFunc waits for changes under a prefix; see Follow.
	FollowFunc func(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// GetFunc returns the item of key, or ErrNotFound.
	GetFunc func(ctx context.Context, key string) (Item, error)
	// GetStaleFunc is a cheaper GetFunc whose item may be seconds old. Nil means GetFunc.
	GetStaleFunc func(ctx context.Context, key string) (Item, error)
	// GrantFunc creates a lease that expires after ttl unless renewed.
	GrantFunc func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAliveFunc renews a lease for its whole time to live.
	KeepAliveFunc func(ctx context.Context, id LeaseID) error
	// ListFunc returns the items whose keys start with prefix, sorted by key.
	ListFunc func(ctx context.Context, prefix string) ([]Item, error)
	// PutFunc writes value if key is at version expected (0: does not exist) and returns
	// the new version. With a lease, the key is deleted when the lease ends.
	PutFunc func(ctx context.Context, key string, value []byte, expected int64, lease LeaseID) (int64, error)
	// RevokeFunc ends a lease and removes its keys.
	RevokeFunc func(ctx context.Context, id LeaseID) error
	// ScanFunc lists a prefix together with the version to follow from.
	ScanFunc func(ctx context.Context, prefix string) (Changes, error)
	// ScanStaleFunc is a cheaper ScanFunc whose items may be seconds old. Nil means
	// ScanFunc.
	ScanStaleFunc func(ctx context.Context, prefix string) (Changes, error)
	// TransactFunc applies a transaction; see Transact.
	TransactFunc func(ctx context.Context, tx Transaction) (int64, error)
	// WatchFunc waits until key is at a version above after and returns its item, which
	// has a nil Value if the key was deleted. It returns ctx.Err() if ctx ends first.
	WatchFunc func(ctx context.Context, key string, after int64) (Item, error)

	contact contact
}

// Clone returns a client with the same functions.
func (cl *Client) Clone() *Client {
	return &Client{
		DeleteFunc: cl.DeleteFunc, FollowFunc: cl.FollowFunc, GetFunc: cl.GetFunc, GetStaleFunc: cl.GetStaleFunc, GrantFunc: cl.GrantFunc,
		KeepAliveFunc: cl.KeepAliveFunc, ListFunc: cl.ListFunc, PutFunc: cl.PutFunc, RevokeFunc: cl.RevokeFunc, ScanFunc: cl.ScanFunc,
		ScanStaleFunc: cl.ScanStaleFunc, TransactFunc: cl.TransactFunc, WatchFunc: cl.WatchFunc,
	}
}

// Delete calls DeleteFunc.
func (cl *Client) Delete(ctx context.Context, key string, expected int64) error {
	return cl.done(ctx, time.Now(), cl.DeleteFunc(ctx, key, expected), "delete %s", key)
}

// Get calls GetFunc.
func (cl *Client) Get(ctx context.Context, key string) (Item, error) {
	sent := time.Now()
	it, err := cl.GetFunc(ctx, key)
	return it, cl.done(ctx, sent, err, "get %s", key)
}

// GetStale calls GetStaleFunc, or GetFunc if that is nil.
func (cl *Client) GetStale(ctx context.Context, key string) (Item, error) {
	if cl.GetStaleFunc == nil {
		return cl.Get(ctx, key)
	}
	it, err := cl.GetStaleFunc(ctx, key)
	return it, errors.Wrapf(err, "get %s", key)
}

// Grant calls GrantFunc.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	sent := time.Now()
	id, err := cl.GrantFunc(ctx, ttl)
	return id, cl.done(ctx, sent, err, "grant a lease")
}

// KeepAlive calls KeepAliveFunc.
func (cl *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return cl.done(ctx, time.Now(), cl.KeepAliveFunc(ctx, id), "keep lease %d alive", id)
}

// List calls ListFunc.
func (cl *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	sent := time.Now()
	its, err := cl.ListFunc(ctx, prefix)
	return its, cl.done(ctx, sent, err, "list %s", prefix)
}

// Put calls PutFunc. It returns ErrTooLarge for a value larger than MaxValueSize.
func (cl *Client) Put(
	ctx context.Context, key string, value []byte, expected int64, lease LeaseID,
) (int64, error) {
	if len(value) > MaxValueSize {
		return 0, errors.Wrapf(ErrTooLarge, "put %s: %d bytes", key, len(value))
	}
	sent := time.Now()
	ve, err := cl.PutFunc(ctx, key, value, expected, lease)
	return ve, cl.done(ctx, sent, err, "put %s", key)
}

// Revoke calls RevokeFunc.
func (cl *Client) Revoke(ctx context.Context, id LeaseID) error {
	return cl.done(ctx, time.Now(), cl.RevokeFunc(ctx, id), "revoke lease %d", id)
}

// Watch calls WatchFunc.
func (cl *Client) Watch(ctx context.Context, key string, after int64) (Item, error) {
	sent := time.Now()
	it, err := cl.WatchFunc(ctx, key, after)
	return it, cl.done(ctx, sent, err, "watch %s", key)
}
