package leader

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a canceled call of a former holder being delivered after a network partition, by
// which time its successor has made calls.
func TestCanceledCallIsReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	ends := make(chan error)
	started := make(chan struct{})
	go func() {
		co, err := ln.Accept()
		if err != nil {
			ends <- err
			return
		}
		defer func() { _ = co.Close() }()
		_, _ = co.Read(make([]byte, 1)) // the call has arrived
		close(started)
		_, err = io.Copy(io.Discard, co)
		ends <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), http.NoBody)
	assert.NilError(t, err)
	_, err = NewHTTPClient((&net.Dialer{}).DialContext).Do(rq) //nolint:bodyclose // there is no response
	assert.Assert(t, err != nil)
	assert.Assert(t, errors.Is(<-ends, syscall.ECONNRESET))
}

func TestFailedDial(t *testing.T) {
	errDial := errors.New("dial failed")
	cl := NewHTTPClient(func(context.Context, string, string) (net.Conn, error) { return nil, errDial })
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1:1", http.NoBody)
	assert.NilError(t, err)
	_, err = cl.Do(rq) //nolint:bodyclose // there is no response
	assert.Assert(t, errors.Is(err, errDial))
}
