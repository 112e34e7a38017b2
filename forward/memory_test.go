package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

// post sends a body with ada's key, and with a Content-Length if withLength.
func (de *deployment) post(t *testing.T, body io.Reader, withLength bool) *http.Response {
	t.Helper()
	if !withLength {
		body = io.MultiReader(body)
	}
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/a", body)
	assert.NilError(t, err)
	rq.Host = "desk"
	rq.Header.Set(headers.RequestID, "request")
	rq.Header.Set(headers.Key, "Bearer k")
	resp, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp
}

// deployWithMemory starts an entry with a memory limit and without a limit on body sizes.
func deployWithMemory(t *testing.T, bound int64) *deployment {
	t.Helper()
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 1}, succeeding)
	de.requireKeys(false)
	co := *de.forwarder.Directory.Configuration()
	co.Version++
	co.Limits.BodySize = 0
	de.forwarder.Directory.SetConfiguration(&co)
	de.forwarder.Directory.Confirm(directory.TopicOperator, time.Now())
	de.forwarder.SetMemory(bound)
	return de
}

// An idle entry must accept any body within the memory limit, also one larger than half of it, and
// must answer 413, not a retryable 503, to a larger one.
func TestIdleEntryAcceptsLargeBodies(t *testing.T) {
	const bound = 64 << 10
	for _, tc := range []struct {
		size   int
		status int
	}{
		{bound / 4, http.StatusOK},
		{bound/2 + 1, http.StatusOK},
		{bound * 9 / 10, http.StatusOK},
		{bound + 1, http.StatusRequestEntityTooLarge},
		{2 * bound, http.StatusRequestEntityTooLarge},
	} {
		for _, withLength := range []bool{true, false} {
			de := deployWithMemory(t, bound)
			got := de.post(t, strings.NewReader(strings.Repeat("x", tc.size)), withLength) //nolint:bodyclose // post closes it
			assert.Equal(t, got.StatusCode, tc.status, "%d bytes, with length %v", tc.size, withLength)
			assert.Equal(t, got.Header.Get("Retry-After"), "")
			waitUntil(t, "nothing is held", func() bool { total, _, _ := de.forwarder.Held(); return total == 0 })
		}
	}
}

// Of two concurrent bodies, each larger than half of the memory limit, one must be accepted: read
// concurrently, each would be rejected because of the other.
func TestConcurrentLargeBodies(t *testing.T) {
	const bound = 64 << 10
	de := deployWithMemory(t, bound)
	rd, wr := io.Pipe()
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/a", rd)
	assert.NilError(t, err)
	rq.Host, rq.ContentLength = "desk", bound*6/10
	rq.Header.Set(headers.RequestID, "first")
	rq.Header.Set(headers.Key, "Bearer k")
	first := make(chan int)
	go func() {
		resp, err := http.DefaultClient.Do(rq)
		if err != nil {
			first <- 0
			return
		}
		_ = resp.Body.Close()
		first <- resp.StatusCode
	}()
	_, err = wr.Write(make([]byte, 1000))
	assert.NilError(t, err)
	waitUntil(t, "it is reserved", func() bool { total, _, _ := de.forwarder.Held(); return total == bound*6/10 })
	second := de.post(t, strings.NewReader(strings.Repeat("x", bound*6/10)), true) //nolint:bodyclose // post closes it
	assert.Equal(t, second.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, second.Header.Get("Retry-After"), "0.2")
	_, err = wr.Write(make([]byte, bound*6/10-1000))
	assert.NilError(t, err)
	assert.NilError(t, wr.Close())
	assert.Equal(t, <-first, http.StatusOK)
	waitUntil(t, "nothing is held", func() bool { total, _, _ := de.forwarder.Held(); return total == 0 })
	again := de.post(t, strings.NewReader(strings.Repeat("x", bound*6/10)), true) //nolint:bodyclose // post closes it
	assert.Equal(t, again.StatusCode, http.StatusOK)
}
