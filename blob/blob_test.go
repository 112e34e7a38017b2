package blob

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/message"
)

// A testStores holds the stores of several instances, some of which may be unreachable.
type testStores struct {
	down   map[string]bool
	stores map[string]*Store
}

var locations = []message.BlobLocation{
	{FailureDomain: "alm-medeu", Instance: "store-1"},
	{FailureDomain: "alm-medeu", Instance: "store-2"},
	{FailureDomain: "alm-alatau", Instance: "store-3"},
	{FailureDomain: "alm-turksib", Instance: "store-4"},
}

func newTestStores(t *testing.T) (*testStores, *Client) {
	t.Helper()
	ts := &testStores{down: map[string]bool{}, stores: map[string]*Store{}}
	for _, bl := range locations {
		ts.stores[bl.Instance] = &Store{Folder: t.TempDir()}
	}
	errDown := errors.New("no route")
	return ts, &Client{
		DeleteFunc: func(_ context.Context, bl message.BlobLocation, digest string) error {
			return ts.stores[bl.Instance].Delete(digest)
		},
		GetFunc: func(_ context.Context, bl message.BlobLocation, digest string) ([]byte, error) {
			if ts.down[bl.Instance] {
				return nil, errDown
			}
			return ts.stores[bl.Instance].Get(digest)
		},
		PutFunc: func(_ context.Context, bl message.BlobLocation, digest string, data []byte) error {
			if ts.down[bl.Instance] {
				return errDown
			}
			return ts.stores[bl.Instance].Put(digest, data)
		},
	}
}

func instances(bls []message.BlobLocation) []string {
	var names []string
	for _, bl := range bls {
		names = append(names, bl.Instance)
	}
	return names
}

func TestReplicate(t *testing.T) {
	for name, tc := range map[string]struct {
		down []string
		err  error
		want []string
	}{
		"two domains":               {want: []string{"store-1", "store-3"}},
		"next place of the domain":  {down: []string{"store-1"}, want: []string{"store-2", "store-3"}},
		"next domain":               {down: []string{"store-3"}, want: []string{"store-1", "store-4"}},
		"one domain is not enough":  {down: []string{"store-3", "store-4"}, want: []string{"store-1"}, err: ErrTooFewCopies},
		"all places unreachable":    {down: []string{"store-1", "store-2", "store-3", "store-4"}, err: ErrTooFewCopies},
		"both places of one domain": {down: []string{"store-1", "store-2"}, want: []string{"store-3", "store-4"}},
	} {
		t.Run(name, func(t *testing.T) {
			ts, cl := newTestStores(t)
			for _, in := range tc.down {
				ts.down[in] = true
			}
			got, err := Replicate(t.Context(), cl, locations, []byte("payload"))
			assert.Equal(t, errors.Is(err, ErrTooFewCopies), tc.err != nil)
			assert.DeepEqual(t, instances(got), tc.want)
		})
	}
}

func TestFetchAfterLoss(t *testing.T) {
	// Guards against returning a corrupt copy, and against reporting a payload as missing
	// while one of its copies may still exist.
	data := []byte("payload")
	digest := Digest(data)
	truncate := func(ts *testStores, in string) {
		assert.NilError(t, os.WriteFile(ts.stores[in].path(digest), data[:3], 0o600))
	}
	for name, tc := range map[string]struct {
		fault   func(ts *testStores)
		missing bool // both copies are known to be lost
		ok      bool
	}{
		"truncated":              {fault: func(ts *testStores) { truncate(ts, "store-1") }, ok: true},
		"folder lost":            {fault: func(ts *testStores) { os.RemoveAll(ts.stores["store-1"].Folder) }, ok: true},
		"unreachable":            {fault: func(ts *testStores) { ts.down["store-1"] = true }, ok: true},
		"both truncated":         {fault: func(ts *testStores) { truncate(ts, "store-1"); truncate(ts, "store-3") }, missing: true},
		"truncated, unreachable": {fault: func(ts *testStores) { truncate(ts, "store-1"); ts.down["store-3"] = true }},
		"both unreachable":       {fault: func(ts *testStores) { ts.down["store-1"], ts.down["store-3"] = true, true }},
		"both intact":            {fault: func(*testStores) {}, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			ts, cl := newTestStores(t)
			bls, err := Replicate(t.Context(), cl, locations, data)
			assert.NilError(t, err)
			tc.fault(ts)
			got, err := Fetch(t.Context(), cl, bls, digest)
			assert.Equal(t, err == nil, tc.ok)
			assert.Equal(t, errors.Is(err, ErrMissing), tc.missing)
			if !tc.ok || ts.down["store-1"] {
				return
			}
			assert.Equal(t, string(got), string(data))
			_, err = ts.stores["store-1"].Get(digest)
			assert.NilError(t, err, "the lost copy is restored")
		})
	}
}

func TestTruncatedFile(t *testing.T) {
	// Guards against returning a truncated file, and against keeping it on the next Put of
	// the same payload.
	st := &Store{Folder: t.TempDir()}
	data := []byte("payload")
	digest := Digest(data)
	assert.NilError(t, st.Put(digest, data))
	assert.NilError(t, os.Truncate(st.path(digest), 3))
	_, err := st.Get(digest)
	assert.Assert(t, errors.Is(err, ErrMissing))
	assert.NilError(t, st.Put(digest, data))
	got, err := st.Get(digest)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(data))
}

func TestStoreMaxSize(t *testing.T) {
	st := &Store{Folder: t.TempDir(), MaxSize: 10}
	first, second := []byte("123456"), []byte("abcdef")
	assert.NilError(t, st.Put(Digest(first), first))
	assert.Assert(t, errors.Is(st.Put(Digest(second), second), ErrFull))
	assert.NilError(t, st.Put(Digest(first), first), "a repeated payload needs no space")
	assert.Assert(t, errors.Is(st.Put(Digest(second), first), ErrBadDigest))
	again := &Store{Folder: st.Folder, MaxSize: 10} // after a restart
	assert.Assert(t, errors.Is(again.Put(Digest(second), second), ErrFull))
	removed, err := again.Sweep(time.Now().Add(25 * time.Hour))
	assert.NilError(t, err)
	assert.Equal(t, removed, 1)
	assert.NilError(t, again.Put(Digest(second), second))
	assert.NilError(t, again.Delete(Digest(second)))
	ens, err := again.List()
	assert.NilError(t, err)
	assert.Equal(t, len(ens), 0)
}

func TestPutResetsAge(t *testing.T) {
	// Guards against a sweep that removes an old payload right after it was put again.
	st := &Store{Folder: t.TempDir(), MaxAge: time.Hour}
	data := []byte("tokens")
	digest := Digest(data)
	assert.NilError(t, st.Put(digest, data))
	old := time.Now().Add(-2 * time.Hour)
	assert.NilError(t, os.Chtimes(st.path(digest), old, old))
	assert.NilError(t, st.Put(digest, data))
	_, err := st.Sweep(time.Now())
	assert.NilError(t, err)
	_, err = st.Get(digest)
	assert.NilError(t, err)
}
