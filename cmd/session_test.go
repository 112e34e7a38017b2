package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/engine"
	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/standin"
)

// volatile holds patterns of text that varies between runs, with their replacements.
var volatile = []struct {
	pattern *regexp.Regexp
	word    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`), "ADDRESS"},
	{regexp.MustCompile(`"(idle-ratio|staleness-mean)":[0-9.e-]+`), `"$1":NUMBER`},
	{regexp.MustCompile(`(order-desk)-\d`), "$1-N"},
}

// record adds lines to the transcript.
func (de *deployment) record(format string, args ...any) {
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), de.dir, "DIR")
	for _, vo := range volatile {
		text = vo.pattern.ReplaceAllString(text, vo.word)
	}
	de.session.WriteString(strings.TrimSuffix(text, "\n") + "\n")
}

// call sends a live call through an entry.
func (de *deployment) call(entry, path, profile string, headers map[string]string, body string) (int, string) {
	rq, err := http.NewRequestWithContext(de.Context(), http.MethodPost, "http://"+de.addresses[entry]+path, strings.NewReader(body))
	assert.NilError(de, err)
	rq.Header.Set(message.ProfileHeader, profile)
	for name, value := range headers {
		rq.Header.Set(name, value)
	}
	an, err := http.DefaultClient.Do(rq)
	assert.NilError(de, err)
	defer an.Body.Close()
	data, err := io.ReadAll(an.Body)
	assert.NilError(de, err)
	return an.StatusCode, string(data)
}

// orderLine sends calls with new idempotency keys until one succeeds, and returns its key
// and path.
func (de *deployment) orderLine() (key, path string) {
	number := 0
	de.waitFor("the homes to accept keys", func() bool {
		ke, err := idempotency.NewKey(time.Now())
		assert.NilError(de, err)
		number++
		key, path = ke.String(), fmt.Sprintf("/lines/%d", number)
		status, _ := de.call("entry1", "/v1/services/order-desk/call"+path, "order-line", headersOf(key), "two sacks of flour")
		return status == http.StatusOK
	})
	return key, path
}

func headersOf(key string) map[string]string {
	return map[string]string{message.IdempotencyKeyHeader: key, message.RepeatableHeader: "no"}
}

// counts returns the endpoints' own counts of what they ran.
func (de *deployment) counts() standin.Counts {
	an, err := http.Get("http://" + de.addresses["endpoints"] + "/counts")
	assert.NilError(de, err)
	defer an.Body.Close()
	var co standin.Counts
	assert.NilError(de, json.NewDecoder(an.Body).Decode(&co))
	return co
}

// TestSession runs a deployment of real processes with an operator, callers and a trainer,
// and compares the transcript with its golden file.
func TestSession(t *testing.T) {
	t.Parallel()
	de := newDeployment(t)
	de.record("$ wisteriacroft profile apply DIR/profiles\n%s", de.apply(1))

	de.ready()
	status, body := de.call("entry2", "/v1/services/order-desk/call/stock/flour", "stock", nil, "how much?")
	de.record("live call: %d %s", status, body)
	status, body = de.call("entry1", "/v1/services/draft-llm/stream", "draft-preview", nil, encode(t, engine.GenerateRequest{
		ID: "menu", MaxTokens: 400, Prompt: "a reorder for Monday", Seed: 7,
	}))
	de.record("stream: %d %s", status, describeStream(body))

	key, path := de.orderLine()
	_, first := de.call("entry1", "/v1/services/order-desk/call"+path, "order-line", headersOf(key), "two sacks of flour")
	status, again := de.call("entry2", "/v1/services/order-desk/call"+path, "order-line", headersOf(key), "two sacks of flour")
	de.record("order line, by entry2 again: %d, the same answer: %t, runs: %d", status, first == again, de.counts().Paths[path])

	trainer := program(de.T, "stand-in", "trainer", "--settings", de.write("trainer.toml", map[string]string{"steps": "1"}))
	out, err := trainer.Output()
	assert.NilError(t, err)
	de.record("$ wisteriacroft stand-in trainer\n%s", out)

	de.changeProfile()
	de.terminate("attendant1", "attendant2", "attendant3", "entry1", "entry2")
	de.terminate("endpoints", "platform")
	golden.Assert(t, de.session.String(), "session.golden")
}

// changeProfile changes a profile's file and records diff, apply and the revisions.
func (de *deployment) changeProfile() {
	dir := filepath.Join(de.dir, "profiles")
	file := filepath.Join(dir, "stock.toml")
	text, err := os.ReadFile(file)
	assert.NilError(de, err)
	assert.NilError(de, os.WriteFile(file, bytes.ReplaceAll(text, []byte(`"3s"`), []byte(`"2s"`)), 0o600))
	out, code := de.operate("profile", "diff", dir)
	de.record("$ wisteriacroft profile diff DIR/profiles\n%sexit code %d", out, code)
	de.record("$ wisteriacroft profile apply DIR/profiles\n%s", de.apply(2))
	for _, st := range de.allStatuses() {
		de.record("%s: revision %d", st.Instance, st.Revision)
	}
}

// terminate sends SIGTERM to processes concurrently and records their exit codes.
func (de *deployment) terminate(names ...string) {
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { errs[i] = de.processes[name].end(syscall.SIGTERM) })
	}
	wg.Wait()
	for i, name := range names {
		de.record("SIGTERM to %s: exit code %d, error %v", name, de.processes[name].ProcessState.ExitCode(), errs[i])
	}
}

func encode(t *testing.T, value any) string {
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return string(data)
}

// describeStream describes whether a stream is complete and generated by its named versions.
func describeStream(body string) string {
	var tokens []engine.Token
	var segments []engine.Segment
	for de := json.NewDecoder(strings.NewReader(body)); de.More(); {
		var ch engine.Chunk
		if err := de.Decode(&ch); err != nil {
			return err.Error() + ": " + body
		}
		tokens = append(tokens, ch.Tokens...)
		segments = append(segments, engine.Segment{Tokens: len(ch.Tokens), Version: ch.Version})
	}
	whole := standin.Whole("a reorder for Monday", tokens, 400)
	attributed := standin.Attributed("a reorder for Monday", tokens, segments)
	return fmt.Sprintf("%d tokens, whole: %t, made by the versions named: %t", len(tokens), whole, attributed)
}
