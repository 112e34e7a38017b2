package lease

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// Prefixes of a name's keys: the record, which is deleted when the lease expires, and the epoch
// counter, which is permanent.
const (
	epochPrefix = "wisteriacroft/epoch/"
	leasePrefix = "wisteriacroft/lease/"
)

// errEpochRaised means that another process has raised the epoch meanwhile.
var errEpochRaised = errors.New("epoch raised by another process")

// A Record is the value of a lease's key, and, without Owner, of an epoch counter.
type Record struct {
	Epoch uint64 `json:"epoch"`
	ID    string `json:"id"`    // unique to one acquisition
	Owner string `json:"owner"` // the holder's address
}

// Current returns the record of the holder of a name, or keyvalue.ErrNotFound if there is none.
func Current(ctx context.Context, cl *keyvalue.Client, name string) (Record, error) {
	rec, _, err := read(ctx, cl, leaseKey(name))
	return rec, err
}

// currentStale is Current with a stale read, which may be some seconds old.
func currentStale(ctx context.Context, cl *keyvalue.Client, name string) (Record, error) {
	it, err := cl.GetStale(ctx, leaseKey(name))
	if err != nil {
		return Record{}, err
	}
	return decode(it)
}

func leaseKey(name string) string { return leasePrefix + name }

func read(ctx context.Context, cl *keyvalue.Client, key string) (Record, int64, error) {
	it, err := cl.Get(ctx, key)
	if err != nil {
		return Record{}, 0, err
	}
	rec, err := decode(it)
	return rec, it.Version, err
}

func decode(it keyvalue.Item) (Record, error) {
	var rec Record
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return Record{}, errors.Wrapf(err, "decode %s", it.Key)
	}
	return rec, nil
}

func encode(rec Record) []byte {
	data, err := json.Marshal(rec)
	if err != nil {
		panic(err) // a Record can always be encoded
	}
	return data
}

// outcomeUnknown reports whether a write that failed with err may have taken effect.
func outcomeUnknown(err error) bool {
	return err != nil && !errors.IsAny(err, keyvalue.ErrConflict,
		keyvalue.ErrLeaseExpired, keyvalue.ErrTooLarge, keyvalue.ErrUnavailable)
}

// raiseEpoch raises the epoch counter of name above both its value and seen, and returns the new
// epoch and the counter's previous ID. If the outcome of the write is unknown, it reads the counter
// and compares its ID.
func raiseEpoch(ctx context.Context, cl *keyvalue.Client, name, id string, seen uint64) (epoch uint64, before string, err error) {
	key := epochPrefix + name
	old, ve, err := read(ctx, cl, key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return 0, "", err
	}
	rec := Record{Epoch: max(old.Epoch, seen) + 1, ID: id}
	_, err = cl.Put(ctx, key, encode(rec), ve, 0)
	if !outcomeUnknown(err) {
		return rec.Epoch, old.ID, err
	}
	now, _, errRead := read(ctx, cl, key)
	if errRead == nil && now.ID == id {
		return rec.Epoch, old.ID, nil
	}
	return 0, "", errors.CombineErrors(err, errRead)
}

// confirmEpoch returns an error if the epoch counter of name was raised since the grant did.
func confirmEpoch(ctx context.Context, cl *keyvalue.Client, name string, gr grant) error {
	now, _, err := read(ctx, cl, epochPrefix+name)
	if err != nil {
		return err
	}
	if now.ID != gr.id {
		return errors.Wrapf(errEpochRaised, "%s is at epoch %d", name, now.Epoch)
	}
	return nil
}
