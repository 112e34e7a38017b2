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

// A rack is the data folders of several instances, reached without a network.
type rack struct {
	down   map[string]bool
	stores map[string]*Store
}

var places = []message.BlobLocation{
	{FailureDomain: "alm-medeu", Instance: "store-1"},
	{FailureDomain: "alm-medeu", Instance: "store-2"},
	{FailureDomain: "alm-alatau", Instance: "store-3"},
	{FailureDomain: "alm-turksib", Instance: "store-4"},
}

func newRack(t *testing.T) (*rack, *Client) {
	t.Helper()
	ra := &rack{down: map[string]bool{}, stores: map[string]*Store{}}
	for _, pl := range places {
		ra.stores[pl.Instance] = &Store{Folder: t.TempDir()}
	}
	errDown := errors.New("no route")
	return ra, &Client{
		DeleteFunc: func(_ context.Context, pl message.BlobLocation, digest string) error {
			return ra.stores[pl.Instance].Delete(digest)
		},
		GetFunc: func(_ context.Context, pl message.BlobLocation, digest string) ([]byte, error) {
			if ra.down[pl.Instance] {
				return nil, errDown
			}
			return ra.stores[pl.Instance].Get(digest)
		},
		PutFunc: func(_ context.Context, pl message.BlobLocation, digest string, data []byte) error {
			if ra.down[pl.Instance] {
				return errDown
			}
			return ra.stores[pl.Instance].Put(digest, data)
		},
	}
}

func instances(pls []message.BlobLocation) []string {
	var names []string
	for _, pl := range pls {
		names = append(names, pl.Instance)
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
		"no place can be reached":   {down: []string{"store-1", "store-2", "store-3", "store-4"}, err: ErrTooFewCopies},
		"both places of one domain": {down: []string{"store-1", "store-2"}, want: []string{"store-3", "store-4"}},
	} {
		t.Run(name, func(t *testing.T) {
			ra, cl := newRack(t)
			for _, in := range tc.down {
				ra.down[in] = true
			}
			got, err := Replicate(t.Context(), cl, places, []byte("payload"))
			assert.Equal(t, errors.Is(err, ErrTooFewCopies), tc.err != nil)
			assert.DeepEqual(t, instances(got), tc.want)
		})
	}
}

func TestLostCopies(t *testing.T) {
	// Symptom: a trainer gets a sample that nobody made, or none.
	// Sequence: a payload is put on two folders; one or both copies go bad, are lost or out of reach.
	// Cause: a copy taken as whole without a look, or one loss taken for both.
	data := []byte("payload")
	digest := Digest(data)
	tear := func(ra *rack, in string) {
		assert.NilError(t, os.WriteFile(ra.stores[in].path(digest), data[:3], 0o600))
	}
	for name, tc := range map[string]struct {
		fault   func(ra *rack)
		missing bool // both are known to be lost
		whole   bool
	}{
		"torn":                 {fault: func(ra *rack) { tear(ra, "store-1") }, whole: true},
		"folder lost":          {fault: func(ra *rack) { os.RemoveAll(ra.stores["store-1"].Folder) }, whole: true},
		"out of reach":         {fault: func(ra *rack) { ra.down["store-1"] = true }, whole: true},
		"both torn":            {fault: func(ra *rack) { tear(ra, "store-1"); tear(ra, "store-3") }, missing: true},
		"torn, other unknown":  {fault: func(ra *rack) { tear(ra, "store-1"); ra.down["store-3"] = true }},
		"both out of reach":    {fault: func(ra *rack) { ra.down["store-1"], ra.down["store-3"] = true, true }},
		"nothing went missing": {fault: func(*rack) {}, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			ra, cl := newRack(t)
			pls, err := Replicate(t.Context(), cl, places, data)
			assert.NilError(t, err)
			tc.fault(ra)
			got, err := Fetch(t.Context(), cl, pls, digest)
			assert.Equal(t, err == nil, tc.whole)
			assert.Equal(t, errors.Is(err, ErrMissing), tc.missing)
			if !tc.whole || ra.down["store-1"] {
				return
			}
			assert.Equal(t, string(got), string(data))
			_, err = ra.stores["store-1"].Get(digest)
			assert.NilError(t, err, "the lost copy is put back")
		})
	}
}

func TestTornFile(t *testing.T) {
	// Symptom: a reader of one folder gets part of a payload.
	// Sequence: a payload is kept; its file loses its end; it is read, and kept again.
	// Cause: a file taken as whole because it is there.
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

func TestStoreBounds(t *testing.T) {
	st := &Store{Folder: t.TempDir(), MaxSize: 10}
	first, second := []byte("123456"), []byte("abcdef")
	assert.NilError(t, st.Put(Digest(first), first))
	assert.Assert(t, errors.Is(st.Put(Digest(second), second), ErrFull))
	assert.NilError(t, st.Put(Digest(first), first), "the same payload again takes no room")
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

func TestPutAgainRenewsThePayload(t *testing.T) {
	// Symptom: a batch names a payload that its data folder no longer has.
	// Sequence: a payload is kept, ages, is put again, and the folder is swept.
	// Cause: the second put found it there and left its age as it was.
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
