package process

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// closed reports whether the other end of a pipe is closed.
func closed(co net.Conn) bool {
	_ = co.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := co.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

func TestGuardAppliesChangedLimits(t *testing.T) {
	// Guards against an idle timeout that stays at its initial value, so that the server
	// closes connections that clients still use after operators raised it.
	synctest.Test(t, func(t *testing.T) {
		li := Limits{HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
		gu := &Guard{LimitsFunc: func() Limits { return li }}
		far, near := net.Pipe()
		gu.onConnState(near, http.StateNew)
		time.Sleep(10 * time.Second)
		assert.Assert(t, !closed(far), "a header may still arrive after the idle timeout")
		gu.onConnState(near, http.StateActive)
		time.Sleep(time.Hour)
		assert.Assert(t, !closed(far), "a request has no time limit")
		li.IdleTimeout = 10 * time.Minute
		gu.onConnState(near, http.StateIdle)
		time.Sleep(10 * time.Minute)
		assert.Assert(t, !closed(far))
		time.Sleep(2 * time.Second)
		assert.Assert(t, closed(far))
		gu.onConnState(near, http.StateClosed)
		assert.Equal(t, len(gu.timers), 0)
	})
}

func TestGuardHeaderSize(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limit  int
		size   int
		status int
	}{
		{"small", 1000, 10, http.StatusOK},
		{"at the limit", 1000, 1000 - len("GET / HTTP/1.1\r\nX-Long: \r\n"), http.StatusOK},
		{"above the limit", 1000, 1001 - len("GET / HTTP/1.1\r\nX-Long: \r\n"), http.StatusRequestHeaderFieldsTooLarge},
		{"above the default", 0, maxHeaderSize, http.StatusRequestHeaderFieldsTooLarge},
		{"limit above the default", 2 * maxHeaderSize, maxHeaderSize, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rejected := 0
			gu := &Guard{
				LimitsFunc:   func() Limits { return Limits{HeaderSize: tc.limit} },
				RejectedFunc: func(*http.Request, int) { rejected++ },
			}
			sv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			gu.Protect(sv)
			rq := httptest.NewRequest(http.MethodGet, "/", nil)
			rq.Header.Set("X-Long", strings.Repeat("x", tc.size))
			rec := httptest.NewRecorder()
			sv.Handler.ServeHTTP(rec, rq)
			assert.Equal(t, rec.Code, tc.status)
			assert.Equal(t, rejected, map[bool]int{true: 0, false: 1}[tc.status == http.StatusOK])
		})
	}
}
