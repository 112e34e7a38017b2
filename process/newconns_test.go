package process

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShutdownClosesUnusedConnections guards against a shutdown that waits for the first
// request of a connection that a client opened and never used.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	begun, answer := make(chan struct{}), make(chan struct{})
	sv := NewHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-answer
	}))
	served := make(chan error)
	go func() { served <- Serve(sv, ln) }()
	unused, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = unused.Close() }()

	got := make(chan error)
	go func() {
		rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String(), http.NoBody)
		if err == nil {
			var re *http.Response
			if re, err = (&http.Client{Transport: &http.Transport{}}).Do(rq); err == nil {
				err = re.Body.Close()
			}
		}
		got <- err
	}()
	<-begun // the unused connection was accepted earlier
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	ended := make(chan error)
	go func() { ended <- sv.Shutdown(ctx) }()
	_, err = unused.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the unused connection is closed")
	close(answer)
	assert.NilError(t, <-got, "the running request is answered")
	assert.NilError(t, <-ended)
	assert.NilError(t, <-served)
}
