package usage

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/keyvalue"
)

// read returns what lasts, and its version.
func (ho *Holder) read(ctx context.Context) (Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	it, err := ho.Client.Get(ctx, Key)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var rec Record
	err = cbor.Unmarshal(it.Value, &rec)
	return rec, it.Version, errors.Wrapf(err, "decode %s", Key)
}

// write writes what the book holds, which the service refuses to anyone but the
// holder, and returns whether it was applied.
func (ho *Holder) write(ctx context.Context) bool {
	ho.mu.Lock()
	epoch, version, sent := ho.epoch, ho.version, ho.steady()
	rec := ho.book.record.clone()
	rec.Epoch, rec.Sender = epoch, ho.Owner
	ho.book.dirty, ho.savedAt = false, sent
	ho.mu.Unlock()
	version, err := ho.put(ctx, epoch, version, rec)
	ho.mu.Lock()
	defer ho.mu.Unlock()
	switch {
	case ho.epoch != epoch:
		return false
	case err == nil:
		ho.durable, ho.version = rec, version
		ho.turn.confirm(sent)
		return true
	}
	ho.book.dirty = true
	ho.pause()
	ho.Log.WithError(err).WithField("epoch", epoch).Warn("counts of use can't be written")
	if errors.Is(err, errOvertaken) {
		ho.epoch = 0 // what lasts is another's: it is read again, if the lease is still held
	}
	return false
}

// errOvertaken means that another process has written.
var errOvertaken = errors.New("another process has written")

// put writes a record under the fence.
//
// An answer may be lost after the write took effect, and the next one then finds a
// version that it did not expect. The record's epoch tells that it is this holder's own.
// A decision is never changed once it is in the book, so that whichever of a holder's
// writes came last holds the same decisions as this one, or fewer.
func (ho *Holder) put(ctx context.Context, epoch uint64, version int64, rec Record) (int64, error) {
	fence, ok := ho.FenceFunc(epoch)
	if !ok {
		return 0, errors.Wrap(errOvertaken, "the lease is gone")
	}
	value, err := cbor.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := ho.Client.Transact(limited, keyvalue.Transaction{
		Expects: []keyvalue.Expectation{fence, {Key: Key, Version: version}},
		Writes:  []keyvalue.Write{{Key: Key, Value: value}},
	})
	if err == nil || !errors.Is(err, keyvalue.ErrConflict) {
		return next, err
	}
	now, found, errRead := ho.read(ctx)
	switch {
	case errRead != nil:
		return 0, errRead
	case now.Epoch == epoch && now.Sender == rec.Sender && found != version:
		ho.adopt(found)
		return 0, errors.Wrap(err, "an earlier write came after all")
	default:
		return 0, errors.Wrapf(errOvertaken, "%s of epoch %d", now.Sender, now.Epoch)
	}
}

// adopt notes the version that an earlier write of this holder made.
func (ho *Holder) adopt(version int64) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.version = version
}
