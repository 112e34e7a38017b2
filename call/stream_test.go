package call

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against closing a stream's body before its end, which closes the connection instead of
// returning it for reuse.
func TestStreamsShareAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(rw http.ResponseWriter, rq *http.Request) {
			newTestLines(rw, rq).chunk(0, 2, 7, true)
			time.Sleep(time.Millisecond)
		}
		se := newSession(t, Policy{Kind: Engine, Repeatable: true}, map[string][]http.HandlerFunc{"a": {late}})
		for range 3 {
			se.do(newCall(http.MethodPost, "/v1/services/desk/stream", `{"max-tokens":2,"prompt":"draft"}`))
			synctest.Wait()
		}
		se.mu.Lock()
		defer se.mu.Unlock()
		assert.Equal(t, strings.Count(se.log.String(), "caller: 200"), 3, se.log.String())
		assert.Equal(t, len(se.attendants["a"].open), 1)
	})
}
