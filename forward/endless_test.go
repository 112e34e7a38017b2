package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

// endless answers with a body that does not end until the connection closes, and counts its bytes.
func endless(sent *atomic.Int64) behaviour {
	return func(rw http.ResponseWriter, rq *http.Request, run func()) {
		run()
		sign(rw, rq)
		kilobyte := strings.Repeat("x", 1<<10)
		for {
			n, err := io.WriteString(rw, kilobyte)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// Failure: endpoints in trouble send bodies without end, until the entry is out of memory.
func TestEndlessAnswersFitMemory(t *testing.T) {
	const bound, callers, socketBuffers = 4 << 20, 6, 10 << 20
	var sent atomic.Int64
	de := deploy(t, directory.Route{Kind: directory.AtMostOnce, MaxAttempts: 1, Timeout: time.Minute}, endless(&sent))
	de.forwarder.SetMemory(bound)
	var answers []<-chan reply
	for i := range callers {
		answers = append(answers, de.send(t, fmt.Sprint("/", i)))
	}
	for _, an := range answers {
		assert.Equal(t, (<-an).status, http.StatusGatewayTimeout)
	}
	assert.Assert(t, sent.Load() < maxAnswerSize+callers*(bound+socketBuffers), "%d bytes", sent.Load())
	total, _, _ := de.forwarder.Held()
	assert.Equal(t, total, int64(0))
	assert.Assert(t, de.forwarder.table.row("endpoint-0").failures > 0, "the endpoint counts as failing")
}

// Failure: a streaming endpoint falls silent before its first event, or sends events that say nothing, and the
// caller is told nothing at the route's timeout.
func TestSilentStreamEndsAtTimeout(t *testing.T) {
	for name, first := range map[string]behaviour{
		"no head": func(_ http.ResponseWriter, rq *http.Request, run func()) {
			run()
			_, _ = io.Copy(io.Discard, rq.Body) // the end of the connection is noticed from here on
			<-rq.Context().Done()
		},
		"no event": func(rw http.ResponseWriter, rq *http.Request, run func()) {
			run()
			_, _ = io.Copy(io.Discard, rq.Body)
			sign(rw, rq)
			rw.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(rw).Flush()
			<-rq.Context().Done()
		},
	} {
		for _, kind := range []directory.Kind{directory.AtMostOnce, directory.Repeatable} {
			t.Run(fmt.Sprint(name, " ", kind), func(t *testing.T) {
				de := deploy(t, directory.Route{
					Kind: kind, MaxAttempts: 2, Resumable: kind == directory.Repeatable, Streaming: true, Timeout: 50 * time.Millisecond,
				}, first, first)
				status, _, _ := de.ask(t, http.MethodPost, "/a", "body")
				assert.Equal(t, status, http.StatusGatewayTimeout)
			})
		}
	}
}

// Failure: an endpoint falls silent in a stream, or goes on with empty events, and holds the caller for good.
func TestSilentStreamIsResumed(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "empty events": ": nothing\n\n", "empty lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			fails := func(rw http.ResponseWriter, rq *http.Request, run func()) {
				run()
				_, _ = io.Copy(io.Discard, rq.Body)
				sign(rw, rq)
				_, _ = io.WriteString(rw, "id: 1\ndata: 1\n\n")
				for rq.Context().Err() == nil {
					_, _ = io.WriteString(rw, text)
					_ = http.NewResponseController(rw).Flush()
					time.Sleep(time.Millisecond)
				}
			}
			de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 2, Resumable: true, Streaming: true, Timeout: time.Minute}, fails, stream(3, 0))
			de.forwarder.StreamSilence = 50 * time.Millisecond
			status, answer, _ := de.ask(t, http.MethodPost, "/a", "body")
			assert.Equal(t, status, http.StatusOK)
			var events []string
			for line := range strings.Lines(answer) {
				if strings.HasPrefix(line, "data: ") {
					events = append(events, strings.TrimSpace(line))
				}
			}
			assert.DeepEqual(t, events, []string{"data: 1", "data: 2", "data: 3"})
		})
	}
}
