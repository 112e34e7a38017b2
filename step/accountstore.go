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

// accountInterval is the minimum interval of writing the account, always with other writes. A new
// scheduler may miss as much usage.
const accountInterval = time.Second

// accountMode is a canonical encoding, so that unchanged accounts can be detected.
var accountMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return mode
}()

// dueAccount returns the encoded account if it must be written now, or nil.
func (cu *customerUsage) dueAccount(now time.Time) []byte {
	if now.Sub(cu.savedAt) < accountInterval {
		return nil
	}
	sn := cu.account.Snapshot()
	if len(sn.Ahead) == 0 && len(cu.saved) == 0 {
		return nil
	}
	data, err := accountMode.Marshal(sn)
	if err != nil || bytes.Equal(data, cu.saved) {
		return nil // encoding numbers and strings never fails
	}
	return data
}

// accountWritten records that an account was written.
func (cu *customerUsage) accountWritten(data []byte, now time.Time) {
	if len(data) > 0 {
		cu.saved, cu.savedAt = data, now
	}
}

// restoreAccount loads the account of an earlier scheduler, so that customers keep their ranks. It
// makes no call unless a step has a customer.
func (sc *Scheduler) restoreAccount(ctx context.Context, te *term, accepted []*Step) error {
	sc.mu.Lock()
	first := !te.ready
	sc.mu.Unlock()
	if !first || !slices.ContainsFunc(accepted, func(st *Step) bool { return st.Customer != "" }) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, err := sc.Keeper.Account(ctx)
	if err != nil {
		return err
	}
	var sn fairshare.Snapshot
	if errDecode := cbor.Unmarshal(data, &sn); len(data) > 0 && errDecode != nil {
		sc.Log.WithError(errDecode).Warn("can't decode the customers' usage accounts; starting with empty ones")
		sn = fairshare.Snapshot{}
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te.table.usage.account.Restore(sn)
	te.table.usage.saved = data
	sc.Log.WithField("customers", len(sn.Ahead)).Info("customers' usage accounts restored")
	return nil
}

// Account returns the stored encoded account, or nil if there is none.
func (sto *Store) Account(ctx context.Context) ([]byte, error) {
	it, err := sto.Client.Get(ctx, accountKey)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return nil, err
	}
	sto.account.set(it.Version)
	return it.Value, nil
}

// writeAccount applies a transaction that replaces the account, with the expected version of
// the replaced one.
//
// Otherwise a write that timed out and was retried could still be applied after later writes,
// and restore an old account. After a conflict the transaction is retried with the current
// version unless it was applied already. It also expects the lease, so its account is the
// newest. Nothing else in it may depend on the replaced account.
func (sto *Store) writeAccount(ctx context.Context, tx keyvalue.Transaction) (done bool, err error) {
	expects := tx.Expects
	for range maxAccountTries {
		version, known := sto.account.get()
		if !known {
			if _, err = sto.Account(ctx); err != nil {
				return false, err
			}
			version, _ = sto.account.get()
		}
		tx.Expects = append(expects[:len(expects):len(expects)], keyvalue.Expectation{Key: accountKey, Version: version})
		written, err := sto.commit(ctx, tx)
		if err == nil {
			sto.account.set(written)
			return true, nil
		}
		sto.account.forget()
		if !errors.Is(err, keyvalue.ErrConflict) {
			return false, err
		}
		// An earlier try of the same update may have been applied.
		found, errGet := sto.appliedVersion(ctx, tx)
		if found != 0 || errGet != nil {
			return found != 0, errGet
		}
	}
	return false, keyvalue.ErrConflict
}

// maxAccountTries limits the attempts to write the account: one retry after a version conflict.
const maxAccountTries = 2

// An accountVersion is the version of the account's key, if known. It is safe for concurrent
// use. The zero value is unknown.
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
