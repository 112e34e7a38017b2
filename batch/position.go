package batch

import (
	"cmp"

	"github.com/cockroachdb/errors"

	"wisteriacroft/ledger"
	"wisteriacroft/message"
)

// A position is a position in a trainer's sequence of batches.
type position struct {
	step    int
	ordinal int
}

// origin is the position before the first batch.
var origin = position{step: -1, ordinal: -1}

// before reports whether po is before other.
func (po position) before(other position) bool {
	return cmp.Or(cmp.Compare(po.step, other.step), cmp.Compare(po.ordinal, other.ordinal)) < 0
}

// positionOf returns the position of a cursor.
func positionOf(cu message.Cursor) (position, error) {
	if cu.Batch == "" {
		return origin, nil
	}
	id, err := ledger.ParseBatchID(cu.Batch)
	if err == nil && id.Step != cu.Step {
		err = errors.Newf("batch %q is not of step %d", cu.Batch, cu.Step)
	}
	return position{step: id.Step, ordinal: id.Ordinal}, err
}
