package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/profile"
)

// newTestEntry returns an entry whose configuration has one trainer.
func newTestEntry(t *testing.T, address string, me *keyvalue.Memory) *Entry {
	t.Helper()
	pr, fis := profile.Parse("marking", "marking.toml",
		"kind = \"samples\"\nservice = \"marker-llm\"\ntrainers = [\"marking-trainer\"]\n")
	assert.Equal(t, len(fis), 0, fis)
	rep := &profile.Replica{}
	rep.Offer(profile.NewDocument(1, pr), profile.FromService)
	return New(Options{
		Address:  address,
		Instance: address,
		KeyValue: me.Client(),
		Profiles: rep,
	})
}

// pull requests a batch from an entry and waits at most a minute.
func pull(en *Entry) *httptest.ResponseRecorder {
	path := strings.Replace(message.PullPath, "{trainer}", "marking-trainer", 1)
	rq := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"cursor":{"step":-1},"wait":"60s"}`))
	rw := httptest.NewRecorder()
	en.http.Handler.ServeHTTP(rw, rq)
	return rw
}

func TestShutdownAnswersPulls(t *testing.T) {
	// Guards against a shutdown that waits for a pull until its grace period ends, and
	// against a lease that is still held, or acquired again, after a shutdown.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		en := newTestEntry(t, "10.0.0.1:1", &me)
		en.Start()
		time.Sleep(time.Second)
		answer := make(chan *httptest.ResponseRecorder, 1)
		go func() { answer <- pull(en) }()
		time.Sleep(10 * time.Second)
		_, st := en.trainerLease("marking-trainer", time.Now())
		assert.Equal(t, st, lease.Held)

		start := time.Now()
		shutdownErr := make(chan error, 1)
		go func() { shutdownErr <- en.Shutdown(t.Context()) }()
		rw := <-answer
		assert.Equal(t, time.Since(start), time.Duration(0), "at once")
		assert.Equal(t, rw.Code, http.StatusOK, rw.Body)
		assert.Assert(t, strings.Contains(rw.Body.String(), `"retry-after":"1s"`), rw.Body)
		assert.NilError(t, <-shutdownErr)
		assert.Equal(t, time.Since(start), DefaultLinger)

		_, err := lease.Current(t.Context(), me.Client(), trainerLeasePrefix+"marking-trainer")
		assert.ErrorIs(t, err, keyvalue.ErrNotFound)
		rw = pull(en)
		assert.Equal(t, rw.Header().Get("Connection"), "close", "no idle connection is kept")
		assert.Equal(t, rw.Code, http.StatusServiceUnavailable, "lease must not be acquired again: %s", rw.Body)
	})
}
