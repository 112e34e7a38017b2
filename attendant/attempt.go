package attendant

import (
	"sync"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// Errors of an attempt with an invalid answer.
var (
	// ErrEmpty means that an answer has no tokens, so its version is unknown.
	ErrEmpty = errors.New("answer has no tokens")
	// ErrStale means that tokens are older than the request allows.
	ErrStale = errors.New("weights are older than allowed")
	// ErrTooLong means that an answer has more tokens than requested.
	ErrTooLong = errors.New("answer is longer than asked for")
	// ErrNoVersion means that a chunk does not name its version.
	ErrNoVersion = errors.New("chunk names no weight version")
)

// An attempt collects the tokens of one request to an engine with their versions. It adds a chunk
// completely or not at all, so all its tokens have a version.
type attempt struct {
	request message.SampleRequest

	mu       sync.Mutex
	done     bool
	segments []engine.Segment
	sequence sequence
	tokens   []engine.Token
}

func newAttempt(req message.SampleRequest) *attempt {
	return &attempt{request: req, sequence: sequence{id: req.Attempt}}
}

// id returns the attempt's id.
func (at *attempt) id() string { return at.request.Attempt }

// add appends the next chunk. After an error the attempt is unchanged.
func (at *attempt) add(ch engine.Chunk) error {
	at.mu.Lock()
	defer at.mu.Unlock()
	if err := at.check(ch); err != nil {
		return err
	}
	at.done = ch.Done
	if len(ch.Tokens) == 0 {
		return nil
	}
	at.tokens = append(at.tokens, ch.Tokens...)
	at.sequence.next = len(at.tokens)
	at.segments = appendSegment(at.segments, engine.Segment{Tokens: len(ch.Tokens), Version: ch.Version})
	return nil
}

// check validates a chunk.
func (at *attempt) check(ch engine.Chunk) error {
	if err := at.sequence.check(ch); err != nil {
		return err
	}
	if len(ch.Tokens) == 0 {
		return nil
	}
	// The version of the last order is no substitute: a swap may have failed or happened in between.
	// The tokens could then be attributed to the wrong weights, which could not be detected later.
	if ch.Version == 0 {
		return errors.Wrapf(ErrNoVersion, "attempt %s: chunk at %d", at.id(), ch.First)
	}
	if uint64(ch.Version) < at.request.MinVersion {
		return errors.Wrapf(ErrStale, "attempt %s: version %d, want %d", at.id(), ch.Version, at.request.MinVersion)
	}
	if at.request.MaxTokens > 0 && len(at.tokens)+len(ch.Tokens) > at.request.MaxTokens {
		return errors.Wrapf(ErrTooLong, "attempt %s: over %d tokens", at.id(), at.request.MaxTokens)
	}
	return nil
}

// progress returns the number of tokens and the version of the last one.
func (at *attempt) progress() (int, engine.Version) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if len(at.segments) == 0 {
		return 0, 0
	}
	return len(at.tokens), at.segments[len(at.segments)-1].Version
}

// finished reports whether the answer is complete.
func (at *attempt) finished() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.done
}

// snapshot returns copies of the tokens and their segments.
func (at *attempt) snapshot() ([]engine.Token, []engine.Segment) {
	at.mu.Lock()
	defer at.mu.Unlock()
	tokens := append([]engine.Token(nil), at.tokens...)
	segments := append([]engine.Segment(nil), at.segments...)
	return tokens, segments
}

// resume starts the attempt with the tokens of an earlier one. It returns false and changes nothing
// if the segments do not cover all tokens or one of them is too old.
func (at *attempt) resume(tokens []engine.Token, segments []engine.Segment) bool {
	sum := 0
	for _, se := range segments {
		if se.Tokens <= 0 || se.Version == 0 || uint64(se.Version) < at.request.MinVersion {
			return false
		}
		sum += se.Tokens
	}
	if sum == 0 || sum != len(tokens) || at.request.MaxTokens > 0 && sum >= at.request.MaxTokens {
		return false
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	at.tokens = tokens
	at.sequence.next = len(tokens)
	for _, se := range segments {
		at.segments = appendSegment(at.segments, se)
	}
	return true
}

// payload returns the sample as stored in data folders.
func (at *attempt) payload() message.Payload {
	tokens, segments := at.snapshot()
	return message.Payload{
		Group:    at.request.Group,
		Member:   at.request.Member,
		Prompt:   at.request.Prompt,
		Segments: segments,
		Step:     at.request.Step,
		Tokens:   tokens,
		Trainer:  at.request.Trainer,
	}
}

// appendSegment appends se, or merges it into the last segment if the version is the same.
func appendSegment(segments []engine.Segment, se engine.Segment) []engine.Segment {
	if last := len(segments) - 1; last >= 0 && segments[last].Version == se.Version {
		segments[last].Tokens += se.Tokens
		return segments
	}
	return append(segments, se)
}
