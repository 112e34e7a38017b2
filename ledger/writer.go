// Package ledger keeps, in the key-value service, what must outlive the owner
// of a trainer's batches: one key for each trainer.
package ledger

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/keyvalue"
)

// prefix stands before a trainer's name in its key.
const prefix = "wisteriacroft/ledger/"

// maxTries bounds how often a write is tried again at another version before
// its caller hears of it.
const maxTries = 4

// Errors of a Writer, to be matched with errors.Is.
var (
	// ErrFenced means that a later owner has taken the record over: nothing
	// that this owner does may reach it any more.
	ErrFenced = errors.New("a later owner has taken the ledger over")
	// ErrNotAdopted means that a record is of another epoch than the adopted
	// one; nothing was written.
	ErrNotAdopted = errors.New("ledger is not adopted under this epoch")
)

// A Writer is one trainer's record as one owner writes it.
type Writer struct {
	Client  *keyvalue.Client
	Trainer string

	mu      sync.Mutex // one call at a time
	epoch   uint64
	version int64  // of the key, as last seen
	writer  string // id of this Writer, the same under each epoch
	writes  uint64 // counts the writes that this Writer has sent
}

// Read returns a trainer's record. A trainer without one has the zero Record.
func Read(ctx context.Context, cl *keyvalue.Client, trainer string) (Record, error) {
	st, err := load(ctx, cl, trainer)
	return st.record, err
}

// Adopt raises the record's epoch, after which no owner with a lower one can
// write, and returns the record. Unchanged means that the last write before
// was this Writer's own, so that what its owner holds in memory beyond the record is still true.
func (bo *Writer) Adopt(ctx context.Context, epoch uint64) (rec Record, unchanged bool, err error) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.writer == "" {
		bo.writer = uuid.NewString()
	}
	for range maxTries {
		st, err := load(ctx, bo.Client, bo.Trainer)
		if err != nil {
			return Record{}, false, err
		}
		if st.record.Epoch > epoch {
			return Record{}, false, errors.Wrapf(ErrFenced, "%s: epoch %d after %d", bo.Trainer, st.record.Epoch, epoch)
		}
		unchanged = st.writer == bo.writer
		bo.epoch, bo.version = epoch, st.version
		err = bo.put(ctx, st.record)
		if errors.Is(err, keyvalue.ErrConflict) {
			continue // the owner before us wrote between our read and our write
		}
		st.record.Epoch = epoch
		return st.record, unchanged, err
	}
	return Record{}, false, errors.Wrapf(keyvalue.ErrConflict, "adopt the ledger of %s", bo.Trainer)
}

// Write replaces the record. Its epoch must be the adopted one: a write that was
// prepared under an earlier epoch may lack what another owner wrote since.
//
// An answer may be lost after the write took effect, and a write of which
// nothing was heard may land later. Both would make the next write conflict
// with our own. The record therefore names its writer: on a conflict it is
// read, and a record of our own or of a lower epoch is written over, at the
// version just read. A lower epoch can stand there only if the service has
// gone back to an older state, which the write then mends.
func (bo *Writer) Write(ctx context.Context, rec Record) error {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.epoch == 0 || rec.Epoch != bo.epoch {
		return errors.Wrapf(ErrNotAdopted, "%s: epoch %d", bo.Trainer, rec.Epoch)
	}
	var err error
	for range maxTries {
		err = bo.put(ctx, rec)
		if !errors.Is(err, keyvalue.ErrConflict) {
			return err
		}
		st, errRead := load(ctx, bo.Client, bo.Trainer)
		if errRead != nil {
			return errRead
		}
		if bo.fenced(st) {
			return errors.Wrapf(ErrFenced, "%s: epoch %d after %d", bo.Trainer, st.record.Epoch, bo.epoch)
		}
		bo.version = st.version
	}
	return err
}

// fenced reports whether a state was written by a later owner.
func (bo *Writer) fenced(st state) bool {
	later := st.record.Epoch > bo.epoch
	rival := st.record.Epoch == bo.epoch && st.writer != bo.writer
	return later || rival
}

// put writes the record at the version last seen. A lost answer is settled by
// reading.
func (bo *Writer) put(ctx context.Context, rec Record) error {
	rec.Epoch = bo.epoch
	bo.writes++
	data, err := encode(state{record: rec, write: bo.writes, writer: bo.writer})
	if err != nil {
		return errors.Wrapf(err, "ledger of %s", bo.Trainer)
	}
	ve, err := bo.Client.Put(ctx, prefix+bo.Trainer, data, bo.version, 0)
	if err == nil {
		bo.version = ve
		return nil
	}
	if errors.IsAny(err, keyvalue.ErrConflict, keyvalue.ErrTooLarge, keyvalue.ErrUnavailable) {
		return err
	}
	st, errRead := load(ctx, bo.Client, bo.Trainer)
	if errRead != nil {
		return errors.CombineErrors(err, errRead)
	}
	if st.writer != bo.writer || st.write != bo.writes {
		return errors.Wrapf(keyvalue.ErrConflict, "ledger of %s", bo.Trainer)
	}
	bo.version = st.version
	return nil
}

// load reads a trainer's state. One that is missing is the zero state.
func load(ctx context.Context, cl *keyvalue.Client, trainer string) (state, error) {
	it, err := cl.Get(ctx, prefix+trainer)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return state{}, nil
	}
	if err != nil {
		return state{}, err
	}
	st, err := decode(it.Value)
	st.version = it.Version
	return st, errors.Wrapf(err, "decode %s", it.Key)
}
