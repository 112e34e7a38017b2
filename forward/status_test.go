package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

// statusZero answers with the status 000, which net/http reads as 0.
func statusZero(rw http.ResponseWriter, rq *http.Request, run func()) {
	run()
	_, _ = io.Copy(io.Discard, rq.Body)
	co, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = co.Close() }()
	id := rq.Header.Get(headers.RequestID)
	_, _ = fmt.Fprintf(co, "HTTP/1.1 000 None\r\n%s: %s\r\n%s: signed\r\nContent-Length: 2\r\n\r\nok", headers.RequestID, id, headers.Signature)
}

// Failure: a streaming endpoint answers with the status 000, and its caller gets no answer or that one.
func TestStreamWithStatusThatIsNoAnswer(t *testing.T) {
	for kind, want := range map[directory.Kind]int{directory.AtMostOnce: http.StatusBadGateway, directory.Repeatable: http.StatusOK} {
		de := deploy(t, directory.Route{Kind: kind, MaxAttempts: 2, Resumable: kind == directory.Repeatable, Streaming: true}, statusZero, stream(3, 0))
		status, _, _ := de.ask(t, http.MethodPost, "/a", "body")
		assert.Equal(t, status, want)
		assert.Assert(t, de.forwarder.table.row("endpoint-0").failures > 0, "the endpoint counts as failing")
	}
}
