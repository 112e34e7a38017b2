package step

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// writeListed writes results of a step in chunks, as a scheduler does.
func writeListed(t *testing.T, ke *Store, chunks [][]Result) {
	t.Helper()
	for number, results := range chunks {
		_, err := ke.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{
			Chunks: []Chunk{{Number: number, Results: results, Step: "s"}},
		})
		assert.NilError(t, err)
	}
}

// testChunks returns results of the first items of stepOf("s", 5).
func testChunks(sizes ...int) [][]Result {
	var chunks [][]Result
	item := 0
	for _, size := range sizes {
		var results []Result
		for range size {
			results = append(results, Result{Item: fmt.Sprintf("s-0-%d", item), Text: []byte(strings.Repeat("x", 1000)), Versions: []uint64{1}})
			item++
		}
		chunks = append(chunks, results)
	}
	return chunks
}

// countReads counts the bytes that a client reads.
func countReads(cl *keyvalue.Client, size *int) *keyvalue.Client {
	counted := cl.Clone()
	counted.ScanFunc = func(ctx context.Context, prefix string) (keyvalue.Changes, error) {
		ch, err := cl.ScanFunc(ctx, prefix)
		for _, it := range ch.Items {
			*size += len(it.Value)
		}
		return ch, err
	}
	counted.GetFunc = func(ctx context.Context, key string) (keyvalue.Item, error) {
		it, err := cl.GetFunc(ctx, key)
		*size += len(it.Value)
		return it, err
	}
	return counted
}

func TestNewSchedulerPlacesBeforeItReadsTexts(t *testing.T) {
	// A new scheduler reads only the IDs of listed items before it places the others, not
	// megabytes of result texts.
	var me keyvalue.Memory
	writeListed(t, &Store{Client: me.Client()}, testChunks(2, 1))
	size := 0
	kept, err := (&Store{Client: countReads(me.Client(), &size)}).Stored(t.Context(), "s")
	assert.NilError(t, err)
	assert.Assert(t, size < 1000, "%d bytes were read", size)
	ta := tableOf(t, 2, "a")
	ta.Accept(stepOf("s", 5), kept, false, begin)
	var open []string
	for _, ir := range ta.steps["s"].items {
		if !ir.listed {
			open = append(open, ir.item.ID)
		}
	}
	assert.DeepEqual(t, open, []string{"s-0-3", "s-0-4"})
	assert.Equal(t, ta.steps["s"].chunks, 2)
}

func TestReadResultsOfEarlierScheduler(t *testing.T) {
	// The result at a position never changes: for any scheduler, any start of a read, before
	// and after the step ends, and while the texts are loaded.
	for _, tt := range []struct {
		name              string
		manifests, filled bool
	}{
		{"marks", true, false},
		{"texts read meanwhile", true, true},
		{"written by a release without manifests", false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				ke := &Store{Client: me.Client()}
				writeListed(t, ke, testChunks(2, 1))
				if !tt.manifests {
					dropManifests(t, &me)
				}
				kept, err := ke.Stored(t.Context(), "s")
				assert.NilError(t, err)
				ta := NewTable(2, nil)
				ta.Accept(stepOf("s", 5), kept, false, begin)
				te := &term{epoch: 2, ready: true, table: ta}
				sc := &Scheduler{Keeper: ke, Keep: time.Hour, Log: discardLog(), term: te}
				check := func(count int) {
					t.Helper()
					for after := range count + 1 {
						var items []string
						for len(items) < count-after {
							li, err := sc.read(t.Context(), ReadRequest{After: after + len(items), ID: "s"})
							assert.NilError(t, err)
							assert.Equal(t, li.Total, 5)
							assert.Assert(t, len(li.Results) > 0, "nothing after %d", after+len(items))
							for _, re := range li.Results {
								assert.Equal(t, len(re.Text), 1000)
								items = append(items, re.Item)
							}
						}
						for i, item := range items {
							assert.Equal(t, item, fmt.Sprintf("s-0-%d", after+i))
						}
					}
				}
				check(3)
				all := testChunks(2, 1, 1)
				ch := Chunk{Number: 2, Results: all[2], Step: "s"}
				_, err = ke.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{Chunks: []Chunk{ch}})
				assert.NilError(t, err)
				ta.ChunksListed([]Chunk{ch}, begin)
				check(4)
				if tt.filled {
					sc.loadListedResults(t.Context())
					assert.Equal(t, len(ta.steps["s"].results), 4)
					assert.Equal(t, ta.steps["s"].unread, 0)
					me.SetFaults(keyvalue.Faults{Outage: true})
					check(4)
					me.SetFaults(keyvalue.Faults{})
				}
				ta.End("s")
				check(4)
				ta.steps["s"].results = nil // as if evicted from memory
				check(4)
			})
		})
	}
}

// dropManifests removes all keys but the results themselves.
func dropManifests(t *testing.T, me *keyvalue.Memory) {
	t.Helper()
	its, err := me.Client().List(t.Context(), "")
	assert.NilError(t, err)
	var keys []string
	for _, it := range its {
		if !strings.HasPrefix(it.Key, listedPrefix) && it.Key != "lease" {
			keys = append(keys, it.Key)
		}
	}
	for part := range slices.Chunk(keys, keyvalue.MaxTransaction) {
		_, err = me.Client().Transact(t.Context(), keyvalue.Transaction{Deletes: part})
		assert.NilError(t, err)
	}
}
