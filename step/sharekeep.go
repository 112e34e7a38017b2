package step

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/fairshare"
	"wisteriacroft/keyvalue"
)

// accountEvery is how often what customers have had is kept, with other writes. A change of
// scheduler forgets as much time.
const accountEvery = time.Second

// accountMode encodes equal accounts equally, so that one that didn't change is not
// written again.
var accountMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return mode
}()

// due returns the account if it is to be kept now, or nil.
func (fs *fairShare) due(now time.Time) []byte {
	if now.Sub(fs.savedAt) < accountEvery {
		return nil
	}
	me := fs.account.Snapshot()
	if len(me.Ahead) == 0 && len(fs.saved) == 0 {
		return nil
	}
	data, err := accountMode.Marshal(me)
	if err != nil || bytes.Equal(data, fs.saved) {
		return nil // numbers and names can always be encoded
	}
	return data
}

// written takes in that an account is kept.
func (fs *fairShare) written(data []byte, now time.Time) {
	if len(data) > 0 {
		fs.saved, fs.savedAt = data, now
	}
}

// recall continues the account of an earlier scheduler. Otherwise, after each change of
// scheduler, a customer that had far more than its part would rank with all others again.
//
// Steps without customers have no account, and cost no call.
func (sc *Scheduler) recall(ctx context.Context, te *term, accepted []*Step) error {
	sc.mu.Lock()
	first := !te.ready
	sc.mu.Unlock()
	if !first || !slices.ContainsFunc(accepted, func(st *Step) bool { return st.Customer != "" }) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	data, err := sc.Keeper.Account(ctx)
	if err != nil {
		return err
	}
	var me fairshare.Snapshot
	if errDecode := cbor.Unmarshal(data, &me); len(data) > 0 && errDecode != nil {
		sc.Log.WithError(errDecode).Warn("customers' parts can't be read and begin anew")
		me = fairshare.Snapshot{}
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te.table.share.account.Restore(me)
	te.table.share.saved = data
	sc.Log.WithField("customers", len(me.Ahead)).Info("customers' parts are known again")
	return nil
}

// Account returns what earlier schedulers kept of customers' parts, or nothing.
func (ke *Store) Account(ctx context.Context) ([]byte, error) {
	it, err := ke.Client.Get(ctx, accountKey)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return nil, err
	}
	ke.account.set(it.Version)
	return it.Value, nil
}

// writeAccount applies a transaction that replaces the account, as one that expects the
// account that it replaces.
//
// Sequence: a write gets no answer and is sent once more, which succeeds. Others follow, and
// then the first one is applied: without the expectation, the account would be an old one
// again. After a conflict the same transaction is sent for the version that is there, unless
// it was applied before. As it also expects the lease, its account is the newest. So nothing
// else in it may depend on the account that it replaces.
func (ke *Store) writeAccount(ctx context.Context, tx keyvalue.Transaction) (done bool, err error) {
	expects := tx.Expects
	for range accountTries {
		version, known := ke.account.get()
		if !known {
			if _, err = ke.Account(ctx); err != nil {
				return false, err
			}
			version, _ = ke.account.get()
		}
		tx.Expects = append(expects[:len(expects):len(expects)], keyvalue.Expectation{Key: accountKey, Version: version})
		written, err := ke.commit(ctx, tx)
		if err == nil {
			ke.account.set(written)
			return true, nil
		}
		ke.account.forget()
		if !errors.Is(err, keyvalue.ErrConflict) {
			return false, err
		}
		// An earlier try of the same update may have been applied.
		found, errGet := ke.appliedVersion(ctx, tx)
		if found != 0 || errGet != nil {
			return found != 0, errGet
		}
	}
	return false, keyvalue.ErrConflict
}

// accountTries is how often a write of the account is tried: once more if the account was
// another than the one that was known.
const accountTries = 2

// An accountVersion is the version of the account's key, if it is known. The zero accountVersion isn't.
type accountVersion struct {
	known   bool
	mu      sync.Mutex
	version int64
}

func (av *accountVersion) set(version int64) {
	av.mu.Lock()
	defer av.mu.Unlock()
	av.known, av.version = true, version
}

func (av *accountVersion) forget() {
	av.mu.Lock()
	defer av.mu.Unlock()
	av.known = false
}

func (av *accountVersion) get() (version int64, known bool) {
	av.mu.Lock()
	defer av.mu.Unlock()
	return av.version, av.known
}
