package step

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
)

// A loss describes how the response of a transaction is lost.
type loss struct {
	applied bool // the service applies the transaction
	broken  bool // the connection breaks; otherwise the call hangs
}

// losingClient returns a client that loses the responses of its first transactions as described by losses.
func losingClient(me *keyvalue.Memory, losses ...loss) *keyvalue.Client {
	cl := me.Client()
	transact := cl.TransactFunc
	var calls atomic.Int64
	cl.TransactFunc = func(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
		call := int(calls.Add(1)) - 1
		if call >= len(losses) {
			return transact(ctx, tx)
		}
		lo := losses[call]
		if lo.applied {
			if _, err := transact(ctx, tx); err != nil {
				return 0, err
			}
		}
		if !lo.broken {
			<-ctx.Done()
		}
		return 0, keyvalue.ErrOutcomeUnknown
	}
	return cl
}

func TestLostResponsesOfWrites(t *testing.T) {
	// Guards against waiting for the full call timeout when a write or its response is lost: reading the key tells
	// whether the write took effect.
	for name, tc := range map[string]struct {
		losses []loss
		within time.Duration
	}{
		"no loss":                  {within: 0},
		"the answer":               {losses: []loss{{applied: true}}, within: verifyAfter},
		"the call":                 {losses: []loss{{}}, within: verifyAfter},
		"the call, then an answer": {losses: []loss{{}, {applied: true}}, within: 3 * verifyAfter},
		"the connection":           {losses: []loss{{applied: true, broken: true}}, within: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				ctx, cancel := context.WithTimeout(t.Context(), resultsWriteTimeout)
				defer cancel()
				begun := time.Now()
				assert.NilError(t, (&Store{Client: losingClient(&me, tc.losses...)}).Accept(ctx, stepOf("s", 1)))
				assert.Assert(t, time.Since(begun).Truncate(time.Millisecond) == tc.within, "%v", time.Since(begun))

				ho := &lease.Holder{Client: me.Client(), Name: "name", Owner: "owner", TTL: time.Minute}
				ho.Step(t.Context())
				fence, _ := ho.Fence(1)
				ws := WriteSet{Chunks: []Chunk{{Results: []Result{{Item: "s-0-0"}}, Step: "s"}}}
				ctx, cancel = context.WithTimeout(t.Context(), resultsWriteTimeout)
				defer cancel()
				begun = time.Now()
				done, err := (&Store{Client: losingClient(&me, tc.losses...)}).Write(ctx, fence, ws)
				assert.NilError(t, err)
				assert.Assert(t, done)
				assert.Assert(t, time.Since(begun).Truncate(time.Millisecond) == tc.within, "%v", time.Since(begun))
				chunks, err := (&Store{Client: me.Client()}).Chunks(t.Context(), "s")
				assert.NilError(t, err)
				assert.Equal(t, len(chunks), 1)
			})
		})
	}
}

func TestWriteTimeoutOutcome(t *testing.T) {
	// Guards against reporting a write that timed out as failed: its outcome is unknown.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		cl := losingClient(&me, loss{applied: true})
		cl.GetFunc = func(ctx context.Context, _ string) (keyvalue.Item, error) {
			<-ctx.Done()
			return keyvalue.Item{}, keyvalue.ErrUnavailable
		}
		ctx, cancel := context.WithTimeout(t.Context(), resultsWriteTimeout)
		defer cancel()
		err := (&Store{Client: cl}).Accept(ctx, stepOf("s", 1))
		assert.Assert(t, errors.Is(err, keyvalue.ErrOutcomeUnknown), "%v", err)
	})
}

// A delayedStore delays the first transaction until arrive is called.
type delayedStore struct {
	keyvalue.Memory
	kept atomic.Pointer[keyvalue.Transaction]
}

func (ls *delayedStore) client() *keyvalue.Client {
	cl := ls.Client()
	transact := cl.TransactFunc
	cl.TransactFunc = func(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
		if ls.kept.CompareAndSwap(nil, &tx) {
			<-ctx.Done()
			return 0, keyvalue.ErrOutcomeUnknown
		}
		return transact(ctx, tx)
	}
	return cl
}

