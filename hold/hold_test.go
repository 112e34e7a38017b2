package hold

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

var at = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func changeOf(ac Action, ki Kind, name string) Change {
	return Change{
		Action: ac, ID: fmt.Sprint(ac, ki, name),
		Record: Record{Target: Target{Kind: ki, Name: name}, At: at, By: "ada", Why: "too much at once"},
	}
}

func TestSet(t *testing.T) {
	var se *Set
	for _, ch := range []Change{
		changeOf(Held, Customer, "bakery"), changeOf(Held, Step, "s-1"), changeOf(Held, Endpoint, "10.0.0.1:80"), changeOf(Held, Endpoint, "i-1"),
	} {
		var changed bool
		var err error
		se, changed, err = se.Apply(ch)
		assert.NilError(t, err)
		assert.Assert(t, changed)
	}
	for name, tc := range map[string]struct {
		held func() (Record, bool)
		want string
	}{
		"step":                    {func() (Record, bool) { return se.Step("s-1", "mill") }, "step s-1"},
		"step of a held customer": {func() (Record, bool) { return se.Step("s-2", "bakery") }, "customer bakery"},
		"other step":              {func() (Record, bool) { return se.Step("s-2", "mill") }, ""},
		"step with a customer's name": {
			func() (Record, bool) { return se.Customer("s-1") }, "",
		},
		"endpoint by ID":      {func() (Record, bool) { return se.Endpoint("i-1", "10.0.0.9:80") }, "endpoint i-1"},
		"endpoint by address": {func() (Record, bool) { return se.Endpoint("i-7", "10.0.0.1:80") }, "endpoint 10.0.0.1:80"},
		"other endpoint":      {func() (Record, bool) { return se.Endpoint("i-7", "10.0.0.7:80") }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			re, ok := tc.held()
			assert.Equal(t, ok, tc.want != "")
			if ok {
				assert.Equal(t, re.String(), tc.want)
			}
		})
	}
	again, changed, err := se.Apply(changeOf(Held, Step, "s-1"))
	assert.NilError(t, err)
	assert.Assert(t, !changed && again == se, "held already")
	se, changed, err = se.Apply(changeOf(Released, Customer, "bakery"))
	assert.NilError(t, err)
	assert.Assert(t, changed)
	_, held := se.Step("s-2", "bakery")
	assert.Assert(t, !held)
	_, changed, err = se.Apply(changeOf(Released, Customer, "bakery"))
	assert.NilError(t, err)
	assert.Assert(t, !changed, "released already")
	assert.Equal(t, len(se.Changes()), 5)
}

func TestInvalidChanges(t *testing.T) {
	for name, tc := range map[string]struct {
		modify func(ch *Change)
		want   error
	}{
		"kind":        {func(ch *Change) { ch.Kind = "machine" }, ErrBadTarget},
		"no name":     {func(ch *Change) { ch.Name = "" }, ErrBadTarget},
		"no reason":   {func(ch *Change) { ch.Why = "" }, ErrNoReason},
		"no author":   {func(ch *Change) { ch.By = "" }, ErrNoReason},
		"long name":   {func(ch *Change) { ch.Name = strings.Repeat("n", maxName+1) }, ErrTooLong},
		"long reason": {func(ch *Change) { ch.Why = strings.Repeat("n", maxText+1) }, ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			var me keyvalue.Memory
			st := &Store{Client: me.Client()}
			ch := changeOf(Held, Customer, "bakery")
			tc.modify(&ch)
			_, err := st.Change(t.Context(), ch)
			assert.ErrorIs(t, err, tc.want)
			_, err = me.Client().Get(t.Context(), Key)
			assert.ErrorIs(t, err, keyvalue.ErrNotFound)
		})
	}
}

// Guards against a Set exceeding the maximum size of a value.
func TestSetIsBounded(t *testing.T) {
	var se *Set
	for i := range maxRecords {
		ch := changeOf(Held, Step, strings.Repeat("n", maxName-6)+fmt.Sprint(i))
		ch.Why, ch.By = strings.Repeat("w", maxText), strings.Repeat("b", maxText)
		var err error
		se, _, err = se.Apply(ch)
		assert.NilError(t, err)
	}
	_, _, err := se.Apply(changeOf(Held, Step, "one more"))
	assert.ErrorIs(t, err, ErrFull)
	assert.Equal(t, len(se.Changes()), maxChanges)
	value, err := se.MarshalCBOR()
	assert.NilError(t, err)
	assert.Assert(t, len(value) < keyvalue.MaxValueSize, "%d bytes", len(value))
}

func TestStore(t *testing.T) {
	var me keyvalue.Memory
	st := &Store{Client: me.Client()}
	for _, want := range []bool{true, false} {
		ch := changeOf(Held, Customer, "bakery")
		ch.ID = fmt.Sprint(want)
		changed, err := st.Change(t.Context(), ch)
		assert.NilError(t, err)
		assert.Equal(t, changed, want)
	}
	se, err := st.Read(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, se.Records(), []Record{changeOf(Held, Customer, "bakery").Record})
	assert.Equal(t, len(se.Changes()), 1)
	assert.Assert(t, se.Version() > 0)
}

func TestLostResponse(t *testing.T) {
	// Guards against applying a change twice, or reporting it as failed, if the response to its
	// write is lost.
	var me keyvalue.Memory
	st := &Store{Client: me.Client()}
	me.SetFaults(keyvalue.Faults{LoseAnswers: true})
	changed, err := st.Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.NilError(t, err)
	assert.Assert(t, changed)
	se, err := st.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(se.Changes()), 1)
}

func TestConcurrentChanges(t *testing.T) {
	// Guards against one operator's change overwriting that of another.
	var me keyvalue.Memory
	cl := me.Client()
	other := &Store{Client: me.Client()}
	put, first := cl.PutFunc, true
	cl.PutFunc = func(ctx context.Context, key string, value []byte, expected int64, le keyvalue.LeaseID) (int64, error) {
		if first {
			first = false
			_, err := other.Change(ctx, changeOf(Held, Step, "s-1"))
			assert.NilError(t, err)
		}
		return put(ctx, key, value, expected, le)
	}
	st := &Store{Client: cl}
	_, err := st.Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.NilError(t, err)
	se, err := st.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(se.Records()), 2)
}

func TestOutage(t *testing.T) {
	// Guards against reporting an unknown outcome if nothing was written.
	var me keyvalue.Memory
	st := &Store{Client: me.Client()}
	me.SetFaults(keyvalue.Faults{Outage: true})
	_, err := st.Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.ErrorIs(t, err, keyvalue.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, keyvalue.ErrOutcomeUnknown), "nothing was sent")
}

// An undecodable value is not overwritten.
func TestUndecodable(t *testing.T) {
	var me keyvalue.Memory
	_, err := me.Client().Put(t.Context(), Key, []byte("x"), 0, 0)
	assert.NilError(t, err)
	_, err = (&Store{Client: me.Client()}).Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.ErrorIs(t, err, ErrUndecodable)
}
