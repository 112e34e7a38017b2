package profile

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

func TestReplicaAdoptsOnlyHigherRevisions(t *testing.T) {
	var re Replica
	assert.Equal(t, re.Status().Source, FromNone)
	changed := re.Changed()
	assert.Assert(t, !re.Offer(Document{}, FromPeer))
	assert.Assert(t, re.Offer(NewDocument(5), FromPeer))
	<-changed
	assert.Assert(t, !re.Offer(NewDocument(5), FromService))
	assert.Assert(t, !re.Offer(NewDocument(4), FromService))
	assert.Equal(t, re.Revision(), uint64(5))
	assert.Equal(t, re.Status().Source, FromPeer)
}

func TestEntryRejectsBranchFromPeer(t *testing.T) {
	// An entry must not adopt a peer's higher revision that lacks its own changes:
	// after a restore of the service, the last copy of those changes would be lost.
	first := Document{}.next(nil, Change{id: "first"})
	held := first.next(nil, Change{id: "lost"})
	branch := first.next(nil, Change{id: "other"}).next(nil, Change{id: "another"})
	var entry Replica
	entry.rejectBranches()
	assert.Assert(t, entry.Offer(held, FromService))
	assert.Assert(t, !entry.Offer(branch, FromPeer))
	joined := held.join(branch)
	assert.Assert(t, entry.Offer(joined, FromService))
	var attendant Replica
	assert.Assert(t, attendant.Offer(branch, FromPeer))
	assert.Assert(t, attendant.Offer(joined, FromPeer))
	assert.Equal(t, joined.Revision(), uint64(5))
}

func TestStartDuringOutage(t *testing.T) {
	// A process that starts during an outage of the service must get the latest
	// revision from its peers, although one of them hangs and another is behind.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		me.SetFaults(keyvalue.Faults{Outage: true})
		ctx, cancel := context.WithCancel(t.Context())
		var re Replica
		fo := Follower{Holder: &re, Store: &Store{Client: me.Client()}}
		go fo.Run(ctx)
		sy := Syncer{Holder: &re, FetchFunc: func(ctx context.Context, peer string) (Document, error) {
			switch peer {
			case "silent":
				<-ctx.Done()
				return Document{}, ctx.Err()
			case "old":
				return NewDocument(5), nil
			default:
				return NewDocument(7, plainService(t, "a", "1s")), nil
			}
		}}
		sy.Observe("silent", 7)
		sy.Observe("old", 5)
		sy.Observe("good", 7)
		started := time.Now()
		for re.Revision() < 7 && time.Since(started) < time.Minute {
			time.Sleep(tickEvery)
			sy.Run(time.Now())
			synctest.Wait()
		}
		st := re.Status()
		assert.Equal(t, st.Revision, uint64(7))
		assert.Assert(t, time.Since(started) < 3*time.Second)
		assert.Equal(t, st.Source, FromPeer)
		_, silent := st.Stale(FromService, time.Now(), 10*time.Second)
		assert.Assert(t, silent, "the service never answered")
		time.Sleep(20 * time.Second)
		since, cut := re.Status().CutOff(time.Now(), 10*time.Second)
		assert.Assert(t, cut && since.Equal(started), "%v", since)

		data, err := NewDocument(8).MarshalBinary()
		assert.NilError(t, err)
		me.SetFaults(keyvalue.Faults{})
		_, err = me.Client().Put(ctx, DefaultKey, data, 0, 0)
		assert.NilError(t, err)
		time.Sleep(maxFollowBackoff)
		assert.Equal(t, re.Revision(), uint64(8))
		assert.Equal(t, re.Status().Source, FromService)
		_, cut = re.Status().CutOff(time.Now(), 10*time.Second)
		assert.Assert(t, !cut)
		cancel()
	})
}

func TestFollowerOfDeletedKey(t *testing.T) {
	// A watch on a deleted key returns at once: without a pause, a process without a
	// document would call the service in a busy loop.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		cl := me.Client()
		ve, err := cl.Put(t.Context(), DefaultKey, []byte("any"), 0, 0)
		assert.NilError(t, err)
		assert.NilError(t, cl.Delete(t.Context(), DefaultKey, ve))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		fo := Follower{Holder: &Replica{}, Store: &Store{Client: cl}}
		fo.Run(ctx)
		assert.Assert(t, total(me.Calls()) < 60, "%+v", me.Calls())
	})
}

