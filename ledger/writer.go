// Package ledger stores the state of trainers' batches in the key-value service, one key
// per trainer, so that a new owner can continue them.
package ledger

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/keyvalue"
)

// prefix is the key prefix; the trainer's name follows.
const prefix = "wisteriacroft/ledger/"

// maxAttempts bounds the attempts of a write after version conflicts.
const maxAttempts = 4

// Errors of a Writer, for errors.Is.
var (
	// ErrFenced means that a later owner has adopted the record, so that this owner can no
	// longer write it.
	ErrFenced = errors.New("a later owner has taken the ledger over")
	// ErrNotAdopted means that the record's epoch is not the adopted one; nothing was
	// written.
	ErrNotAdopted = errors.New("ledger is not adopted under this epoch")
)

// A Writer writes one trainer's record on behalf of one owner. It is safe for concurrent
// use.
type Writer struct {
	Client  *keyvalue.Client
	Trainer string

	mu      sync.Mutex // serializes calls
	epoch   uint64
	version int64  // last known version of the key
	writer  string // ID of this Writer, the same in all epochs
	writes  uint64 // number of writes sent
}

// Read returns a trainer's record. A trainer without one has the zero Record.
func Read(ctx context.Context, cl *keyvalue.Client, trainer string) (Record, error) {
	st, err := load(ctx, cl, trainer)
	return st.record, err
}

// Adopt raises the record's epoch, which fences owners with a lower one, and returns the
// record. Unchanged means that the previous write was this Writer's own, so that its
// owner's in-memory state is still valid.
func (wr *Writer) Adopt(ctx context.Context, epoch uint64) (rec Record, unchanged bool, err error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.writer == "" {
		wr.writer = uuid.NewString()
	}
	for range maxAttempts {
		st, err := load(ctx, wr.Client, wr.Trainer)
		if err != nil {
			return Record{}, false, err
		}
		if st.record.Epoch > epoch {
			return Record{}, false, errors.Wrapf(ErrFenced, "%s: epoch %d after %d", wr.Trainer, st.record.Epoch, epoch)
		}
		unchanged = st.writer == wr.writer
		wr.epoch, wr.version = epoch, st.version
		err = wr.put(ctx, st.record)
		if errors.Is(err, keyvalue.ErrConflict) {
			continue // the previous owner wrote between the read and the write
		}
		st.record.Epoch = epoch
		return st.record, unchanged, err
	}
	return Record{}, false, errors.Wrapf(keyvalue.ErrConflict, "adopt the ledger of %s", wr.Trainer)
}

// Write replaces the record. Its epoch must be the adopted one: a record prepared in an
// earlier epoch may lack another owner's writes.
//
// A write may take effect although its response is lost, and may do so late. The next
// write then conflicts with this Writer's own. On a conflict the record is therefore read
// again and overwritten if this Writer wrote it, or if its epoch is lower, which happens
// only after the service was restored from a backup.
func (wr *Writer) Write(ctx context.Context, rec Record) error {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.epoch == 0 || rec.Epoch != wr.epoch {
		return errors.Wrapf(ErrNotAdopted, "%s: epoch %d", wr.Trainer, rec.Epoch)
	}
	var err error
	for range maxAttempts {
		err = wr.put(ctx, rec)
		if !errors.Is(err, keyvalue.ErrConflict) {
			return err
		}
		st, errRead := load(ctx, wr.Client, wr.Trainer)
		if errRead != nil {
			return errRead
		}
		if wr.fenced(st) {
			return errors.Wrapf(ErrFenced, "%s: epoch %d after %d", wr.Trainer, st.record.Epoch, wr.epoch)
		}
		wr.version = st.version
	}
	return err
}

// fenced reports whether a state was written by a later owner.
func (wr *Writer) fenced(st state) bool {
	later := st.record.Epoch > wr.epoch
	rival := st.record.Epoch == wr.epoch && st.writer != wr.writer
	return later || rival
}

// put writes the record at the last known version. If the outcome is unknown, it reads
// the record to determine it.
func (wr *Writer) put(ctx context.Context, rec Record) error {
	rec.Epoch = wr.epoch
	wr.writes++
	data, err := encode(state{record: rec, write: wr.writes, writer: wr.writer})
	if err != nil {
		return errors.Wrapf(err, "ledger of %s", wr.Trainer)
	}
	ve, err := wr.Client.Put(ctx, prefix+wr.Trainer, data, wr.version, 0)
	if err == nil {
		wr.version = ve
		return nil
	}
	if errors.IsAny(err, keyvalue.ErrConflict, keyvalue.ErrTooLarge, keyvalue.ErrUnavailable) {
		return err
	}
	st, errRead := load(ctx, wr.Client, wr.Trainer)
	if errRead != nil {
		return errors.CombineErrors(err, errRead)
	}
	if st.writer != wr.writer || st.write != wr.writes {
		return errors.Wrapf(keyvalue.ErrConflict, "ledger of %s", wr.Trainer)
	}
	wr.version = st.version
	return nil
}

// load reads a trainer's state. It returns the zero state if there is none.
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
