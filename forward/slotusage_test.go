package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/fairshare"
)

func TestCustomerLimit(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	slow := func(rw http.ResponseWriter, rq *http.Request, run func()) {
		entered <- struct{}{}
		<-leave
		succeeding(rw, rq, run)
	}
	de := deploy(t, directory.Route{Kind: directory.AtMostOnce, MaxAttempts: 2}, slow)
	de.forwarder.CustomerBound = func(customer, service string) int {
		assert.Equal(t, customer+"/"+service, "/desk")
		return 1
	}
	first := make(chan int)
	go func() {
		status, _, _ := de.ask(t, http.MethodPost, "/", "line")
		first <- status
	}()
	<-entered
	begun := time.Now()
	status, _, header := de.ask(t, http.MethodPost, "/", "line")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(begun) < time.Second, "it is rejected at once")
	assert.Equal(t, de.runs.Load(), int64(0))
	demand := de.forwarder.Demands(time.Now(), time.Second)["desk"]
	assert.DeepEqual(t, demand.Customers[""], fairshare.Demand{Asked: 2, InFlight: 1, Met: 2, Refused: 1})
	assert.Equal(t, demand.Places, 6)
	assert.Assert(t, !demand.Short)
	leave <- struct{}{}
	assert.Equal(t, <-first, http.StatusOK)
	go func() { <-entered; leave <- struct{}{} }()
	status, _, _ = de.ask(t, http.MethodPost, "/", "line")
	assert.Equal(t, status, http.StatusOK, "its slot is free again")
}

// Every outcome of a request releases its customer's slot. A leaked slot would make the entry reject
// a customer that has nothing in flight.
func TestCustomerSlotsAreReleased(t *testing.T) {
	for name, tc := range map[string]struct {
		route     directory.Route
		behaviour behaviour
		short     bool
	}{
		"whole":         {directory.Route{Kind: directory.AtMostOnce}, succeeding, false},
		"refused":       {directory.Route{Kind: directory.AtMostOnce}, full, true},
		"truncated":     {directory.Route{Kind: directory.AtMostOnce}, truncated, false},
		"stream":        {directory.Route{Kind: directory.AtMostOnce, Streaming: true}, stream(3, 0), false},
		"stream full":   {directory.Route{Kind: directory.AtMostOnce, Streaming: true}, full, true},
		"stream broken": {directory.Route{Kind: directory.Repeatable, Streaming: true}, stream(3, 2), false},
	} {
		t.Run(name, func(t *testing.T) {
			de := deploy(t, tc.route, tc.behaviour)
			re, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/", http.NoBody)
			assert.NilError(t, err)
			re.Host = "desk"
			re.Header.Set(headers.RequestID, "request")
			if resp, err := http.DefaultClient.Do(re); err == nil {
				_ = resp.Body.Close()
			}
			demands := de.forwarder.Demands(time.Now(), time.Second)
			assert.Equal(t, demands["desk"].Short, tc.short)
			de.entry.Close() // waits for handlers
			assert.Equal(t, len(de.forwarder.slotUsage.inFlight), 0)
		})
	}
}

func TestQuotaOfCustomer(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.AtMostOnce}, succeeding)
	de.requireKeys(false)
	co := *de.forwarder.Directory.Configuration()
	co.Version++
	co.Customers[0].Quota = 3
	de.forwarder.Directory.SetConfiguration(&co)
	left := 1
	de.forwarder.QuotaFunc = func(_ context.Context, customer string, rate float64) (time.Duration, bool) {
		assert.Equal(t, customer, "ada")
		assert.Equal(t, rate, 3.0)
		left--
		return 250 * time.Millisecond, left >= 0
	}
	for _, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/", strings.NewReader("one order line"))
		assert.NilError(t, err)
		rq.Host = "desk"
		rq.Header.Set(headers.RequestID, "request")
		rq.Header.Set("Key", "Bearer k")
		re, err := http.DefaultClient.Do(rq)
		assert.NilError(t, err)
		_ = re.Body.Close()
		assert.Equal(t, re.StatusCode, want)
		if want != http.StatusOK {
			assert.Equal(t, re.Header.Get("Retry-After"), "0.25")
		}
	}
	assert.Equal(t, de.runs.Load(), int64(1))
	de.entry.Close() // waits for handlers
	held, _, _ := de.forwarder.Held()
	assert.Equal(t, held, int64(0), "bodies of rejected requests are released")
}
