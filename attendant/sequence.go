package attendant

import (
	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
)

// ErrGap means that tokens of an answer are missing or repeated.
var ErrGap = errors.New("tokens are not contiguous")

// A sequence checks that the chunks of an answer belong to one request and are contiguous.
type sequence struct {
	id   string
	next int // position of the next token in the whole answer
}

// check reports whether ch is the next chunk. It does not advance.
func (sq *sequence) check(ch engine.Chunk) error {
	// On a shared connection a chunk may belong to another request.
	if ch.RequestID != sq.id {
		return errors.Wrapf(engine.ErrMismatchedResponse, "request %s: chunk of %s", sq.id, ch.RequestID)
	}
	// A lost or repeated chunk would silently corrupt the answer.
	if len(ch.Tokens) > 0 && ch.First != sq.next {
		return errors.Wrapf(ErrGap, "request %s: chunk at %d, want %d", sq.id, ch.First, sq.next)
	}
	return nil
}