// A restore replaces the service's value, as a restore from a backup does.
type restore func(ctx context.Context, t *testing.T, st *Store, oldCopy Document)

func putCopy(ctx context.Context, t *testing.T, st *Store, oldCopy Document) {
	vd, err := st.Read(ctx)
	assert.NilError(t, err)
	assert.NilError(t, st.put(ctx, oldCopy, vd.Version))
}

func TestServiceRestoredFromBackup(t *testing.T) {
	// A restore of the service to an older copy must neither revert accepted
	// changes nor lose those made on the restored copy.
	tests := []struct {
		name     string
		restore  restore
		a, b     string
		revision uint64
	}{
		{name: "older copy", restore: putCopy, a: "3s", b: "1s", revision: 3},
		{name: "value deleted", restore: func(ctx context.Context, t *testing.T, st *Store, _ Document) {
			vd, err := st.Read(ctx)
			assert.NilError(t, err)
			assert.NilError(t, st.Client.Delete(ctx, DefaultKey, vd.Version))
		}, a: "3s", b: "1s", revision: 3},
		{name: "older copy and one change on it", restore: writeOn("7s"), a: "3s", b: "7s", revision: 4},
		{name: "older copy and changes beyond what is in force", restore: writeOn("5s", "6s", "7s"), a: "3s", b: "7s", revision: 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				ana := operator{store: Store{Client: me.Client()}}
				ana.wanted = []Profile{plainService(t, "a", "1s"), plainService(t, "b", "1s")}
				var oldCopy Document
				for _, timeout := range []string{"1s", "2s", "3s"} {
					ana.set(plainService(t, "a", timeout))
					res, err := ana.apply(t.Context(), timeout)
					assert.NilError(t, err)
					if oldCopy.revision == 0 {
						oldCopy = res.Document
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				var replicas [2]Replica
				for i := range replicas {
					fo := Follower{Holder: &replicas[i], Store: &Store{Client: me.Client()}}
					go fo.Run(ctx)
				}
				synctest.Wait()
				tt.restore(ctx, t, &ana.store, oldCopy)
				time.Sleep(2 * DefaultRewatchInterval)
				cancel()
				vd, err := ana.store.Read(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, vd.Document.Revision(), tt.revision)
				for i := range replicas {
					assert.Equal(t, replicas[i].Revision(), tt.revision)
					assert.Assert(t, replicas[i].rejectsBranches)
				}
				a, _ := vd.Document.Profile("a")
				b, _ := vd.Document.Profile("b")
				assert.Equal(t, formatDuration(a.LeaveTimeout())+" "+formatDuration(b.LeaveTimeout()), tt.a+" "+tt.b)
			})
		})
	}
}

// writeOn restores the copy with changes to b applied on top of it.
func writeOn(timeouts ...string) restore {
	return func(ctx context.Context, t *testing.T, st *Store, oldCopy Document) {
		next := oldCopy
		for _, timeout := range timeouts {
			op := operator{base: NewBase(next), wanted: next.Profiles()}
			op.set(plainService(t, "b", timeout))
			me := threeWayMerge(op.base, next, op.wanted)
			next = next.next(me.profiles, Change{by: "carol", id: "carol-" + timeout, changed: me.changed})
		}
		putCopy(ctx, t, st, next)
	}
}

func TestStaleReadWritesNothing(t *testing.T) {
	// After a stale read, which looks like a restored copy, an entry must not
	// overwrite the newest revision.
	var me keyvalue.Memory
	op := operator{store: Store{Client: me.Client()}, wanted: []Profile{plainService(t, "a", "1s")}}
	_, err := op.apply(t.Context(), "one")
	assert.NilError(t, err)
	lagging, err := op.store.Read(t.Context())
	assert.NilError(t, err)
	op.set(plainService(t, "a", "2s"))
	held, err := op.apply(t.Context(), "two")
	assert.NilError(t, err)
	op.set(plainService(t, "a", "3s"))
	_, err = op.apply(t.Context(), "three")
	assert.NilError(t, err)
	_, err = op.store.Reconcile(t.Context(), held.Document, lagging)
	assert.Assert(t, errors.Is(err, keyvalue.ErrConflict))
}
