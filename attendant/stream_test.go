package attendant_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// stream requests a live stream, logs how it ended and returns its tokens.
func (se *session) stream(id string, resume []engine.Token) []engine.Token {
	body, err := json.Marshal(engine.GenerateRequest{MaxTokens: 12, Prompt: "draft an order", Resume: resume})
	assert.NilError(se, err)
	rq, err := http.NewRequestWithContext(se.Context(), http.MethodPost,
		"http://a:1/endpoints/draft-1/stream", strings.NewReader(string(body)))
	assert.NilError(se, err)
	rq.Header.Set(message.RequestIDHeader, id)
	rs, err := se.client.Do(rq)
	assert.NilError(se, err)
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		se.note("stream %s: %d fate=%s", id, rs.StatusCode, rs.Header.Get(message.FateHeader))
		return nil
	}
	var tokens []engine.Token
	var ch engine.Chunk
	lines, de := 0, json.NewDecoder(rs.Body)
	for !ch.Done {
		ch = engine.Chunk{}
		if err = de.Decode(&ch); err != nil {
			break
		}
		assert.Equal(se, ch.RequestID, id)
		assert.Equal(se, ch.First, len(resume)+len(tokens))
		tokens = append(tokens, ch.Tokens...)
		lines++
	}
	se.note("stream %s: %d lines, %d tokens, done %t%s", id, lines, len(tokens), ch.Done, textOf(err))
	return tokens
}

// Guards against truncated answers that look whole, and tokens lost or duplicated on resume, when a
// stream breaks.
func TestStreams(t *testing.T) {
	run(t, func(se *session) {
		fe := &fakeEngine{version: 7}
		_, end := se.start("a:1", engineOptions("draft-1", fe))
		defer end()
		se.stream("whole", nil)
		fe.alter = func(ch *engine.Chunk) {
			if ch.First == 4 {
				time.Sleep(1200 * time.Millisecond)
			}
		}
		se.stream("slow", nil)
		fe.alter = func(ch *engine.Chunk) {
			if ch.First == 4 {
				ch.RequestID = "another"
			}
		}
		se.stream("crossed", nil)
		fe.alter, fe.breakAt = nil, 5
		tokens := se.stream("broken", nil)
		tokens = append(tokens, se.stream("resumed", tokens)...)
		for i, to := range tokens {
			assert.Equal(se, to, token("draft an order", i))
		}
		assert.Equal(se, len(tokens), 12)
		fe.fail = engine.ErrNotSent
		se.stream("not-sent", nil)
		fe.fail = engine.ErrBroken
		se.stream("broken-at-once", nil)
	})
}
