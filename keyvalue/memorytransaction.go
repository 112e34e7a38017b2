package keyvalue

import (
	"context"
	"strings"
	"time"
)

func (me *Memory) transact(ctx context.Context, tx Transaction) (int64, error) {
	if err := me.beginCall(ctx, countWrite); err != nil {
		return 0, err
	}
	defer me.mu.Unlock()
	for _, ex := range tx.Expects {
		if me.items[ex.Key].Version != ex.Version {
			return 0, ErrConflict
		}
	}
	for _, wr := range tx.Writes {
		if _, ok := me.leases[wr.Lease]; wr.Lease != 0 && !ok {
			return 0, ErrLeaseExpired
		}
	}
	me.version++
	for _, wr := range tx.Writes {
		it := Item{Key: wr.Key, Lease: wr.Lease, Value: append([]byte{}, wr.Value...), Version: me.version}
		me.items[wr.Key] = it
		me.record(it)
	}
	for _, key := range tx.Deletes {
		delete(me.items, key)
		me.deleted[key] = me.version
		me.record(Item{Key: key, Version: me.version})
	}
	me.wake()
	return me.version, me.outcome()
}

func (me *Memory) scan(ctx context.Context, prefix string) (Changes, error) {
	its, err := me.list(ctx, prefix)
	if err != nil {
		return Changes{}, err
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	return Changes{Items: its, Version: me.version}, nil
}

func (me *Memory) follow(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	if err := me.beginCall(ctx, countWatch); err != nil {
		return Changes{}, err
	}
	defer me.mu.Unlock()
	end := time.Now().Add(wait)
	for {
		me.expire(time.Now())
		if me.faults.Outage {
			return Changes{}, ErrUnavailable
		}
		if after < me.droppedVersion {
			return Changes{}, ErrHistoryGone
		}
		ch := Changes{Items: me.changesAfter(prefix, after), Version: me.version}
		left := time.Until(end)
		if len(ch.Items) > 0 || left <= 0 {
			return ch, nil
		}
		changed := me.changed
		me.mu.Unlock()
		err := waitForChange(ctx, changed, min(left, time.Second)) // leases expire without a write
		me.mu.Lock()
		if err != nil {
			return Changes{}, err
		}
	}
}

func waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-time.After(wait):
	}
	return nil
}

// changesAfter returns the changes under a prefix after a version, in order. The caller
// holds mu.
func (me *Memory) changesAfter(prefix string, after int64) []Item {
	var its []Item
	for _, it := range me.history {
		if strings.HasPrefix(it.Key, prefix) && it.Version > after {
			its = append(its, it)
		}
	}
	return its
}

// record appends a change to the history, which keeps the newest maxHistory changes. The
// caller holds mu.
func (me *Memory) record(it Item) {
	me.history = append(me.history, it)
	if drop := len(me.history) - maxHistory; drop > 0 {
		me.droppedVersion = me.history[drop-1].Version
		me.history = append([]Item(nil), me.history[drop:]...)
	}
}

// maxHistory is the number of changes that are kept for Follow.
const maxHistory = 4096

// Forget drops the history, so that Follow from an older version returns ErrHistoryGone.
func (me *Memory) Forget() {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.droppedVersion = me.version + 1
	me.version++
	me.wake()
}
