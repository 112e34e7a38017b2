package cmd

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainDelay is how long a stopping entry still accepts connections: the balancer
	// checks readiness every second and removes an entry after the second failure.
	drainDelay = 3500 * time.Millisecond
	// drainPollInterval is how often a stopping entry checks whether it is idle.
	drainPollInterval = 50 * time.Millisecond
	// answerTime is how long before the end of the shutdown the requests that still run are given up, so that each
	// gets an answer: the caller of a connection that closes doesn't know whether its request was even read.
	answerTime = 250 * time.Millisecond
)

// A gateway counts running requests, and gives up those that outlast the shutdown.
type gateway struct {
	giveUp  context.CancelFunc        // cancels the contexts of all requests
	endAt   atomic.Pointer[time.Time] // when giveUp is called; nil until stop
	handler http.Handler
	open    atomic.Int64
}

// ServeHTTP implements http.Handler.
func (ga *gateway) ServeHTTP(rw http.ResponseWriter, hr *http.Request) {
	ga.open.Add(1)
	defer ga.open.Add(-1)
	ga.handler.ServeHTTP(rw, hr)
}

// stop begins the shutdown, which lasts until the deadline of ctx.
func (ga *gateway) stop(ctx context.Context) {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(drainDelay)
	}
	end = end.Add(-answerTime)
	ga.endAt.Store(&end)
}

// stopping reports whether the shutdown has begun.
func (ga *gateway) stopping() bool { return ga.endAt.Load() != nil }

// end returns when the requests that still run are given up, or zero while the gateway isn't stopping.
func (ga *gateway) end() time.Time {
	if end := ga.endAt.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// drain waits until the balancer has removed the entry and no request runs, or ctx is done. It gives up the requests that
// run at the end.
func (ga *gateway) drain(ctx context.Context) {
	if !ga.stopping() {
		ga.stop(ctx)
	}
	timer := time.AfterFunc(time.Until(ga.end()), ga.giveUp)
	defer timer.Stop()
	accepting := time.Now().Add(drainDelay)
	for ctx.Err() == nil && (time.Now().Before(accepting) || ga.open.Load() > 0) {
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}
