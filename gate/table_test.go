package gate

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/outcome"
)

var noon = time.UnixMilli(1_700_000_000_000)

// A script runs a sequence of events on a table and records its decisions.
type script struct {
	strings.Builder
	now   time.Time
	table *Table
}

// observe passes the same load report to the table once a second.
func (sc *script) observe(times int, lo Load) {
	for range times {
		sc.now = sc.now.Add(time.Second)
		sc.table.Observe(sc.now, lo)
	}
}

func newScript(po Policy) *script { return &script{now: noon, table: NewTable(po)} }

func (sc *script) add(reqs ...Request) {
	for _, req := range reqs {
		sc.note(req.ID, sc.table.Add(sc.now, req))
	}
	sc.run()
}

func (sc *script) run() {
	for _, de := range sc.table.Dispatch(sc.now) {
		if de.Refusal == nil {
			fmt.Fprintf(sc, "  %s starts\n", de.ID)
		}
		sc.note(de.ID, de.Refusal)
	}
}

func (sc *script) note(id string, re *outcome.Refusal) {
	if re != nil {
		fmt.Fprintf(sc, "  %s refused: %s (%s) %s %s\n", id, re.Code, re.Fate, re.Message, re.RetryAfter)
	}
}

func (sc *script) after(du time.Duration, out Result, ids ...string) {
	sc.now = sc.now.Add(du)
	for _, id := range ids {
		sc.table.Remove(sc.now, id, out)
	}
	sc.run()
}

func samples(trainer string, n int) []Request {
	reqs := make([]Request, n)
	for i := range reqs {
		reqs[i] = Request{Class: Sample, ID: fmt.Sprintf("%s-%d", trainer, i), Trainer: trainer}
	}
	return reqs
}

func call(id string, timeout time.Duration) Request {
	return Request{Deadline: noon.Add(timeout), ID: id, Profile: "gate"}
}

