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

func TestSheet(t *testing.T) {
	var sh *Set
	for _, ch := range []Change{
		changeOf(Held, Customer, "bakery"), changeOf(Held, Step, "s-1"), changeOf(Held, Endpoint, "10.0.0.1:80"), changeOf(Held, Endpoint, "i-1"),
	} {
		var changed bool
		var err error
		sh, changed, err = sh.Apply(ch)
		assert.NilError(t, err)
		assert.Assert(t, changed)
	}
	for name, tc := range map[string]struct {
		held func() (Record, bool)
		want string
	}{
		"step":                    {func() (Record, bool) { return sh.Step("s-1", "mill") }, "step s-1"},
		"step of a held customer": {func() (Record, bool) { return sh.Step("s-2", "bakery") }, "customer bakery"},
		"other step":              {func() (Record, bool) { return sh.Step("s-2", "mill") }, ""},
		"step named as a customer": {
			func() (Record, bool) { return sh.Customer("s-1") }, "",
		},
		"endpoint by its id":      {func() (Record, bool) { return sh.Endpoint("i-1", "10.0.0.9:80") }, "endpoint i-1"},
		"endpoint by its address": {func() (Record, bool) { return sh.Endpoint("i-7", "10.0.0.1:80") }, "endpoint 10.0.0.1:80"},
		"other endpoint":          {func() (Record, bool) { return sh.Endpoint("i-7", "10.0.0.7:80") }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			re, ok := tc.held()
			assert.Equal(t, ok, tc.want != "")
			if ok {
				assert.Equal(t, re.String(), tc.want)
			}
		})
	}
	again, changed, err := sh.Apply(changeOf(Held, Step, "s-1"))
	assert.NilError(t, err)
	assert.Assert(t, !changed && again == sh, "what is held is not held twice")
	sh, changed, err = sh.Apply(changeOf(Released, Customer, "bakery"))
	assert.NilError(t, err)
	assert.Assert(t, changed)
	_, held := sh.Step("s-2", "bakery")
	assert.Assert(t, !held)
	_, changed, err = sh.Apply(changeOf(Released, Customer, "bakery"))
	assert.NilError(t, err)
	assert.Assert(t, !changed, "what is not held can't be released")
	assert.Equal(t, len(sh.Changes()), 5)
}

func TestBadChanges(t *testing.T) {
	for name, tc := range map[string]struct {
		spoil func(ch *Change)
		want  error
	}{
		"kind":        {func(ch *Change) { ch.Kind = "machine" }, ErrBadTarget},
		"no name":     {func(ch *Change) { ch.Name = "" }, ErrBadTarget},
		"no reason":   {func(ch *Change) { ch.Why = "" }, ErrNoReason},
		"nobody":      {func(ch *Change) { ch.By = "" }, ErrNoReason},
		"long name":   {func(ch *Change) { ch.Name = strings.Repeat("n", maxName+1) }, ErrTooLong},
		"long reason": {func(ch *Change) { ch.Why = strings.Repeat("n", maxText+1) }, ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			var me keyvalue.Memory
			ke := &Store{Client: me.Client()}
			ch := changeOf(Held, Customer, "bakery")
			tc.spoil(&ch)
			_, err := ke.Change(t.Context(), ch)
			assert.ErrorIs(t, err, tc.want)
			_, err = me.Client().Get(t.Context(), Key)
			assert.ErrorIs(t, err, keyvalue.ErrNotFound)
		})
	}
}

// The sheet fits one value, however long operators go on.
func TestSheetIsBounded(t *testing.T) {
	var sh *Set
	for i := range maxRecords {
		ch := changeOf(Held, Step, strings.Repeat("n", maxName-6)+fmt.Sprint(i))
		ch.Why, ch.By = strings.Repeat("w", maxText), strings.Repeat("b", maxText)
		var err error
		sh, _, err = sh.Apply(ch)
		assert.NilError(t, err)
	}
	_, _, err := sh.Apply(changeOf(Held, Step, "one more"))
	assert.ErrorIs(t, err, ErrFull)
	assert.Equal(t, len(sh.Changes()), maxChanges)
	value, err := sh.MarshalCBOR()
	assert.NilError(t, err)
	assert.Assert(t, len(value) < keyvalue.MaxValueSize, "%d bytes", len(value))
}

func TestKeeper(t *testing.T) {
	var me keyvalue.Memory
	ke := &Store{Client: me.Client()}
	for _, want := range []bool{true, false} {
		ch := changeOf(Held, Customer, "bakery")
		ch.ID = fmt.Sprint(want)
		changed, err := ke.Change(t.Context(), ch)
		assert.NilError(t, err)
		assert.Equal(t, changed, want)
	}
	sh, err := ke.Read(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, sh.Records(), []Record{changeOf(Held, Customer, "bakery").Record})
	assert.Equal(t, len(sh.Changes()), 1)
	assert.Assert(t, sh.Version() > 0)
}

func TestLostAnswerIsNoSecondChange(t *testing.T) {
	// Symptom: the history names one change twice, or an operator is told that a change
	// failed that is in force.
	// Sequence: a write takes effect and its answer is lost.
	// Cause: the write was repeated, or given up, without a look at what it did.
	var me keyvalue.Memory
	ke := &Store{Client: me.Client()}
	me.SetFaults(keyvalue.Faults{LoseAnswers: true})
	changed, err := ke.Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.NilError(t, err)
	assert.Assert(t, changed)
	sh, err := ke.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(sh.Changes()), 1)
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	// Symptom: a hold that an operator was told of is gone.
	// Sequence: two operators read the sheet, and both write it.
	// Cause: the second write replaced a sheet that it had not read.
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
	ke := &Store{Client: cl}
	_, err := ke.Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.NilError(t, err)
	sh, err := ke.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(sh.Records()), 2)
}

func TestServiceAway(t *testing.T) {
	// Symptom: an operator is told that a change may have been made, and none was tried.
	// Sequence: the key-value service is away before the sheet is read.
	// Cause: any failure of a change was taken for a lost answer.
	var me keyvalue.Memory
	ke := &Store{Client: me.Client()}
	me.SetFaults(keyvalue.Faults{Outage: true})
	_, err := ke.Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.ErrorIs(t, err, keyvalue.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, keyvalue.ErrOutcomeUnknown), "nothing was sent")
}

// A value of another writer is not written over.
func TestUndecodable(t *testing.T) {
	var me keyvalue.Memory
	_, err := me.Client().Put(t.Context(), Key, []byte("x"), 0, 0)
	assert.NilError(t, err)
	_, err = (&Store{Client: me.Client()}).Change(t.Context(), changeOf(Held, Customer, "bakery"))
	assert.ErrorIs(t, err, ErrUndecodable)
}
