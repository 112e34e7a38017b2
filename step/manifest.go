package step

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// A manifest lists the items whose results a chunk holds. It is written with its chunk, under the
// prefix of the step's checkpoints, so that one call reads both. Earlier releases decode it as a
// checkpoint without text.
//
// A new scheduler needs only the IDs of the listed items to place the others. Reading all texts
// first would leave the engines idle.
type manifest struct {
	Listed []string // item IDs, in the order of the results
}

// manifestPrefix returns the key prefix of a step's manifests.
func manifestPrefix(id string) string { return checkpointPrefix + id + "/listed/" }

func manifestKey(id string, number int) string {
	return fmt.Sprintf("%s%06d", manifestPrefix(id), number)
}

func manifestOf(ch Chunk) manifest {
	var ma manifest
	for _, re := range ch.Results {
		ma.Listed = append(ma.Listed, re.Item)
	}
	return ma
}

// Stored returns the stored progress of an open step, without results if all chunks have a
// manifest.
func (sto *Store) Stored(ctx context.Context, id string) (StoredStep, error) {
	ch, err := sto.Client.Scan(ctx, checkpointPrefix+id+"/")
	if err != nil {
		return StoredStep{}, err
	}
	stored, gapless, err := decodeStoredStep(id, ch.Items)
	if err != nil {
		return StoredStep{}, err
	}
	if gapless {
		// A chunk without a manifest was written by an earlier release.
		_, err := sto.Client.Get(ctx, listedKey(id, len(stored.Marked)))
		if errors.Is(err, keyvalue.ErrNotFound) {
			return stored, nil
		}
		if err != nil {
			return StoredStep{}, err
		}
	}
	stored.Marked = nil
	stored.Listed, err = sto.Chunks(ctx, id)
	return stored, err
}

// decodeStoredStep decodes manifests and checkpoints of a step, and reports whether the manifests cover
// consecutive chunks from the first one on.
func decodeStoredStep(id string, items []keyvalue.Item) (stored StoredStep, gapless bool, err error) {
	gapless = true
	for _, it := range items {
		if strings.HasPrefix(it.Key, manifestPrefix(id)) {
			var ma manifest
			if err := cbor.Unmarshal(it.Value, &ma); err != nil {
				return StoredStep{}, false, errors.Wrapf(err, "decode %s", it.Key)
			}
			gapless = gapless && it.Key == manifestKey(id, len(stored.Marked))
			stored.Marked = append(stored.Marked, ma.Listed)
			continue
		}
		var cp Checkpoint
		if err := cbor.Unmarshal(it.Value, &cp); err != nil {
			return StoredStep{}, false, errors.Wrapf(err, "decode %s", it.Key)
		}
		stored.Checkpoints = append(stored.Checkpoints, cp)
	}
	return stored, gapless, nil
}

// chunkItems returns the item IDs of each listed chunk.
func (ss StoredStep) chunkItems() [][]string {
	if ss.Listed == nil {
		return ss.Marked
	}
	var chunks [][]string
	for _, results := range ss.Listed {
		chunks = append(chunks, manifestOf(Chunk{Results: results}).Listed)
	}
	return chunks
}

// restoreListed restores the listed results of a step, and returns the set of their items.
func (sr *stepRow) restoreListed(ss StoredStep) map[string]bool {
	sr.results = slices.Concat(ss.Listed...)
	listed := map[string]bool{}
	var sizes []int
	total := 0
	for _, items := range ss.chunkItems() {
		sizes = append(sizes, len(items))
		total += len(items)
		for _, item := range items {
			listed[item] = true
		}
	}
	if !sr.ended {
		sr.setChunkSizes(sizes)
		sr.unread = total - len(sr.results)
	}
	return listed
}

// listedCount returns the number of listed results, loaded or not.
func (sr *stepRow) listedCount() int { return sr.unread + len(sr.results) }

// readStoredResults answers a read of an open step from a position whose result isn't loaded: it reads
// the stored chunks from there on.
func (sc *Scheduler) readStoredResults(ctx context.Context, sr *stepRow, rq ReadRequest) (Listing, error) {
	sc.mu.Lock()
	sizes, unread, later, total := sr.chunkSizes, sr.unread, sr.results, sr.step.Total()
	sc.mu.Unlock()
	var results []Result
	size := 0
	for at := max(rq.After, 0); at < unread && size <= maxListingBytes; {
		number, first, _ := findChunk(sizes, at)
		chunk, err := sc.archive.chunk(ctx, sc.Keeper, rq.ID, number)
		if err != nil {
			return Listing{}, errors.Wrapf(ErrUndetermined, "%v", err)
		}
		for _, re := range chunk[min(at-first, len(chunk)):] {
			size += len(re.Text)
			results = append(results, re)
		}
		at = first + sizes[number]
	}
	if size <= maxListingBytes {
		results = append(results, later...)
	}
	sc.Log.WithFields(logrus.Fields{
		"after": rq.After, "results": len(results), stepField: rq.ID, "unread": unread,
	}).Info("earlier results read")
	return page(results, 0, total), nil
}

// loadListedResults loads the results of open steps that were restored from manifests. Until then, reads
// of them depend on the key-value service.
func (sc *Scheduler) loadListedResults(ctx context.Context) {
	sc.mu.Lock()
	te := sc.term
	var srs []*stepRow
	if te != nil && te.ready {
		for _, sr := range te.table.openSteps {
			if sr.unread > 0 {
				srs = append(srs, sr)
			}
		}
	}
	sc.mu.Unlock()
	for _, sr := range srs {
		chunks, err := sc.archive.all(ctx, sc.Keeper, sr.step.ID)
		if err != nil {
			sc.Log.WithError(err).WithField(stepField, sr.step.ID).Warn("can't load the listed results of an open step")
			continue
		}
		results := slices.Concat(chunks...)
		sc.mu.Lock()
		if sc.term == te && !sr.ended && len(results) >= sr.unread {
			sr.results = slices.Concat(results[:sr.unread], sr.results)
			sr.unread = 0
		}
		sc.mu.Unlock()
	}
}
