package step

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/sync/singleflight"
)

// maxCachedChunks bounds the cache of chunks of ended steps, in addition to maxCachedResults. A chunk has at most 700
// KB of text, and a reader takes one or two answers per chunk.
const maxCachedChunks = 8

// An archive reads results that a scheduler does not hold in memory. The zero value is ready to use.
//
// An answer needs one chunk, and concurrent reads of a chunk share one fetch. If each read fetched all results of its
// step, garbage collection would slow the scheduler until reads time out and are repeated.
type archive struct {
	fetches singleflight.Group
	mu      sync.Mutex
	cache   *simplelru.LRU[string, []Result]
}

// chunk returns one chunk of a step's results.
func (ar *archive) chunk(ctx context.Context, sto *Store, id string, number int) ([]Result, error) {
	key := listedKey(id, number)
	ar.mu.Lock()
	if ar.cache == nil {
		ar.cache, _ = simplelru.NewLRU[string, []Result](maxCachedChunks, nil) // fails only if the size is not positive
	}
	results, ok := ar.cache.Get(key)
	ar.mu.Unlock()
	if ok {
		return results, nil
	}
	return fetchShared(ctx, &ar.fetches, key, func(ctx context.Context) ([]Result, error) {
		results, err := sto.Chunk(ctx, id, number)
		if err == nil {
			ar.mu.Lock()
			ar.cache.Add(key, results)
			ar.mu.Unlock()
		}
		return results, err
	})
}

// all returns all chunks of a step's results.
func (ar *archive) all(ctx context.Context, sto *Store, id string) ([][]Result, error) {
	return fetchShared(ctx, &ar.fetches, id, func(ctx context.Context) ([][]Result, error) { return sto.Chunks(ctx, id) })
}

// fetchShared calls fetch, or waits for a call for the same key that is in flight. The call outlives ctx, since other
// readers may wait for it.
func fetchShared[Out any](ctx context.Context, gr *singleflight.Group, key string, fetch func(context.Context) (Out, error)) (Out, error) {
	result := gr.DoChan(key, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		return fetch(ctx)
	})
	var none Out
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case re := <-result:
		if re.Err != nil {
			return none, re.Err
		}
		return re.Val.(Out), nil
	}
}

// archived reports whether a step's results must be read from the key-value service: the step ended before the
// scheduler's term, or its results were evicted from memory.
func (sr *stepRow) archived() bool {
	return sr.ended && len(sr.results) == 0 && !sr.resultsLoaded && (!sr.chunkSizesKnown || len(sr.chunkSizes) > 0)
}

// findChunk returns the chunk that holds a position, and the position of the chunk's first result. counts holds the
// number of results of each chunk.
func findChunk(counts []int, position int) (number, first int, ok bool) {
	for number, count := range counts {
		if position < first+count {
			return number, first, true
		}
		first += count
	}
	return 0, first, false
}

// readArchived reads the results of an archived step.
//
// It answers with what it has fetched, not from the table: if the term ends during the fetch, the table is not
// updated, and a reader would get an empty answer for results that exist.
func (sc *Scheduler) readArchived(ctx context.Context, te *term, sr *stepRow, rq ReadRequest) (Listing, error) {
	sc.mu.Lock()
	counts, counted, total := sr.chunkSizes, sr.chunkSizesKnown, sr.step.Total()
	sc.mu.Unlock()
	if !counted {
		return sc.readAllChunks(ctx, te, sr, rq)
	}
	number, first, ok := findChunk(counts, max(rq.After, 0))
	if !ok {
		return Listing{Total: total}, nil
	}
	results, err := sc.archive.chunk(ctx, sc.Keeper, rq.ID, number)
	if err != nil {
		return Listing{}, errors.Wrapf(ErrUndetermined, "%v", err)
	}
	return page(results, rq.After-first, total), nil
}

// readAllChunks reads all results of a step and records how many each chunk holds.
func (sc *Scheduler) readAllChunks(ctx context.Context, te *term, sr *stepRow, rq ReadRequest) (Listing, error) {
	chunks, err := sc.archive.all(ctx, sc.Keeper, rq.ID)
	if err != nil {
		return Listing{}, errors.Wrapf(ErrUndetermined, "%v", err)
	}
	results := slices.Concat(chunks...)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.term == te && !sr.chunkSizesKnown {
		var counts []int
		for _, chunk := range chunks {
			counts = append(counts, len(chunk))
		}
		sr.setChunkSizes(counts)
		sr.resultsLoaded, sr.results = true, results
	}
	return page(results, rq.After, sr.step.Total()), nil
}

// setChunkSizes records how many results each stored chunk holds.
func (sr *stepRow) setChunkSizes(counts []int) {
	sr.chunkSizesKnown, sr.chunks, sr.chunkSizes = true, len(counts), counts
}
