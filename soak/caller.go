package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wisteriacroft/platform/standin"
)

const (
	// callers is the number of concurrent callers, each with one persistent connection.
	callers = 6
	// callPause is the pause between two calls of a caller.
	callPause = 60 * time.Millisecond
	// callTime is how long a caller waits for a response.
	callTime = 4 * time.Second
	// callDeadline is the deadline in a call's header, and the routes' timeout.
	callDeadline = 3 * time.Second
)

// An outcome is the result of a request at its caller.
type outcome struct {
	atMostOnce bool // the request may run at most once
	status     int  // 0: no response
}

// outcomes holds the outcomes of all requests, by id.
type outcomes struct {
	mu   sync.Mutex
	seen map[string]outcome
}

func (ou *outcomes) add(id string, out outcome) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.seen == nil {
		ou.seen = map[string]outcome{}
	}
	ou.seen[id] = out
}

// runCaller makes requests one by one until ctx ends, and switches to another entry
// after an error or a status of 503.
func (rn *run) runCaller(ctx context.Context, caller int) {
	entry := caller
	cl := newClient()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("call-%d-%d", caller, number)
		out := outcome{atMostOnce: number%2 == 1}
		status, body, err := rn.sendCall(ctx, cl, entry, id, out.atMostOnce)
		if ctx.Err() != nil {
			return
		}
		out.status = status
		rn.calls.add(id, out)
		if err != nil || status == http.StatusServiceUnavailable {
			cl.CloseIdleConnections()
			entry++
		}
		if want := id + " body of " + id; err == nil && status == http.StatusOK && body != want {
			rn.addViolation("request %s got %q", id, body)
		}
		sleep(ctx, callPause)
	}
}

// newClient returns a client with one persistent connection.
func newClient() *http.Client {
	return &http.Client{Timeout: callTime, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxConnsPerHost: 1,
	}}
}

func (rn *run) sendCall(ctx context.Context, cl *http.Client, entry int, id string, once bool) (int, string, error) {
	path := "/safe/" + id
	if once {
		path = "/once/" + id
	}
	// net/http can't rewind a reader of this type, so it doesn't retry the request.
	body := io.MultiReader(strings.NewReader("body of " + id))
	client := rn.client(cl, entry)
	client.Key = rn.keyOf(id)
	return client.Call(ctx, path, id, body, callDeadline)
}

// client returns a client of an entry for the first customer.
func (rn *run) client(cl *http.Client, entry int) *standin.Client {
	return rn.clientOf(cl, entry, firstCustomer)
}

// clientOf returns a client of an entry for a customer.
func (rn *run) clientOf(cl *http.Client, entry int, customer string) *standin.Client {
	return &standin.Client{Base: rn.url(entry), HTTP: cl, Host: host, Key: rn.world.keys.of(customer)}
}

// url returns the base URL of an entry for callers.
func (rn *run) url(entry int) string {
	return fmt.Sprintf("http://%s:%d", rn.world.ip(4, entry%rn.opts.Entries), peerPort+2)
}

// checkCalls compares the outcomes at callers with the runs at endpoints.
func (rn *run) checkCalls() {
	ran := rn.plainRunCounts()
	rn.calls.mu.Lock()
	defer rn.calls.mu.Unlock()
	for id, out := range rn.calls.seen {
		if customerOf(id) == "" {
			if out.status == http.StatusOK {
				rn.addViolation("request %s was served, and no customer holds its key", id)
			}
			continue
		}
		if deniedStatus(out.status) {
			rn.addViolation("request %s was denied, and its customer holds its key", id)
		}
		rn.report.Calls++
		if out.status == http.StatusOK {
			rn.report.Served++
		}
		if out.atMostOnce && ran[id] > 1 {
			rn.addViolation("request %s may run once and ran %d times", id, ran[id])
		}
		if out.atMostOnce && out.status == http.StatusServiceUnavailable && ran[id] > 0 {
			rn.addViolation("request %s was refused and ran", id)
		}
	}
	if rn.report.Served*2 < rn.report.Calls {
		rn.addViolation("only %d of %d calls were served", rn.report.Served, rn.report.Calls)
	}
}
