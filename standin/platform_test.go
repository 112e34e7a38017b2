package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
	"wisteriacroft/unit"
	"wisteriacroft/weightstore"
)

func newTestPlatform(t *testing.T) (*Platform, string) {
	t.Helper()
	pl := NewPlatform(PlatformSettings{FetchLimit: 1, Models: []ModelRow{{Name: "marker-llm", Version: 7}}})
	se := httptest.NewServer(pl.Handler())
	t.Cleanup(se.Close)
	return pl, se.URL
}

func TestKeyValueOverHTTP(t *testing.T) {
	// The client must distinguish a write whose response was lost, which may have
	// taken effect, from a write that was never sent.
	ctx := t.Context()
	pl, url := newTestPlatform(t)
	cl := keyvalue.NewHTTP(url, nil)
	ve, err := cl.Put(ctx, "a", []byte("1"), 0, 0)
	assert.NilError(t, err)
	assert.NilError(t, pl.SetFault(Fault{Name: Drop, Target: KeyValueTarget, Count: 1}))
	_, err = cl.Put(ctx, "a", []byte("2"), ve, 0)
	assert.ErrorIs(t, err, keyvalue.ErrOutcomeUnknown)
	it, err := cl.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(it.Value), "2")
	_, err = cl.Put(ctx, "a", []byte("3"), ve, 0)
	assert.ErrorIs(t, err, keyvalue.ErrConflict)

	assert.NilError(t, pl.SetFault(Fault{Name: Cross, Target: KeyValueTarget, Count: 1}))
	_, err = cl.Put(ctx, "a", []byte("4"), it.Version, 0)
	assert.ErrorIs(t, err, keyvalue.ErrOutcomeUnknown)
	assert.NilError(t, pl.SetFault(Fault{Name: Outage, Target: KeyValueTarget, Count: 1}))
	_, err = cl.Put(ctx, "a", []byte("5"), it.Version, 0)
	assert.ErrorIs(t, err, keyvalue.ErrUnavailable)
	_, err = keyvalue.NewHTTP("http://127.0.0.1:1", nil).Put(ctx, "a", nil, 0, 0)
	assert.ErrorIs(t, err, keyvalue.ErrUnavailable)
	_, err = cl.Get(ctx, "b")
	assert.ErrorIs(t, err, keyvalue.ErrNotFound)
	assert.Equal(t, pl.Calls().Writes, int64(4))
}

func TestKeyValueRestored(t *testing.T) {
	// A restored snapshot must have its old values and versions, as if later
	// writes had never happened.
	ctx := t.Context()
	pl, url := newTestPlatform(t)
	cl := keyvalue.NewHTTP(url, nil)
	for _, key := range []string{"x", "y", "a"} {
		_, err := cl.Put(ctx, key, []byte("old"), 0, 0)
		assert.NilError(t, err)
	}
	assert.NilError(t, cl.Delete(ctx, "x", 1))
	assert.NilError(t, pl.SetFault(Fault{Name: Snapshot, Target: KeyValueTarget}))
	_, err := cl.Put(ctx, "a", []byte("new"), 3, 0)
	assert.NilError(t, err)
	calls := pl.Calls()
	assert.NilError(t, pl.SetFault(Fault{Name: Restore, Target: KeyValueTarget}))
	assert.Equal(t, pl.Calls(), calls)
	its, err := pl.keyValue.current().Client().List(ctx, "")
	assert.NilError(t, err)
	assert.DeepEqual(t, its, []keyvalue.Item{
		{Key: "a", Value: []byte("old"), Version: 3}, {Key: "y", Value: []byte("old"), Version: 2},
	})
}

func TestInstanceListLags(t *testing.T) {
	li := instanceList{lag: time.Second}
	begin := time.Unix(0, 0)
	li.put(instancelist.Instance{ID: "a"}, begin)
	li.put(instancelist.Instance{ID: "b"}, begin.Add(time.Second))
	assert.Equal(t, len(li.list(begin.Add(999*time.Millisecond))), 0)
	assert.Equal(t, len(li.list(begin.Add(time.Second))), 1)
	assert.Equal(t, len(li.list(begin.Add(2*time.Second))), 2)
	li.remove("a", begin.Add(3*time.Second))
	assert.Equal(t, li.list(begin.Add(4 * time.Second))[0].ID, "b")
}

func TestWeightStoreLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := weightStore{limit: 1, fetchTime: time.Second}
		ws.publish("marker-llm", 7)
		we := weightstore.Weights{Model: "marker-llm", Version: 7}
		go func() { _ = ws.fetch(context.Background(), we) }()
		synctest.Wait()
		assert.ErrorIs(t, ws.fetch(t.Context(), we), errBusy)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.NilError(t, ws.fetch(t.Context(), we))
	})
}

func TestPlatformListAndStore(t *testing.T) {
	ctx := t.Context()
	pl, url := newTestPlatform(t)
	version, err := weightstore.NewHTTP(url, nil).LatestFunc(ctx, "marker-llm")
	assert.NilError(t, err)
	assert.Equal(t, int(version), 7)
	pl.list.put(instancelist.Instance{ID: "a"}, time.Time{})
	ins, err := instancelist.NewHTTP(url, nil).ListFunc(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(ins), 1)
	assert.NilError(t, pl.SetFault(Fault{Name: Crash, Target: InstanceListTarget, For: unit.Duration(time.Hour)}))
	_, err = instancelist.NewHTTP(url, nil).ListFunc(ctx)
	assert.ErrorIs(t, err, instancelist.ErrUnavailable)
	resp, err := http.Post(url+"/faults", "application/json", http.NoBody)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}
