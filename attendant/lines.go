package attendant

import (
	"encoding/json"
	"net/http"
	"time"
)

// writeTimeout is the timeout for writing one line. A reader that stops reading must not block the
// engine.
const writeTimeout = 10 * time.Second

// lines writes an answer as JSON lines and flushes each.
type lines[T any] struct {
	control *http.ResponseController
	encoder *json.Encoder
	err     error // first error; nothing is written after it
}

// newLines returns lines that write to rw.
func newLines[T any](rw http.ResponseWriter) *lines[T] {
	rw.Header().Set("Content-Type", "application/jsonl")
	return &lines[T]{control: http.NewResponseController(rw), encoder: json.NewEncoder(rw)}
}

// write writes one line.
func (li *lines[T]) write(value T) error {
	if li.err != nil {
		return li.err
	}
	// Not every connection supports deadlines; the others have only the server's own timeouts.
	_ = li.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if li.err = li.encoder.Encode(value); li.err == nil {
		li.err = li.control.Flush()
	}
	return li.err
}
