package idempotency

import (
	"net/http"
	"time"
)

// A state is what is known of a key.
type state int

const (
	running state = iota
	ran           // whether or not its answer is still held
	lost          // its fate is unknown
	never         // it has not run since the home started, and won't
)

// A Response is a recorded answer of the endpoint.
type Response struct {
	Body   []byte
	Header http.Header
	Status int
}

// size returns about how many bytes the answer takes.
func (an *Response) size() int {
	size := len(an.Body)
	for name, values := range an.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// A row is one key that came.
type row struct {
	answer *Response // nil if none is held
	digest uint64
	expire time.Time // when the key is too old to be served
	state  state
}
