package capacity

import (
	"context"
	"time"

	"wisteriacroft/keyvalue"
)

// storeClient returns a client of the key-value service that counts the node's calls. Waiting calls
// count as watches, and stale reads, which are billed at a tenth, as leases are.
func (no *node) storeClient(me *keyvalue.Memory) *keyvalue.Client {
	cl, counted := me.Client(), me.Client()
	counted.DeleteFunc = func(ctx context.Context, key string, expected int64) error {
		no.count(func(ca *keyvalue.Calls) { ca.Writes++ })
		return cl.DeleteFunc(ctx, key, expected)
	}
	counted.FollowFunc = func(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Changes, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Watches++ })
		return cl.FollowFunc(ctx, prefix, after, wait)
	}
	counted.GetFunc = func(ctx context.Context, key string) (keyvalue.Item, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Reads++ })
		return cl.GetFunc(ctx, key)
	}
	counted.GetStaleFunc = func(ctx context.Context, key string) (keyvalue.Item, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Leases++ })
		return cl.GetFunc(ctx, key)
	}
	counted.GrantFunc = func(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Writes++ })
		return cl.GrantFunc(ctx, ttl)
	}
	counted.KeepAliveFunc = func(ctx context.Context, id keyvalue.LeaseID) error {
		no.count(func(ca *keyvalue.Calls) { ca.Leases++ })
		return cl.KeepAliveFunc(ctx, id)
	}
	counted.PutFunc = func(ctx context.Context, key string, value []byte, expected int64, id keyvalue.LeaseID) (int64, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Writes++ })
		return cl.PutFunc(ctx, key, value, expected, id)
	}
	counted.RevokeFunc = func(ctx context.Context, id keyvalue.LeaseID) error {
		no.count(func(ca *keyvalue.Calls) { ca.Writes++ })
		return cl.RevokeFunc(ctx, id)
	}
	counted.ScanFunc = func(ctx context.Context, prefix string) (keyvalue.Changes, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Reads++ })
		return cl.ScanFunc(ctx, prefix)
	}
	counted.ScanStaleFunc = func(ctx context.Context, prefix string) (keyvalue.Changes, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Leases++ })
		return cl.ScanFunc(ctx, prefix)
	}
	counted.TransactFunc = func(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
		no.count(func(ca *keyvalue.Calls) { ca.Writes++ })
		return cl.TransactFunc(ctx, tx)
	}
	return counted
}

// count counts a call to the key-value service.
func (no *node) count(change func(*keyvalue.Calls)) {
	no.mu.Lock()
	defer no.mu.Unlock()
	change(&no.calls)
}

// storeCalls returns the node's calls to the key-value service so far.
func (no *node) storeCalls() keyvalue.Calls {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.calls
}
