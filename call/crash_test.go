package call

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"wisteriacroft/message"
)

// crashes simulates an attendant whose endpoint's process ends while it runs a request with body
// "crash".
func crashes(ran *int) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		body, _ := io.ReadAll(rq.Body)
		if string(body) != "crash" {
			ok(rw, rq)
			return
		}
		*ran++
		rw.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(rw, `{"code":"fate-unknown","fate":"fate-unknown","endpoint-ended":true}`)
	}
}

func TestLiveCallThatEndsItsEndpoints(t *testing.T) {
	// Guards against a call that crashes each endpoint it is retried on until none is left for
	// other callers.
	for _, tc := range []struct {
		name       string
		repeatable string
	}{{"repeatable", yes}, {"once", no}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ran := 0
				se := newSession(t, Policy{}, all(crashes(&ran)))
				ask := func(body string) int {
					rw := httptest.NewRecorder()
					rq := newCall(http.MethodPost, "/v1/services/desk/call/orders", body, message.RepeatableHeader, tc.repeatable)
					se.router.ServeHTTP(rw, rq)
					assert.Assert(t, strings.Contains(rw.Body.String(), "fate") || rw.Code == http.StatusOK)
					return rw.Code
				}
				for range 8 {
					assert.Assert(t, ask("crash") >= http.StatusBadGateway)
				}
				assert.Assert(t, ran <= 3, "%d endpoints ended", ran)
				assert.Equal(t, ask("flour"), http.StatusOK, "other calls are served")
			})
		})
	}
}
