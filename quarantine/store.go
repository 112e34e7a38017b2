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

// Key is the key in the key-value service that holds the records of all processes.
// They fit one value, so that one call reads them and expired ones leave with the
// next write.
const Key = "wisteriacroft/quarantine"

const (
	// saveTimeout bounds one call of a save. A service that is 90 times slower than
	// usual answers in 0.4 s.
	saveTimeout = 600 * time.Millisecond
	// watchTime bounds one watch, and so how long a silent connection hides news.
	watchTime = 10 * time.Second
	// watchPause is the pause after a watch that failed.
	watchPause = time.Second
	// savePause is the pause before a save that failed is tried again.
	savePause = 200 * time.Millisecond
)

// A Store saves what this process has seen, so that it outlives the process and
// reaches the others.
type Store struct {
	Client *keyvalue.Client
	Log    *logrus.Entry
	// Rand shortens waits, so that processes that started together do not call
	// together; nil shortens none.
	Rand  *rand.Rand
	Table *Table
}

// watchJitter is the part of a watch's time that is drawn.
const watchJitter = 0.3

// watchTimeout returns how long the next watch may last.
func (ke *Store) watchTimeout() time.Duration {
	if ke.Rand == nil {
		return watchTime
	}
	return time.Duration(float64(watchTime) * (1 - watchJitter*ke.Rand.Float64()))
}

// Run saves new records until ctx ends. While the service is away it goes on
// trying.
func (ke *Store) Run(ctx context.Context) {
	kicks := ke.Table.awaitUnsaved()
	for {
		select {
		case <-ctx.Done():
			return
		case <-kicks:
		}
		failed := false
		for ctx.Err() == nil {
			err := ke.save(ctx)
			if (err != nil) != failed {
				failed = err != nil
				ke.Log.WithFields(logrus.Fields{"error": err, "records": len(ke.Table.Unsaved())}).Warn("quarantine saved")
			}
			if err == nil {
				break
			}
			pause(ctx, err)
		}
	}
}

// Follow takes in what others save until ctx ends, for a process that no other one
// feeds.
func (ke *Store) Follow(ctx context.Context) {
	var version int64
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, ke.watchTimeout())
		it, err := ke.Client.Watch(limited, Key, version)
		silent := limited.Err() != nil
		cancel()
		if silent {
			continue // nothing new, or the watch is silent
		}
		if err == nil {
			version = it.Version
			err = ke.Table.Load(it.Value, time.Now())
		}
		if err != nil {
			ke.Log.WithError(err).Warn("quarantine can't be followed")
			sleep(ctx, watchPause)
		}
	}
}

// pause waits before a save is tried again. One that another process was faster
// than goes on at once.
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

// save adds what is not saved to what the service holds. A write whose outcome is
// unknown fails, and the next save reads whether it took effect.
func (ke *Store) save(ctx context.Context) error {
	unsaved := ke.Table.Unsaved()
	if len(unsaved) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	version, err := ke.read(ctx)
	switch {
	case errors.Is(err, errUndecodable):
		ke.Log.WithError(err).Error("quarantine does not decode and is written anew")
	case err != nil:
		return err
	}
	value, err := cbor.Marshal(ke.Table.Records(time.Now()))
	if err != nil {
		return errors.Wrap(err, "encode the quarantine")
	}
	if _, err := ke.Client.Put(ctx, Key, value, version, 0); err != nil {
		return err
	}
	ke.Table.saved(unsaved)
	return nil
}

// errUndecodable means that the value under Key is no list of records.
var errUndecodable = errors.New("not decodable")

// read takes in what the service holds, and returns its version.
func (ke *Store) read(ctx context.Context) (int64, error) {
	it, err := ke.Client.Get(ctx, Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return 0, err
	}
	return it.Version, ke.Table.Load(it.Value, time.Now())
}

// Load merges what the service holds under Key. An empty value holds nothing.
func (ta *Table) Load(value []byte, now time.Time) error {
	if len(value) == 0 {
		return nil
	}
	var res []Record
	if err := cbor.Unmarshal(value, &res); err != nil {
		return errors.Wrapf(errUndecodable, "decode %s: %v", Key, err)
	}
	ta.Merge(res, now)
	ta.saved(res)
	return nil
}
