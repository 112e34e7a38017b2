package keyvalue

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestMemoryLostResponse(t *testing.T) {
	// A write whose response is lost must be visible to a read.
	var me Memory
	cl := me.Client()
	me.SetFaults(Faults{LoseAnswers: true})
	_, err := cl.Put(t.Context(), "a", []byte("1"), 0, 0)
	assert.Assert(t, errors.Is(err, ErrOutcomeUnknown))
	it, err := cl.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(it.Value), "1")
}

func TestMemoryLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var me Memory
		cl := me.Client()
		id, err := cl.Grant(t.Context(), 5*time.Second)
		assert.NilError(t, err)
		ve, err := cl.Put(t.Context(), "a", []byte("1"), 0, id)
		assert.NilError(t, err)
		time.Sleep(4 * time.Second)
		assert.NilError(t, cl.KeepAlive(t.Context(), id))
		it, err := cl.Watch(t.Context(), "a", ve)
		assert.NilError(t, err)
		assert.Assert(t, it.Value == nil, "the key is deleted with its lease")
		assert.Assert(t, errors.Is(cl.KeepAlive(t.Context(), id), ErrLeaseExpired))
	})
}
