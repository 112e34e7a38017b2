package keyvalue

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"
)

// A Calls counts the calls to a Memory by kind.
type Calls struct {
	Leases  int64
	Reads   int64
	Watches int64
	Writes  int64
}

// A Faults configures the faults that a Memory injects. The zero Faults injects none.
type Faults struct {
	// Delay is added to each call.
	Delay time.Duration
	// LoseAnswers makes each write take effect and return ErrOutcomeUnknown.
	LoseAnswers bool
	// Outage makes each call return ErrUnavailable. Leases continue to expire.
	Outage bool
}

type memoryLease struct {
	expires time.Time
	ttl     time.Duration
}

// A Memory is an in-memory key-value service for stand-ins and tests. The zero Memory is
// empty and ready to use. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	calls   Calls
	changed chan struct{}
	faults  Faults
	items   map[string]Item
	deleted map[string]int64

	droppedVersion int64 // version up to which the history was dropped
	history        []Item
	lastID         LeaseID
	leases         map[LeaseID]memoryLease
	version        int64
}

// Client returns a Client of the service.
func (me *Memory) Client() *Client {
	return &Client{
		DeleteFunc:    me.delete,
		FollowFunc:    me.follow,
		GetFunc:       me.get,
		GrantFunc:     me.grant,
		KeepAliveFunc: me.keepAlive,
		ListFunc:      me.list,
		PutFunc:       me.put,
		RevokeFunc:    me.revoke,
		ScanFunc:      me.scan,
		TransactFunc:  me.transact,
		WatchFunc:     me.watch,
	}
}

// Calls returns the number of calls of each kind so far.
func (me *Memory) Calls() Calls {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.calls
}

// SetFaults replaces the injected faults.
func (me *Memory) SetFaults(fa Faults) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.faults = fa
	me.wake()
}

// wake wakes the waiting watches. The caller holds mu.
func (me *Memory) wake() {
	if me.changed != nil {
		close(me.changed)
	}
	me.changed = make(chan struct{})
}

// beginCall starts a call: it counts the call, waits for the delay and expires leases. It
// returns ErrUnavailable in an outage. If it returns nil, the caller holds mu.
func (me *Memory) beginCall(ctx context.Context, count func(*Calls)) error {
	me.mu.Lock()
	delay := me.faults.Delay
	count(&me.calls)
	me.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	me.mu.Lock()
	if me.items == nil {
		me.items = map[string]Item{}
		me.deleted = map[string]int64{}
		me.leases = map[LeaseID]memoryLease{}
		me.wake()
	}
	me.expire(time.Now())
	if me.faults.Outage {
		me.mu.Unlock()
		return ErrUnavailable
	}
	return nil
}

// A Copy is a snapshot of a Memory.
type Copy struct {
	items   map[string]Item
	version int64
}

// Copy returns a snapshot.
func (me *Memory) Copy() Copy {
	me.mu.Lock()
	defer me.mu.Unlock()
	return Copy{items: maps.Clone(me.items), version: me.version}
}

// Restore replaces the items and the version by those of a snapshot, as a restore from a
// backup does. The history and all leases are lost.
func (me *Memory) Restore(co Copy) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.items, me.version = maps.Clone(co.items), co.version
	me.deleted, me.leases = map[string]int64{}, map[LeaseID]memoryLease{}
	me.history, me.droppedVersion = nil, co.version
	me.wake()
}

func (me *Memory) expire(now time.Time) {
	for id, le := range me.leases {
		if now.After(le.expires) {
			me.dropLease(id)
		}
	}
}

func (me *Memory) dropLease(id LeaseID) {
	delete(me.leases, id)
	for key, it := range me.items {
		if it.Lease == id {
			me.remove(key)
		}
	}
}

func (me *Memory) remove(key string) {
	me.version++
	delete(me.items, key)
	me.deleted[key] = me.version
	me.record(Item{Key: key, Version: me.version})
	me.wake()
}

