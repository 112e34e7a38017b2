package cmd

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/platform/standin"
)

// Failure: the settings change while an entry drains, and the requests that it still serves are cut.
func TestHangupWhileEntryDrains(t *testing.T) {
	pw := newPlatformWorld(t)
	started, release := make(chan struct{}), make(chan struct{})
	pe := &standin.PlainEndpoint{ID: "desk-1"}
	pw.endpoint(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		close(started)
		<-release
		pe.ServeHTTP(rw, rq)
	}))
	scheduler := pw.launch("scheduler", "store", "a")
	pw.waitForScheduler(scheduler)
	entry := pw.launch("entry", "front", "a")
	pw.waitForEntry(entry)
	answered := make(chan int, 1)
	go func() {
		status, _, err := pw.client(entry).Call(t.Context(), callPath, "call-1", strings.NewReader("body"), callTimeout)
		if err != nil {
			t.Log(err)
		}
		answered <- status
	}()
	<-started
	pw.signal("front", syscall.SIGTERM)
	pw.waitFor("the drain", func() bool { return pw.readiness(entry) != http.StatusOK })
	for range 3 {
		pw.signal("front", syscall.SIGHUP)
		pw.readiness(entry) // it has got the signal
	}
	pw.signal("front", syscall.SIGTERM)
	close(release)
	assert.Equal(t, <-answered, http.StatusOK)
	<-pw.processes["front"].done
	assert.NilError(t, pw.processes["front"].err)
}

// Failure: a SIGHUP after the SIGTERM ends a process before it has handed over what it holds.
func TestHangupWhileRoleStops(t *testing.T) {
	for _, role := range []string{"attendant", "entry", "scheduler"} {
		t.Run(role, func(t *testing.T) {
			pw := newPlatformWorld(t)
			ip := pw.launch(role, "instance", "a")
			pw.waitFor("its start", func() bool { return pw.accepts(ip, platformMetricsPort) })
			pw.signal("instance", syscall.SIGHUP)
			pw.signal("instance", syscall.SIGTERM)
			pr := pw.processes["instance"]
			pw.waitFor("its end", func() bool {
				_ = pr.Process.Signal(syscall.SIGHUP) // it may have ended
				select {
				case <-pr.done:
					return true
				default:
					return false
				}
			})
			assert.NilError(t, pr.err)
		})
	}
}

// accepts reports whether a process listens on a port.
func (pw *platformWorld) accepts(ip string, port int) bool {
	var di net.Dialer
	co, err := di.DialContext(pw.Context(), "tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return false
	}
	_ = co.Close()
	return true
}
