package roundtrip

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the header of a response. A server sends it at once, when it has an answer.
const (
	// headTimeout is the time from a header's first byte to its end.
	headTimeout = 2 * time.Second
	// maxInterim is the maximum number of interim responses (1xx) before the answer.
	maxInterim = 16
)

// errEndlessHead means that the header of a response does not end.
var errEndlessHead = errors.New("header of the answer does not end")

// A headGuard ends an exchange whose response's header does not end.
type headGuard struct {
	cancel context.CancelCauseFunc

	interim int // responses so far
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// trace returns the hooks for the transport.
func (hg *headGuard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotFirstResponseByte: hg.begin, Got1xxResponse: hg.gotInterim}
}

// begin starts the time of the header.
func (hg *headGuard) begin() {
	hg.mu.Lock()
	defer hg.mu.Unlock()
	if !hg.stopped && hg.timer == nil {
		hg.timer = time.AfterFunc(headTimeout, func() { hg.cancel(errors.Wrapf(errEndlessHead, "within %s", headTimeout)) })
	}
}

// gotInterim ends the time of the header, which was that of an interim response. The answer may come much later.
func (hg *headGuard) gotInterim(int, textproto.MIMEHeader) error {
	hg.mu.Lock()
	defer hg.mu.Unlock()
	if hg.timer != nil {
		hg.timer.Stop()
	}
	hg.interim++
	if hg.interim > maxInterim {
		return errors.Wrapf(errEndlessHead, "after %d interim responses", maxInterim)
	}
	return nil
}

// stop ends the time of the header.
func (hg *headGuard) stop() {
	hg.mu.Lock()
	defer hg.mu.Unlock()
	hg.stopped = true
	if hg.timer != nil {
		hg.timer.Stop()
	}
}
