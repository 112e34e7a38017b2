package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/route"
)

// respondOnce reads the first request of a connection, responds once arrived returns, and
// ignores the next request.
func respondOnce(co net.Conn, arrived func()) {
	rd := bufio.NewReader(co)
	rq, err := http.ReadRequest(rd)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	arrived()
	body := `{"code":"overloaded","fate":"not-run"}`
	_, _ = fmt.Fprintf(co, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = io.Copy(io.Discard, rd)
}

// TestIdleConnectionsStall guards against attempts that time out one after another on
// idle connections that have all stalled.
func TestIdleConnectionsStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Respond only after both requests have arrived. Otherwise the second attempt
		// could reuse the first one's connection.
		var requests atomic.Int64
		two := make(chan struct{})
		arrived := func() {
			if requests.Add(1) == 2 {
				close(two)
			}
			<-two
		}
		di := &dispatcher{client: &http.Client{Transport: &http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) {
				here, there := net.Pipe()
				go respondOnce(there, arrived)
				return here, nil
			},
		}}}
		exchange := func() error {
			en := route.Endpoint{Address: "10.0.0.9:1", ID: "marker-llm-1"}
			_, err := di.exchange(t.Context(), en, message.SampleRequest{Attempt: "a"})
			return err
		}
		ends := make(chan error)
		for range 2 {
			go func() { ends <- exchange() }()
		}
		var re *outcome.Refusal
		for range 2 {
			assert.Assert(t, errors.As(<-ends, &re))
		}
		synctest.Wait()
		assert.ErrorIs(t, exchange(), errSilence)
		assert.Assert(t, errors.As(exchange(), &re), "a new connection answers")
		di.client.CloseIdleConnections()
	})
}
