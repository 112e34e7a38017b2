package step

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

func TestManyReadOldResults(t *testing.T) {
	// Symptom: steps can't be read any more at the end of a day, for 5 s and longer.
	// Sequence: steps have ended and left memory; twenty trainers read them from the
	// start at once.
	// Cause: each answer fetched and decoded the step's whole listing, so that the
	// scheduler did nothing but collect garbage, and reads that timed out were
	// repeated.
	for _, before := range []bool{false, true} { // the step ended before the term
		t.Run(fmt.Sprintf("ended before the term %v", before), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				ke := &Store{Client: me.Client()}
				chunks := [][]Result{{{Item: "a"}, {Item: "b"}}, {{Item: "c"}}, {{Item: "d"}}}
				for number, results := range chunks {
					_, err := ke.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{
						Chunks: []Chunk{{Number: number, Results: results, Step: "s"}},
					})
					assert.NilError(t, err)
				}
				ta := NewTable(1, nil)
				ta.Accept(stepOf("s", 5), StoredStep{Listed: chunks}, before, begin)
				ta.End("s")
				ta.steps["s"].results = nil // as when they leave memory
				te := &term{epoch: 1, ready: true, table: ta}
				sc := &Scheduler{Keeper: ke, Log: quiet(), term: te}
				me.SetFaults(keyvalue.Faults{Delay: 10 * time.Millisecond})
				calls := me.Calls().Reads
				var wg sync.WaitGroup
				for range 20 {
					wg.Go(func() { assert.DeepEqual(t, readAll(t, sc), []string{"a", "b", "c", "d"}) })
				}
				wg.Wait()
				assert.Assert(t, me.Calls().Reads-calls <= int64(len(chunks)), "calls: %d", me.Calls().Reads-calls)
			})
		})
	}
}

// readAll reads a step as trainers do: from the position after the last result
// until nothing comes.
func readAll(t *testing.T, sc *Scheduler) []string {
	t.Helper()
	var items []string
	for {
		li, err := sc.read(t.Context(), ReadRequest{After: len(items), ID: "s"})
		assert.NilError(t, err)
		assert.Equal(t, li.Total, 5)
		if len(li.Results) == 0 {
			return items
		}
		for _, re := range li.Results {
			items = append(items, re.Item)
		}
	}
}

func TestReaderThatLeavesTakesNoneAlong(t *testing.T) {
	// Symptom: a reader gets an error though the key-value service answers.
	// Sequence: two readers wait for one chunk; the first one's time is up.
	// Cause: the fetch ended with the one that had begun it.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		ke := &Store{Client: me.Client()}
		_, err := ke.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{Chunks: []Chunk{{Results: []Result{{Item: "a"}}, Step: "s"}}})
		assert.NilError(t, err)
		me.SetFaults(keyvalue.Faults{Delay: time.Second})
		var ar archive
		short, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := ar.chunk(short, ke, "s", 0)
			assert.ErrorIs(t, err, context.DeadlineExceeded)
		})
		time.Sleep(time.Millisecond)
		results, err := ar.chunk(t.Context(), ke, "s", 0)
		assert.NilError(t, err)
		assert.Equal(t, results[0].Item, "a")
		wg.Wait()
	})
}