// Guards against live calls queued behind samples, trainers that starve, and late or false not-run
// refusals.
func TestDecisions(t *testing.T) {
	cases := []struct {
		name   string
		policy Policy
		run    func(sc *script)
	}{
		{"live before samples, within the reserve and beyond", Policy{MaxRunning: 4, LiveReserve: 1}, func(sc *script) {
			sc.add(samples("ann", 5)...)
			sc.add(call("c1", time.Minute), call("c2", time.Minute))
			sc.after(time.Second, Whole, "ann-0")
			sc.after(time.Second, Whole, "ann-1")
		}},
		{"first in, first out", Policy{MaxRunning: 2, Order: FirstInFirstOut}, func(sc *script) {
			sc.add(samples("ann", 3)...)
			sc.add(call("c1", time.Minute))
			sc.after(time.Second, Whole, "ann-0")
			sc.after(time.Second, Whole, "ann-1")
		}},
		{
			"shares of three to one",
			Policy{LiveReserve: -1, MaxRunning: 1, MaxWaiting: 20, Shares: []Share{{"ann", 3}, {"ben", 1}}},
			func(sc *script) {
				sc.add(samples("ann", 7)...)
				sc.add(samples("ben", 3)...)
				for _, id := range []string{"ann-0", "ben-0", "ann-1", "ann-2", "ann-3", "ben-1", "ann-4", "ann-5"} {
					sc.after(time.Second, Whole, id)
				}
			},
		},
		{"priority within a share", Policy{LiveReserve: -1, MaxRunning: 1}, func(sc *script) {
			reqs := samples("ann", 3)
			reqs[2].Priority = 1
			sc.add(reqs...)
			sc.after(time.Second, Whole, "ann-0")
		}},
		{"limits of a profile", Policy{MaxRunning: 4, Profiles: []ProfileLimit{{MaxRunning: 1, MaxWaiting: 1, Name: "gate"}}}, func(sc *script) {
			sc.add(call("c1", time.Minute), call("c2", time.Minute), call("c3", time.Minute))
			sc.after(time.Second, Whole, "c1")
		}},
		{"deadline that can't be met", Policy{LiveReserve: -1, MaxRunning: 1}, func(sc *script) {
			sc.add(call("c1", time.Minute))
			sc.after(time.Second, Whole, "c1")
			sc.add(call("c2", time.Minute), call("c3", 1900*time.Millisecond), call("c4", 4*time.Second), call("c5", 6*time.Second))
			sc.add(call("c6", 6*time.Second), call("c7", 6*time.Second))
		}},
		{"estimate expired: one request at a time is admitted", Policy{}, func(sc *script) {
			sc.add(call("c1", time.Minute))
			sc.after(10*time.Second, Whole, "c1")
			sc.add(call("c2", 12*time.Second))
			sc.after(time.Second, Whole)
			sc.add(call("c3", 12*time.Second), call("c4", 12*time.Second))
			sc.after(500*time.Millisecond, Whole, "c3")
		}},
		{"expires after half of its time", Policy{LiveReserve: -1, MaxRunning: 1}, func(sc *script) {
			sc.add(call("c1", time.Minute), call("c2", 10*time.Second))
			sc.after(4999*time.Millisecond, Whole)
			sc.after(time.Millisecond, Whole)
		}},
		{"leaving", Policy{LiveReserve: -1, MaxRunning: 1}, func(sc *script) {
			sc.add(call("c1", time.Hour), call("c2", time.Hour), call("c3", time.Hour))
			sc.table.Close(sc.now, 10*time.Second)
			sc.add(call("c4", time.Hour))
			sc.after(time.Second, Whole, "c1")
			sc.after(9*time.Second, Whole)
		}},
		{"duplicate id", Policy{}, func(sc *script) { sc.add(call("c1", time.Hour), call("c1", time.Hour)) }},
		{"limit falls while the endpoint queues, then rises", Policy{LiveReserve: -1, MaxRunning: 4}, func(sc *script) {
			sc.observe(15, Load{Running: 2, Waiting: 2})
			sc.add(samples("ann", 3)...)
			sc.now = sc.now.Add(time.Second)
			sc.table.Observe(sc.now, Load{})
			sc.run()
		}},
		{"short queues in the endpoint keep the limit", Policy{MaxRunning: 4}, func(sc *script) {
			for range 5 {
				sc.observe(8, Load{Running: 1, Waiting: 3})
				sc.observe(1, Load{Running: 4})
			}
		}},
	}
	var sb strings.Builder
	for _, tc := range cases {
		sc := newScript(tc.policy)
		tc.run(sc)
		fmt.Fprintf(&sb, "%s\n%s  load %s\n", tc.name, sc.String(), sc.table.Load())
	}
	golden.Assert(t, sb.String(), "decisions.golden")
}

// Guards against a request that runs, or keeps its slot, after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := NewGate(Policy{MaxRunning: 1})
		first, err := ga.Acquire(t.Context(), Request{ID: "first"})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = ga.Acquire(ctx, Request{ID: "second"})
		assert.Equal(t, outcome.FromError(err), outcome.NotRun)
		assert.Equal(t, ga.Load(), Load{Limit: 1, Running: 1})
		assert.Equal(t, first.Outcome(), outcome.NotRun)
		first.Started()
		assert.Equal(t, first.Outcome(), outcome.Unknown)
		ga.Close(time.Now(), time.Minute)
		go func() {
			time.Sleep(5 * time.Second)
			first.Release(Broken)
			first.Release(Whole)
		}()
		begun := time.Now()
		assert.NilError(t, ga.Drained(t.Context()))
		assert.Equal(t, time.Since(begun), 5*time.Second)
		assert.Equal(t, first.Outcome(), outcome.Unknown)
		kept, cancelKept := WorkContext(ctx, false)
		defer cancelKept()
		assert.NilError(t, kept.Err(), "a request that may not be repeated goes on without its caller")
		tied, cancelTied := WorkContext(ctx, true)
		defer cancelTied()
		assert.Assert(t, tied.Err() != nil)
	})
}
