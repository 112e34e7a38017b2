package call

import (
	"encoding/json"
	"net/http"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// A testLines writes the chunks of a fake stream.
type testLines struct {
	id     string // request id written in chunks
	own    string // id of the request
	resume int    // number of tokens in the request's Resume
	rw     http.ResponseWriter
}

func newTestLines(rw http.ResponseWriter, rq *http.Request) *testLines {
	var req engine.GenerateRequest
	if err := json.NewDecoder(rq.Body).Decode(&req); err != nil {
		panic(err)
	}
	id := rq.Header.Get(message.RequestIDHeader)
	return &testLines{id: id, own: id, resume: len(req.Resume), rw: rw}
}

// chunk writes n tokens from position first; the id of each is its position.
func (li *testLines) chunk(first, n int, ve engine.Version, done bool) {
	ch := engine.Chunk{Done: done, First: first, RequestID: li.id, Version: ve}
	for i := range n {
		ch.Tokens = append(ch.Tokens, engine.Token{ID: int32(first + i)})
	}
	if err := json.NewEncoder(li.rw).Encode(ch); err != nil {
		panic(err)
	}
	li.rw.(http.Flusher).Flush()
}
