package cmd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: a request outlasts the shutdown, and its connection closes without an answer.
func TestRequestIsAnsweredBeforeShutdownEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shutdown = 6800 * time.Millisecond
		requests, giveUp := context.WithCancel(t.Context())
		ga := &gateway{giveUp: giveUp, handler: http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
			<-hr.Context().Done()
			rw.WriteHeader(http.StatusGatewayTimeout)
		})}
		answer := httptest.NewRecorder()
		go ga.ServeHTTP(answer, httptest.NewRequestWithContext(requests, http.MethodPost, "/", nil))
		synctest.Wait()
		assert.Assert(t, ga.end().IsZero())

		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), shutdown)
		defer cancel()
		ga.stop(ctx)
		assert.Equal(t, ga.end(), begun.Add(shutdown-answerTime))
		ga.drain(ctx)
		assert.NilError(t, ctx.Err())
		assert.Equal(t, answer.Code, http.StatusGatewayTimeout)
	})
}
