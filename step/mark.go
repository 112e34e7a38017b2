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

// A mark names the items whose results a chunk holds, without the results. It is written
// with its chunk, under the prefix of the step's checkpoints: one call reads both, and an
// earlier version of the program takes a mark for a checkpoint without text.
//
// Load pattern: all instances lose power while several steps are half listed, with megabytes
// of text. A new scheduler needs only the names of the listed items to place the others. If
// it read the texts first, all engines would be idle meanwhile.
type mark struct {
	Listed []string // items of the chunk's results, in their order
}

// markPrefix returns the prefix of the keys of a step's marks.
func markPrefix(id string) string { return checkpointPrefix + id + "/listed/" }

// markKey returns the key of the mark of a chunk.
func markKey(id string, number int) string { return fmt.Sprintf("%s%06d", markPrefix(id), number) }

// markOf returns the mark of a chunk.
func markOf(ch Chunk) mark {
	var ma mark
	for _, re := range ch.Results {
		ma.Listed = append(ma.Listed, re.Item)
	}
	return ma
}

// Stored returns what earlier schedulers kept of an open step: marks in place of results, if all
// chunks have one.
func (ke *Store) Stored(ctx context.Context, id string) (StoredStep, error) {
	ch, err := ke.Client.Scan(ctx, checkpointPrefix+id+"/")
	if err != nil {
		return StoredStep{}, err
	}
	kept, gapless, err := decodeKept(id, ch.Items)
	if err != nil {
		return StoredStep{}, err
	}
	if gapless {
		// A chunk without a mark was written by an earlier version of the program.
		_, err := ke.Client.Get(ctx, listedKey(id, len(kept.Marked)))
		if errors.Is(err, keyvalue.ErrNotFound) {
			return kept, nil
		}
		if err != nil {
			return StoredStep{}, err
		}
	}
	kept.Marked = nil
	kept.Listed, err = ke.Chunks(ctx, id)
	return kept, err
}

// decodeKept decodes marks and checkpoints of a step, and reports whether the marks are those
// of the first chunks without a gap.
func decodeKept(id string, items []keyvalue.Item) (kept StoredStep, gapless bool, err error) {
	gapless = true
	for _, it := range items {
		if strings.HasPrefix(it.Key, markPrefix(id)) {
			var ma mark
			if err := cbor.Unmarshal(it.Value, &ma); err != nil {
				return StoredStep{}, false, errors.Wrapf(err, "decode %s", it.Key)
			}
			gapless = gapless && it.Key == markKey(id, len(kept.Marked))
			kept.Marked = append(kept.Marked, ma.Listed)
			continue
		}
		var cp Checkpoint
		if err := cbor.Unmarshal(it.Value, &cp); err != nil {
			return StoredStep{}, false, errors.Wrapf(err, "decode %s", it.Key)
		}
		kept.Checkpoints = append(kept.Checkpoints, cp)
	}
	return kept, gapless, nil
}

// chunks returns the items of each chunk that is listed.
func (ke StoredStep) chunks() [][]string {
	if ke.Listed == nil {
		return ke.Marked
	}
	var chunks [][]string
	for _, results := range ke.Listed {
		chunks = append(chunks, markOf(Chunk{Results: results}).Listed)
	}
	return chunks
}

// takeKept takes over what earlier schedulers listed of a step, and returns the items whose
// results these are.
func (sr *stepRow) takeKept(ke StoredStep) map[string]bool {
	sr.results = slices.Concat(ke.Listed...)
	listed := map[string]bool{}
	var counts []int
	total := 0
	for _, items := range ke.chunks() {
		counts = append(counts, len(items))
		total += len(items)
		for _, item := range items {
			listed[item] = true
		}
	}
	if !sr.ended {
		sr.setChunkSizes(counts)
		sr.unread = total - len(sr.results)
	}
	return listed
}

// listedCount returns how many results are listed.
func (sr *stepRow) listedCount() int { return sr.unread + len(sr.results) }

// readUnread answers a read of an open step from a position whose result an earlier scheduler
// listed, and of which this one holds only the mark: it reads the chunks from there on.
func (sc *Scheduler) readUnread(ctx context.Context, sr *stepRow, rq ReadRequest) (Listing, error) {
	sc.mu.Lock()
	counts, unread, later, total := sr.counts, sr.unread, sr.results, sr.step.Total()
	sc.mu.Unlock()
	var results []Result
	size := 0
	for at := max(rq.After, 0); at < unread && size <= maxListingBytes; {
		number, first, _ := findChunk(counts, at)
		chunk, err := sc.archive.chunk(ctx, sc.Keeper, rq.ID, number)
		if err != nil {
			return Listing{}, errors.Wrapf(ErrUnsure, "%v", err)
		}
		for _, re := range chunk[min(at-first, len(chunk)):] {
			size += len(re.Text)
			results = append(results, re)
		}
		at = first + counts[number]
	}
	if size <= maxListingBytes {
		results = append(results, later...)
	}
	sc.Log.WithFields(logrus.Fields{
		"after": rq.After, "results": len(results), stepField: rq.ID, "unread": unread,
	}).Info("earlier results read")
	return page(results, 0, total), nil
}

// readMarked reads the results of open steps of which this scheduler holds only marks, some
// time after it has placed its first items. Until then, each read of them waits for the
// key-value service, and fails while that is down.
func (sc *Scheduler) readMarked(ctx context.Context) {
	sc.mu.Lock()
	te := sc.term
	var srs []*stepRow
	if te != nil && te.ready {
		for _, sr := range te.table.order {
			if sr.unread > 0 {
				srs = append(srs, sr)
			}
		}
	}
	sc.mu.Unlock()
	for _, sr := range srs {
		chunks, err := sc.archive.all(ctx, sc.Keeper, sr.step.ID)
		if err != nil {
			sc.Log.WithError(err).WithField(stepField, sr.step.ID).Warn("what is listed of a step can't be read")
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
