package capacity

import (
	"context"
	"time"

	"wisteriacroft/keyvalue"
)

// storeClient returns a client of the key-value service that counts the node's calls, and fails while
// the service rejects the node. Waiting calls count as watches, and stale reads, which are billed at a
// tenth, as leases are.
func (no *node) storeClient(me *keyvalue.Memory) *keyvalue.Client {
	cl, counted := me.Client(), me.Client()
	counted.DeleteFunc = func(ctx context.Context, key string, expected int64) error {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Writes++ }); err != nil {
			return err
		}
		return cl.DeleteFunc(ctx, key, expected)
	}
	counted.FollowFunc = func(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Changes, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Watches++ }); err != nil {
			return keyvalue.Changes{}, err
		}
		return cl.FollowFunc(ctx, prefix, after, wait)
	}
	counted.GetFunc = func(ctx context.Context, key string) (keyvalue.Item, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Reads++ }); err != nil {
			return keyvalue.Item{}, err
		}
		return cl.GetFunc(ctx, key)
	}
	counted.GetStaleFunc = func(ctx context.Context, key string) (keyvalue.Item, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Leases++ }); err != nil {
			return keyvalue.Item{}, err
		}
		return cl.GetFunc(ctx, key)
	}
	counted.GrantFunc = func(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Writes++ }); err != nil {
			return 0, err
		}
		return cl.GrantFunc(ctx, ttl)
	}
	counted.KeepAliveFunc = func(ctx context.Context, id keyvalue.LeaseID) error {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Leases++ }); err != nil {
			return err
		}
		return cl.KeepAliveFunc(ctx, id)
	}
	counted.PutFunc = func(ctx context.Context, key string, value []byte, expected int64, id keyvalue.LeaseID) (int64, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Writes++ }); err != nil {
			return 0, err
		}
		return cl.PutFunc(ctx, key, value, expected, id)
	}
	counted.RevokeFunc = func(ctx context.Context, id keyvalue.LeaseID) error {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Writes++ }); err != nil {
			return err
		}
		return cl.RevokeFunc(ctx, id)
	}
	counted.ScanFunc = func(ctx context.Context, prefix string) (keyvalue.Changes, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Reads++ }); err != nil {
			return keyvalue.Changes{}, err
		}
		return cl.ScanFunc(ctx, prefix)
	}
	counted.ScanStaleFunc = func(ctx context.Context, prefix string) (keyvalue.Changes, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Leases++ }); err != nil {
			return keyvalue.Changes{}, err
		}
		return cl.ScanFunc(ctx, prefix)
	}
	counted.TransactFunc = func(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
		if err := no.count(func(ca *keyvalue.Calls) { ca.Writes++ }); err != nil {
			return 0, err
		}
		return cl.TransactFunc(ctx, tx)
	}
	return counted
}

// count counts a call to the key-value service. It returns an error if the service rejects the node.
func (no *node) count(change func(*keyvalue.Calls)) error {
	no.processor.use()
	no.mu.Lock()
	defer no.mu.Unlock()
	change(&no.calls)
	if no.rejected.Load() {
		return keyvalue.ErrUnavailable
	}
	return nil
}

// storeCalls returns the node's calls to the key-value service so far.
func (no *node) storeCalls() keyvalue.Calls {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.calls
}
