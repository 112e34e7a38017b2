package quarantine

import (
	"context"
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
	// savePause is the pause before a save that failed is tried again.
	savePause = 200 * time.Millisecond
)

// A Keeper saves what this process has seen, so that it outlives the process and
// reaches the others.
type Keeper struct {
	Client *keyvalue.Client
	Log    *logrus.Entry
	Table  *Table
}

// Run saves new records until ctx ends. While the service is away it goes on
// trying.
func (ke *Keeper) Run(ctx context.Context) {
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

// pause waits before a save is tried again. One that another process was faster
// than goes on at once.
func pause(ctx context.Context, err error) {
	if errors.Is(err, keyvalue.ErrConflict) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(savePause):
	}
}

// save adds what is not saved to what the service holds. A write whose outcome is
// unknown fails, and the next save reads whether it took effect.
func (ke *Keeper) save(ctx context.Context) error {
	unsaved := ke.Table.Unsaved()
	if len(unsaved) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	it, err := ke.Client.Get(ctx, Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	if err := ke.Table.Load(it.Value, time.Now()); err != nil {
		ke.Log.WithError(err).Error("quarantine does not decode and is written anew")
	}
	value, err := cbor.Marshal(ke.Table.Records(time.Now()))
	if err != nil {
		return errors.Wrap(err, "encode the quarantine")
	}
	if _, err := ke.Client.Put(ctx, Key, value, it.Version, 0); err != nil {
		return err
	}
	ke.Table.saved(unsaved)
	return nil
}

// Load merges what the service holds under Key. An empty value holds nothing.
func (ta *Table) Load(value []byte, now time.Time) error {
	if len(value) == 0 {
		return nil
	}
	var res []Record
	if err := cbor.Unmarshal(value, &res); err != nil {
		return errors.Wrapf(err, "decode %s", Key)
	}
	ta.Merge(res, now)
	ta.saved(res)
	return nil
}
