package step

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/sync/singleflight"
)

// recentChunks is how many chunks of steps that have ended are held for their
// next reader, beside cachedResults: a chunk has 700 KB of text at most, and a
// reader takes one chunk in one or two answers.
const recentChunks = 8

// An archive reads results that a scheduler does not hold in memory. The zero
// archive is ready to use.
//
// Load pattern: trainers read several steps from the start at once, each through
// another entry, after they were dropped from memory. If each read fetched a step's whole
// listing, the process would be busy collecting garbage: reads would time out and be
// repeated, and none would be answered. An answer needs one chunk, and reads of the same
// chunk share its fetching.
type archive struct {
	fetches singleflight.Group
	mu      sync.Mutex
	recent  *simplelru.LRU[string, []Result]
}

// chunk returns one chunk of a step.
func (ar *archive) chunk(ctx context.Context, ke *Store, id string, number int) ([]Result, error) {
	key := listedKey(id, number)
	ar.mu.Lock()
	if ar.recent == nil {
		ar.recent, _ = simplelru.NewLRU[string, []Result](recentChunks, nil) // fails for no size only
	}
	results, ok := ar.recent.Get(key)
	ar.mu.Unlock()
	if ok {
		return results, nil
	}
	return share(ctx, &ar.fetches, key, func(ctx context.Context) ([]Result, error) {
		results, err := ke.Chunk(ctx, id, number)
		if err == nil {
			ar.mu.Lock()
			ar.recent.Add(key, results)
			ar.mu.Unlock()
		}
		return results, err
	})
}

// whole returns all chunks of a step.
func (ar *archive) whole(ctx context.Context, ke *Store, id string) ([][]Result, error) {
	return share(ctx, &ar.fetches, id, func(ctx context.Context) ([][]Result, error) { return ke.Listed(ctx, id) })
}

// share waits for what fetch returns, or for what a fetch of the same key returns
// that is under way. Fetch goes on when ctx ends, since others may wait for it.
func share[Out any](ctx context.Context, gr *singleflight.Group, key string, fetch func(context.Context) (Out, error)) (Out, error) {
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

// archived reports whether a step's results are to be read from what is kept: it
// ended before the scheduler's term, or they were dropped from memory.
func (sr *stepRow) archived() bool {
	return sr.ended && len(sr.results) == 0 && !sr.resultsLoaded && (!sr.chunkSizesKnown || len(sr.chunkSizes) > 0)
}

// locate returns the chunk that holds a position, and the chunk's own position.
func locate(counts []int, position int) (number, first int, ok bool) {
	for number, count := range counts {
		if position < first+count {
			return number, first, true
		}
		first += count
	}
	return 0, first, false
}

// readEnded reads the results of an archived step.
//
// The answer is what was read, not what the table holds then: the term may have
// ended meanwhile, and the table of a scheduler that retires takes nothing in. A
// reader was told that there was nothing where it had read results before.
func (sc *Scheduler) readEnded(ctx context.Context, te *term, sr *stepRow, rq ReadRequest) (Listing, error) {
	sc.mu.Lock()
	counts, counted, total := sr.chunkSizes, sr.chunkSizesKnown, sr.step.Total()
	sc.mu.Unlock()
	if !counted {
		return sc.readWhole(ctx, te, sr, rq)
	}
	number, first, ok := locate(counts, max(rq.After, 0))
	if !ok {
		return Listing{Total: total}, nil
	}
	results, err := sc.archive.chunk(ctx, sc.Keeper, rq.ID, number)
	if err != nil {
		return Listing{}, errors.Wrapf(ErrUnsure, "%v", err)
	}
	return page(results, rq.After-first, total), nil
}

// readWhole reads all results of a step, and notes how many each chunk holds.
func (sc *Scheduler) readWhole(ctx context.Context, te *term, sr *stepRow, rq ReadRequest) (Listing, error) {
	chunks, err := sc.archive.whole(ctx, sc.Keeper, rq.ID)
	if err != nil {
		return Listing{}, errors.Wrapf(ErrUnsure, "%v", err)
	}
	results := slices.Concat(chunks...)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.term == te && !sr.chunkSizesKnown {
		var counts []int
		for _, chunk := range chunks {
			counts = append(counts, len(chunk))
		}
		sr.count(counts)
		sr.resultsLoaded, sr.results = true, results
	}
	return page(results, rq.After, sr.step.Total()), nil
}

// count notes how many results each chunk that is listed holds.
func (sr *stepRow) count(counts []int) {
	sr.chunkSizesKnown, sr.chunks, sr.chunkSizes = true, len(counts), counts
}
