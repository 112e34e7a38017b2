package attendant

import (
	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
)

// ErrGap means that tokens are missing from an answer, or doubled.
var ErrGap = errors.New("tokens are not contiguous")

// A sequence checks that the chunks of an answer belong to one request and
// follow each other.
type sequence struct {
	id   string
	next int // position of the next token in the whole answer
}

// check tells whether ch comes next. It changes nothing.
func (sq *sequence) check(ch engine.Chunk) error {
	// A connection that two requests share can hand one the other's answer.
	// It shows in the echoed id, and the chunk must not count for this one.
	if ch.RequestID != sq.id {
		return errors.Wrapf(engine.ErrMismatchedResponse, "request %s: chunk of %s", sq.id, ch.RequestID)
	}
	// A chunk lost or doubled on the way shows in the position of its first
	// token. Without the check the answer would silently lack tokens.
	if len(ch.Tokens) > 0 && ch.First != sq.next {
		return errors.Wrapf(ErrGap, "request %s: chunk at %d, want %d", sq.id, ch.First, sq.next)
	}
	return nil
}
