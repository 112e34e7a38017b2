package standin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/keyvalue"
	"wisteriacroft/unit"
)

// A keyValue serves a keyvalue.Memory over HTTP.
type keyValue struct {
	faults
	mu            sync.Mutex
	previousCalls keyvalue.Calls // of memories that a restore replaced
	memory        *keyvalue.Memory
	snapshot      []keyvalue.Item
}

// current returns the current memory.
func (kv *keyValue) current() *keyvalue.Memory {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.memory == nil {
		kv.memory = &keyvalue.Memory{}
	}
	return kv.memory
}

// calls returns how many calls were served, without those of restores.
func (kv *keyValue) calls() keyvalue.Calls {
	me := kv.current()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return addCalls(kv.previousCalls, me.Calls(), 1)
}

// addCalls returns a + times*b.
func addCalls(a, b keyvalue.Calls, times int64) keyvalue.Calls {
	return keyvalue.Calls{
		Leases:  a.Leases + times*b.Leases,
		Reads:   a.Reads + times*b.Reads,
		Watches: a.Watches + times*b.Watches,
		Writes:  a.Writes + times*b.Writes,
	}
}

// command sets a fault, takes a snapshot or restores it.
func (kv *keyValue) command(fa Fault) error {
	ctx := context.Background()
	switch fa.Name {
	case Snapshot:
		its, err := kv.current().Client().List(ctx, "")
		kv.mu.Lock()
		kv.snapshot = its
		kv.mu.Unlock()
		return err
	case Restore:
		return kv.restore(ctx)
	default:
		kv.set(fa)
		return nil
	}
}

// restore restores the keys of the snapshot at their versions, without leases,
// and cuts the open connections. It advances the version by writing a filler key.
func (kv *keyValue) restore(ctx context.Context) error {
	before := kv.calls()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	slices.SortFunc(kv.snapshot, func(a, b keyvalue.Item) int { return cmp.Compare(a.Version, b.Version) })
	me := &keyvalue.Memory{}
	cl := me.Client()
	var last, filler int64
	for _, it := range kv.snapshot {
		for last < it.Version-1 {
			ve, err := cl.Put(ctx, "filler", nil, filler, 0)
			if err != nil {
				return err
			}
			last, filler = ve, ve
		}
		ve, err := cl.Put(ctx, it.Key, it.Value, 0, 0)
		if err != nil {
			return err
		}
		last = ve
	}
	if filler > 0 {
		if err := cl.Delete(ctx, "filler", filler); err != nil {
			return err
		}
	}
	kv.memory = me
	kv.previousCalls = addCalls(before, me.Calls(), -1)
	kv.set(Fault{For: unit.Duration(time.Millisecond), Name: Crash})
	return nil
}

func (kv *keyValue) handler() http.Handler {
	ro := mux.NewRouter().PathPrefix("/key-value").Subrouter()
	ro.HandleFunc("/get", kv.read(func(ctx context.Context, cl *keyvalue.Client, r *http.Request) (any, error) {
		return cl.Get(ctx, r.FormValue("key"))
	}))
	ro.HandleFunc("/list", kv.read(func(ctx context.Context, cl *keyvalue.Client, r *http.Request) (any, error) {
		return cl.List(ctx, r.FormValue("prefix"))
	}))
	ro.HandleFunc("/watch", kv.read(func(ctx context.Context, cl *keyvalue.Client, r *http.Request) (any, error) {
		after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
		if err != nil {
			return nil, errors.Wrapf(errBadRequest, "after: %v", err)
		}
		return cl.Watch(ctx, r.FormValue("key"), after)
	}))
	ro.HandleFunc("/delete", kv.write(func(ctx context.Context, cl *keyvalue.Client, ca keyvalue.Call) (keyvalue.Result, error) {
		return keyvalue.Result{}, cl.Delete(ctx, ca.Key, ca.Expected)
	}))
	ro.HandleFunc("/grant", kv.write(func(ctx context.Context, cl *keyvalue.Client, ca keyvalue.Call) (keyvalue.Result, error) {
		id, err := cl.Grant(ctx, ca.TTL)
		return keyvalue.Result{Lease: id}, err
	}))
	ro.HandleFunc("/keep-alive", kv.write(func(ctx context.Context, cl *keyvalue.Client, ca keyvalue.Call) (keyvalue.Result, error) {
		return keyvalue.Result{}, cl.KeepAlive(ctx, ca.Lease)
	}))
	ro.HandleFunc("/put", kv.write(func(ctx context.Context, cl *keyvalue.Client, ca keyvalue.Call) (keyvalue.Result, error) {
		ve, err := cl.Put(ctx, ca.Key, ca.Value, ca.Expected, ca.Lease)
		return keyvalue.Result{Version: ve}, err
	}))
	ro.HandleFunc("/revoke", kv.write(func(ctx context.Context, cl *keyvalue.Client, ca keyvalue.Call) (keyvalue.Result, error) {
		return keyvalue.Result{}, cl.Revoke(ctx, ca.Lease)
	}))
	return ro
}

// read returns a handler for a call whose parameters are in the URL query.
func (kv *keyValue) read(serve func(context.Context, *keyvalue.Client, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := serve(r.Context(), kv.current().Client(), r)
		answer(w, out, err)
	}
}

// write returns a handler for a call in the request body.
func (kv *keyValue) write(
	serve func(context.Context, *keyvalue.Client, keyvalue.Call) (keyvalue.Result, error),
) http.HandlerFunc {
	return handle(func(ctx context.Context, ca keyvalue.Call) (keyvalue.Result, error) {
		return serve(ctx, kv.current().Client(), ca)
	})
}
