package call

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/attendant"
	"wisteriacroft/message"
	"wisteriacroft/plainservice"
	"wisteriacroft/profile"
	"wisteriacroft/route"
)

// A desk is an order service and its attendant, which can be killed.
type desk struct {
	fails     bool // the connection breaks after the next order has run
	attendant *fakeAttendant
	runs      int
	se        *session
	stop      []func()
	takes     time.Duration
}

// newDesk returns a desk that replaces fake attendant a.
func newDesk(se *session) *desk { return &desk{attendant: se.attendants["a"], se: se} }

// call is the service: it runs an order and logs it.
func (de *desk) call(_ context.Context, req plainservice.Request) (plainservice.Response, error) {
	time.Sleep(de.takes)
	de.se.mu.Lock()
	de.runs++
	defer de.se.mu.Unlock()
	fmt.Fprintf(&de.se.log, "  %6s service: run %d of %s\n", time.Since(de.se.start).Round(time.Millisecond), de.runs, req.Body)
	if de.fails {
		de.fails = false
		return plainservice.Response{}, plainservice.ErrBroken
	}
	body := io.NopCloser(bytes.NewReader(fmt.Appendf(nil, "order %d", de.runs)))
	return plainservice.Response{Body: body, Status: http.StatusCreated}, nil
}

// start starts an attendant that replaces the previous one.
func (de *desk) start(t *testing.T) *attendant.Attendant {
	pr, findings := profile.Parse("desk", "desk.toml", "kind = \"service\"\nservice = \"desk\"\ntype = \"plain\"\nendpoints = [\"a\"]\n")
	assert.Equal(t, len(findings), 0)
	profiles := &profile.Replica{}
	profiles.Offer(profile.NewDocument(3, pr), profile.FromPeer)
	report := func(context.Context) (plainservice.Report, error) { return plainservice.Report{}, nil }
	at, err := attendant.New(attendant.Options{
		Endpoints: []attendant.EndpointOptions{{
			Name: "a", Plain: &plainservice.Client{CallFunc: de.call, ReportFunc: report}, Service: "desk",
		}},
		Instance: "a",
		Profiles: profiles,
	})
	assert.NilError(t, err)
	fake := &fakeAttendant{closed: make(chan struct{}), conns: make(chan net.Conn), handlers: de.attendant.handlers, name: "a", net: de.se.fakeNet, server: &http.Server{}}
	de.attendant.Close()
	de.attendant = fake
	de.se.attendants["a"] = fake
	go at.Serve(fake)
	at.Start()
	de.stop = append(de.stop, sync.OnceFunc(func() { at.Shutdown(context.Background()) }))
	time.Sleep(5 * time.Second) // keys from before the attendant's start are refused
	return at
}

// kill closes the attendant's listener and connections at once.
func (de *desk) kill() {
	de.attendant.Close()
	de.se.mu.Lock()
	defer de.se.mu.Unlock()
	for _, co := range de.attendant.open {
		co.Close()
	}
}

// Guards against an order line that is delivered twice, or reported as not run although it ran,
// across repeats, crashes and shutdowns.
func TestOrders(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, de *desk, order func(deadline string))
	}{
		{"repeated at another entry", func(_ *testing.T, _ *desk, order func(string)) {
			order("1s")
			order("1s")
		}},
		{"caller disconnects while it runs, and repeats", func(_ *testing.T, de *desk, order func(string)) {
			de.takes = 3 * time.Second
			order("1s")
			order("1s")
			time.Sleep(time.Second)
			order("1s")
		}},
		{"attendant killed while it runs, and started again", func(t *testing.T, de *desk, order func(string)) {
			de.takes = 2 * time.Second
			time.AfterFunc(time.Second, de.kill)
			order("5s")
			de.start(t)
			order("5s")
		}},
		{"the service's connection breaks after it ran", func(_ *testing.T, de *desk, order func(string)) {
			de.fails = true
			order("1s")
			order("1s")
		}},
		{"attendant shuts down while it runs", func(t *testing.T, de *desk, order func(string)) {
			de.takes = 2 * time.Second
			time.AfterFunc(time.Second, de.stop[0])
			order("5s")
			order("5s")
		}},
	}
	var all []sessionCase
	for _, keyed := range []bool{true, false} {
		for _, tc := range cases {
			name := tc.name + ", with the caller's key"
			if !keyed {
				name = tc.name + ", without a key"
			}
			all = append(all, sessionCase{name, map[string][]http.HandlerFunc{"a": {ok}}, Policy{}, func(se *session) {
				de := newDesk(se)
				de.start(t)
				other := &Server{DialFunc: se.Dial, Log: se.server.Log, ProfileFunc: se.server.ProfileFunc, Routes: route.NewTable(route.Options{}), Seed: 2}
				other.Routes.Upsert(route.Endpoint{Address: "a:1", ID: "a", Service: "desk"})
				key := callerKey("a", "a")
				order := func(deadline string) {
					rq := order(message.DeadlineHeader, deadline)
					if keyed {
						rq.Header.Set(message.IdempotencyKeyHeader, key)
					}
					se.do(rq)
					se.useServer(other)
				}
				tc.run(t, de, order)
				time.Sleep(10 * time.Second)
				for _, stop := range de.stop {
					stop()
				}
				other.Close()
			}})
		}
	}
	runSessions(t, "orders.golden", all)
}
