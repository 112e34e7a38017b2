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

func TestConcurrentReadsOfArchivedStep(t *testing.T) {
	// Guards against concurrent readers of an ended step each fetching and decoding all of its results, until reads
	// time out. Each chunk is fetched at most once.
	for _, before := range []bool{false, true} { // whether the step ended before the term
		t.Run(fmt.Sprintf("ended before the term %v", before), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				sto := &Store{Client: me.Client()}
				chunks := [][]Result{{{Item: "a"}, {Item: "b"}}, {{Item: "c"}}, {{Item: "d"}}}
				for number, results := range chunks {
					_, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{
						Chunks: []Chunk{{Number: number, Results: results, Step: "s"}},
					})
					assert.NilError(t, err)
				}
				ta := NewTable(1, nil)
				ta.Accept(stepOf("s", 5), StoredStep{Listed: chunks}, before, begin)
				ta.End("s")
				ta.steps["s"].results = nil // as after eviction from memory
				te := &term{epoch: 1, ready: true, table: ta}
				sc := &Scheduler{Keeper: sto, Log: discardLog(), term: te}
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

// readAll pages through a step's results as trainers do, until an empty page, and returns the item IDs.
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

func TestSharedFetchOutlivesCanceledReader(t *testing.T) {
	// Guards against a shared fetch being canceled, for all readers, when the reader that started it times out.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		sto := &Store{Client: me.Client()}
		_, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{Chunks: []Chunk{{Results: []Result{{Item: "a"}}, Step: "s"}}})
		assert.NilError(t, err)
		me.SetFaults(keyvalue.Faults{Delay: time.Second})
		var ar archive
		short, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := ar.chunk(short, sto, "s", 0)
			assert.ErrorIs(t, err, context.DeadlineExceeded)
		})
		time.Sleep(time.Millisecond)
		results, err := ar.chunk(t.Context(), sto, "s", 0)
		assert.NilError(t, err)
		assert.Equal(t, results[0].Item, "a")
		wg.Wait()
	})
}