// outcome returns the error of a write that took effect. The caller holds mu.
func (me *Memory) outcome() error {
	if me.faults.LoseAnswers {
		return ErrOutcomeUnknown
	}
	return nil
}

func countLease(ca *Calls) { ca.Leases++ }
func countRead(ca *Calls)  { ca.Reads++ }
func countWatch(ca *Calls) { ca.Watches++ }
func countWrite(ca *Calls) { ca.Writes++ }

func (me *Memory) get(ctx context.Context, key string) (Item, error) {
	if err := me.beginCall(ctx, countRead); err != nil {
		return Item{}, err
	}
	defer me.mu.Unlock()
	it, ok := me.items[key]
	if !ok {
		return Item{}, ErrNotFound
	}
	return it, nil
}

func (me *Memory) list(ctx context.Context, prefix string) ([]Item, error) {
	if err := me.beginCall(ctx, countRead); err != nil {
		return nil, err
	}
	defer me.mu.Unlock()
	var its []Item
	for key, it := range me.items {
		if strings.HasPrefix(key, prefix) {
			its = append(its, it)
		}
	}
	sort.Slice(its, func(i, j int) bool { return its[i].Key < its[j].Key })
	return its, nil
}

func (me *Memory) put(
	ctx context.Context, key string, value []byte, expected int64, lease LeaseID,
) (int64, error) {
	if err := me.beginCall(ctx, countWrite); err != nil {
		return 0, err
	}
	defer me.mu.Unlock()
	if me.items[key].Version != expected {
		return 0, ErrConflict
	}
	if _, ok := me.leases[lease]; lease != 0 && !ok {
		return 0, ErrLeaseExpired
	}
	me.version++
	me.items[key] = Item{
		Key:     key,
		Lease:   lease,
		Value:   append([]byte{}, value...),
		Version: me.version,
	}
	me.record(me.items[key])
	me.wake()
	return me.version, me.outcome()
}

func (me *Memory) delete(ctx context.Context, key string, expected int64) error {
	if err := me.beginCall(ctx, countWrite); err != nil {
		return err
	}
	defer me.mu.Unlock()
	it, ok := me.items[key]
	if !ok {
		return ErrNotFound
	}
	if it.Version != expected {
		return ErrConflict
	}
	me.remove(key)
	return me.outcome()
}

func (me *Memory) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := me.beginCall(ctx, countLease); err != nil {
		return 0, err
	}
	defer me.mu.Unlock()
	me.lastID++
	me.leases[me.lastID] = memoryLease{expires: time.Now().Add(ttl), ttl: ttl}
	return me.lastID, me.outcome()
}

func (me *Memory) keepAlive(ctx context.Context, id LeaseID) error {
	if err := me.beginCall(ctx, countLease); err != nil {
		return err
	}
	defer me.mu.Unlock()
	le, ok := me.leases[id]
	if !ok {
		return ErrLeaseExpired
	}
	le.expires = time.Now().Add(le.ttl)
	me.leases[id] = le
	return me.outcome()
}

func (me *Memory) revoke(ctx context.Context, id LeaseID) error {
	if err := me.beginCall(ctx, countLease); err != nil {
		return err
	}
	defer me.mu.Unlock()
	if _, ok := me.leases[id]; !ok {
		return ErrLeaseExpired
	}
	me.dropLease(id)
	return me.outcome()
}

func (me *Memory) watch(ctx context.Context, key string, after int64) (Item, error) {
	if err := me.beginCall(ctx, countWatch); err != nil {
		return Item{}, err
	}
	for {
		me.expire(time.Now())
		if me.faults.Outage {
			me.mu.Unlock()
			return Item{}, ErrUnavailable
		}
		if it := me.items[key]; it.Version > after {
			me.mu.Unlock()
			return it, nil
		}
		if ve := me.deleted[key]; ve > after {
			me.mu.Unlock()
			return Item{Key: key, Version: ve}, nil
		}
		changed := me.changed
		me.mu.Unlock()
		select {
		case <-ctx.Done():
			return Item{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Second): // leases expire without a write
		}
		me.mu.Lock()
	}
}