// deliver applies the delayed transaction, if its expectations hold.
func (ls *delayedStore) deliver(t *testing.T) {
	t.Helper()
	_, err := ls.Client().Transact(t.Context(), *ls.kept.Load())
	assert.Assert(t, err == nil || errors.Is(err, keyvalue.ErrConflict), "%v", err)
}

// mustWrite applies a write set and fails the test unless it succeeds.
func mustWrite(t *testing.T, sto *Store, up WriteSet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), resultsWriteTimeout)
	defer cancel()
	done, err := sto.Write(ctx, keyvalue.Expectation{Key: "fence"}, up)
	assert.NilError(t, err)
	assert.Assert(t, done)
}

// Guards against a delayed duplicate of a write, applied after later writes, restoring an old account or a dropped
// step.
func TestDelayedWritesRevertNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ls delayedStore
		sto := &Store{Client: ls.client()}
		mustWrite(t, sto, WriteSet{Account: []byte("a"), Deletes: []string{"x"}})
		mustWrite(t, sto, WriteSet{Account: []byte("b"), Deletes: []string{"y"}})
		ls.deliver(t)
		account, err := sto.Account(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, string(account), "b")
		mustWrite(t, sto, WriteSet{Account: []byte("c"), Deletes: []string{"z"}})
	})
	t.Run("another process wrote the account", func(t *testing.T) {
		var me keyvalue.Memory
		sto := &Store{Client: me.Client()}
		mustWrite(t, sto, WriteSet{Account: []byte("a"), Deletes: []string{"x"}})
		mustWrite(t, &Store{Client: me.Client()}, WriteSet{Account: []byte("b"), Deletes: []string{"x"}})
		mustWrite(t, sto, WriteSet{Account: []byte("c"), Deletes: []string{"x"}})
		account, err := sto.Account(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, string(account), "c")
	})
	t.Run("a cut", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var ls delayedStore
			other := &Store{Client: ls.Client()}
			assert.NilError(t, other.Accept(t.Context(), stepOf("s", 2)))
			assert.NilError(t, other.End(t.Context(), "s"))
			sto := &Store{Client: ls.client()}
			mustWrite(t, sto, WriteSet{Cuts: []*Step{stepOf("s", 2).withoutItems()}, Deletes: []string{"x"}})
			assert.NilError(t, sto.Drop(t.Context(), "s"))
			ls.deliver(t)
			ch, err := ls.Client().Scan(t.Context(), intakePrefix)
			assert.NilError(t, err)
			var in intake
			in.apply(ch.Items, true)
			assert.Assert(t, in.steps["s"] == nil || in.ended["s"], "a restored step has ended and will be dropped")
		})
	})
	t.Run("a checkpoint", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var ls delayedStore
			sto := &Store{Client: ls.client()}
			cp := Checkpoint{Step: "s", Partials: []Partial{{Item: "s-0-0", Events: events(1, 20, 1)}}}
			next := Checkpoint{Number: 1, Step: "s", Partials: []Partial{{Item: "s-0-0", First: 20, Events: events(21, 40, 1)}}}
			mustWrite(t, sto, WriteSet{Checkpoints: []Checkpoint{cp}})
			mustWrite(t, sto, WriteSet{Checkpoints: []Checkpoint{next}})
			ls.deliver(t)
			kept, err := sto.Stored(t.Context(), "s")
			assert.NilError(t, err)
			ta := NewTable(1, nil)
			ta.Accept(stepOf("s", 1), kept, false, begin)
			assert.Equal(t, len(ta.steps["s"].items[0].events), 40)
			mustWrite(t, sto, WriteSet{Deletes: []string{checkpointKey("s", 0), checkpointKey("s", 1)}}) // as at the end of the step
			ls.deliver(t)
			ta = NewTable(1, nil)
			kept, err = sto.Stored(t.Context(), "s")
			assert.NilError(t, err)
			ta.Accept(stepOf("s", 1).withoutItems(), kept, true, begin)
			assert.Assert(t, !ta.HasOpenWork())
			assert.NilError(t, sto.Drop(t.Context(), "s"))
			ch, err := ls.Client().Scan(t.Context(), checkpointPrefix)
			assert.NilError(t, err)
			assert.Equal(t, len(ch.Items), 0)
		})
	})
}
