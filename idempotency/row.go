package idempotency

import (
	"net/http"
	"time"
)

// A state is the state of a key.
type state int

const (
	running state = iota
	ran           // its answer may have been evicted
	lost          // outcome unknown
	barred        // has not run since the home started, and must not
)

// A Response is a recorded answer of the endpoint.
type Response struct {
	Body   []byte
	Header http.Header
	Status int
}

// size returns the approximate size of the answer in bytes.
func (rs *Response) size() int {
	size := len(rs.Body)
	for name, values := range rs.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// A row is a received key.
type row struct {
	answer *Response // nil if not kept
	digest uint64
	expire time.Time // end of the key's validity
	state  state
}
