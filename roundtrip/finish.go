package roundtrip

import (
	"io"
	"time"
)

// Limits of Finish.
const (
	finishTimeout = 50 * time.Millisecond
	maxTrailing   = 64 << 10 // bytes
)

// Finish reads the rest of a response body after its last line, so that the connection can
// be reused. It calls cancel if the body doesn't end soon.
//
// A body that is closed before its end closes the connection, so that each stream would
// open a new one.
func Finish(body io.Reader, cancel func()) {
	ti := time.AfterFunc(finishTimeout, cancel)
	defer ti.Stop()
	// The rest is not part of the answer. An error only prevents reuse of the connection.
	_, _ = io.CopyN(io.Discard, body, maxTrailing)
}
