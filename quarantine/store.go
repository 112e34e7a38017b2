package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// Key is the key of the records in the key-value service. All records are in one value, so that
// one call reads them, and a write removes the expired ones.
const Key = "wisteriacroft/quarantine"

const (
	// saveTimeout bounds one call of a save. A service that is 90 times slower than usual responds in 0.4 s.
	saveTimeout = 600 * time.Millisecond
	// watchTime bounds one watch, and so how long a dead connection delays updates.
	watchTime = 10 * time.Second
	// watchPause is the pause after a failed watch.
	watchPause = time.Second
	// savePause is the pause before a failed save is retried.
	savePause = 200 * time.Millisecond
)

// A Store saves a table's records in the key-value service and loads those of other processes.
type Store struct {
	Client *keyvalue.Client
	Log    *logrus.Entry
	// Rand is the source of jitter for watches; nil disables it.
	Rand  *rand.Rand
	Table *Table
}

// watchJitter is the random fraction of watchTime.
const watchJitter = 0.3

// watchTimeout returns the timeout of the next watch.
func (st *Store) watchTimeout() time.Duration {
	if st.Rand == nil {
		return watchTime
	}
	return time.Duration(float64(watchTime) * (1 - watchJitter*st.Rand.Float64()))
}

// Run saves new records until ctx ends. Failed saves are retried.
func (st *Store) Run(ctx context.Context) {
	unsaved := st.Table.unsavedSignal()
	for {
		select {
		case <-ctx.Done():
			return
		case <-unsaved:
		}
		failed := false
		for ctx.Err() == nil {
			err := st.save(ctx)
			if (err != nil) != failed {
				failed = err != nil
				st.Log.WithFields(logrus.Fields{"error": err, "records": len(st.Table.Unsaved())}).Warn("quarantine saved")
			}
			if err == nil {
				break
			}
			pause(ctx, err)
		}
	}
}

// Follow merges the records that others save until ctx ends, for a process without a feeder.
func (st *Store) Follow(ctx context.Context) {
	var version int64
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, st.watchTimeout())
		it, err := st.Client.Watch(limited, Key, version)
		silent := limited.Err() != nil
		cancel()
		if silent {
			continue // no changes, or a dead connection
		}
		if err == nil {
			version = it.Version
			err = st.Table.Load(it.Value, time.Now())
		}
		if err != nil {
			st.Log.WithError(err).Warn("cannot watch the quarantine")
			sleep(ctx, watchPause)
		}
	}
}

// pause waits before a save is retried. After a conflict it does not wait.
func pause(ctx context.Context, err error) {
	if errors.Is(err, keyvalue.ErrConflict) {
		return
	}
	sleep(ctx, savePause)
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// save merges the unsaved records with the stored ones and writes them. If the outcome of the write
// is unknown, it fails, and the next save reads whether it took effect.
func (st *Store) save(ctx context.Context) error {
	unsaved := st.Table.Unsaved()
	if len(unsaved) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	version, err := st.read(ctx)
	switch {
	case errors.Is(err, errUndecodable):
		st.Log.WithError(err).Error("cannot decode quarantine, overwriting it")
	case err != nil:
		return err
	}
	value, err := cbor.Marshal(st.Table.Records(time.Now()))
	if err != nil {
		return errors.Wrap(err, "encode the quarantine")
	}
	if _, err := st.Client.Put(ctx, Key, value, version, 0); err != nil {
		return err
	}
	st.Table.markSaved(unsaved)
	return nil
}

// errUndecodable means that the value of Key cannot be decoded.
var errUndecodable = errors.New("not decodable")

// read merges the stored records into the table, and returns the version of the key.
func (st *Store) read(ctx context.Context) (int64, error) {
	it, err := st.Client.Get(ctx, Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return 0, err
	}
	return it.Version, st.Table.Load(it.Value, time.Now())
}

// Load merges the records of a stored value into the table. An empty value has none.
func (ta *Table) Load(value []byte, now time.Time) error {
	if len(value) == 0 {
		return nil
	}
	var res []Record
	if err := cbor.Unmarshal(value, &res); err != nil {
		return errors.Wrapf(errUndecodable, "decode %s: %v", Key, err)
	}
	ta.Merge(res, now)
	ta.markSaved(res)
	return nil
}
