package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

// Failure: a streaming endpoint answers with the status 000, and its caller gets no answer or that one.
func TestStreamWithStatusThatIsNoAnswer(t *testing.T) {
	for kind, want := range map[directory.Kind]int{directory.AtMostOnce: http.StatusBadGateway, directory.Repeatable: http.StatusOK} {
		de := deploy(t, directory.Route{Kind: kind, MaxAttempts: 2, Resumable: kind == directory.Repeatable, Streaming: true}, statusZero, stream(3, 0))
		status, _, _ := de.ask(t, http.MethodPost, "/a", "body")
		assert.Equal(t, status, want)
		assert.Assert(t, de.forwarder.table.row("endpoint-0").failures > 0, "the endpoint counts as failing")
	}
}
