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

// answerOnce reads the first request of a connection, answers it once arrived
// returns, and takes no notice of the next.
func answerOnce(co net.Conn, arrived func()) {
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

// TestIdleConnectionsGoSilent
//
// Symptom: a slot fails at one attendant over and over, 8 s each time.
// Sequence: two connections to it are idle; both go silent for good; an
// attempt is given up.
// Cause: the next attempt takes the next of the old connections.
func TestIdleConnectionsGoSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// An attempt that still dials would take the other's connection as soon
		// as that is idle, so neither is answered before both have arrived.
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
				go answerOnce(there, arrived)
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
		assert.ErrorIs(t, exchange(), errSilent)
		assert.Assert(t, errors.As(exchange(), &re), "a new connection answers")
		di.client.CloseIdleConnections()
	})
}
