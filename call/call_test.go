package call

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"wisteriacroft/engine"
	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// A sessionCase is one or more calls and the attendants' handlers.
type sessionCase struct {
	name     string
	handlers map[string][]http.HandlerFunc
	policy   Policy
	run      func(se *session)
}

// two returns two attendants: first handles the first attempt, second the next.
func two(first, second http.HandlerFunc) map[string][]http.HandlerFunc {
	return map[string][]http.HandlerFunc{"a": {second}, "b": {first}}
}

// runSessions runs each case in a bubble and compares the logs with a golden file.
func runSessions(t *testing.T, file string, cases []sessionCase) {
	t.Helper()
	var sb strings.Builder
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			se := newSession(t, tc.policy, tc.handlers)
			tc.run(se)
			time.Sleep(time.Minute) // let late events happen
			synctest.Wait()
			se.mu.Lock()
			defer se.mu.Unlock()
			fmt.Fprintf(&sb, "%s\n%s", tc.name, se.log.String())
		})
	}
	golden.Assert(t, sb.String(), file)
}

func all(handlers ...http.HandlerFunc) map[string][]http.HandlerFunc {
	return map[string][]http.HandlerFunc{"a": handlers, "b": handlers, "c": handlers}
}

// Guards against truncated, mismatched, missing or falsely refused answers, and against an order that
// runs twice, when a connection or an attendant fails at any point of a call.
func TestCalls(t *testing.T) {
	repeatable := Policy{Repeatable: true}
	one := func(handlers ...http.HandlerFunc) map[string][]http.HandlerFunc {
		return map[string][]http.HandlerFunc{"a": handlers}
	}
	do := func(headers ...string) func(se *session) {
		return func(se *session) { se.do(order(headers...)) }
	}
	keyed := func(se *session) { se.do(order(message.IdempotencyKeyHeader, callerKey("b", "a", "b", "c"))) }
	runSessions(t, "calls.golden", []sessionCase{
		{"whole answer", all(ok), repeatable, do()},
		{"no connection: tried elsewhere, not run", map[string][]http.HandlerFunc{"a": nil, "b": nil, "c": {ok}}, Policy{}, do()},
		{"no connection anywhere", map[string][]http.HandlerFunc{"a": nil}, Policy{}, do()},
		{"no endpoint", nil, Policy{}, do()},
		{"broken, repeatable: tried elsewhere", two(abortConnection, ok), repeatable, do()},
		{"broken, not repeatable: the answer is queried", one(abortConnection, ok), Policy{}, do()},
		{"broken while it runs: queried until it ends", one(abortConnection, refuses(outcome.InProgress, ""), refuses(outcome.InProgress, ""), ok), Policy{}, do()},
		{"broken before it arrived: barred, then run elsewhere", map[string][]http.HandlerFunc{
			"a": {ok}, "b": {abortConnection, refuses(outcome.Refused, "")},
		}, Policy{}, do()},
		{"broken, and its attendant restarted", one(abortConnection, refuses(outcome.OutcomeUnknown, "")), Policy{}, do()},
		{"broken, and its attendant refuses the query as bad-request", one(abortConnection, refuses(outcome.BadRequest, "")), Policy{}, do()},
		{"broken, and its attendant is unreachable", one(abortConnection), Policy{}, do()},
		{"crossed, repeatable", two(answerOther, ok), repeatable, do()},
		{"crossed, not repeatable", one(answerOther, ok), Policy{}, do()},
		{"cut short", two(truncate, ok), repeatable, do()},
		{"all overloaded: refused at once", all(refuses(outcome.Overloaded, "1.5s")), repeatable, do()},
		{"one overloaded", map[string][]http.HandlerFunc{"a": {refuses(outcome.Overloaded, "1.5s")}, "b": {ok}}, repeatable, do()},
		{"broken once, then overloaded: no not-run", map[string][]http.HandlerFunc{
			"a": {refuses(outcome.Overloaded, "")}, "b": {abortConnection}, "c": {refuses(outcome.Overloaded, "")},
		}, repeatable, do()},
		{"caller's key", all(ok), Policy{}, keyed},
		{"caller's key, home overloaded", all(refuses(outcome.Overloaded, "2s")), Policy{}, keyed},
		{"caller's key, connection broken: sent to its home again", all(abortConnection, ok), Policy{}, keyed},
		{"caller's key, no connection to its home", map[string][]http.HandlerFunc{"a": {ok}, "b": nil, "c": {ok}}, Policy{}, keyed},
		{"caller's key, home unknown", one(ok), Policy{Homes: homesOf("a", "b", "c")}, keyed},
		{"stalled, repeatable", two(silentFor(30*time.Second), ok), repeatable, do()},
		{"stalled, not repeatable", one(silentFor(30*time.Second), ok, ok), Policy{}, do()},
		{"slow, with progress", all(slowOK(8 * time.Second)), repeatable, do()},
		{"deadline passes", all(slowOK(8 * time.Second)), Policy{}, do(message.DeadlineHeader, "3s")},
		{"attempt takes too long", two(slowOK(8*time.Second), ok), Policy{AttemptTimeout: time.Second, Repeatable: true}, do()},
		{"larger than the buffer", all(large(3000, 3000)), Policy{MaxAnswerHeld: 1000, Repeatable: true}, do()},
		{"larger than the buffer, then truncated", all(large(3000, 4000)), Policy{MaxAnswerHeld: 1000, Repeatable: true}, do()},
		{"caller disconnects", all(slowOK(8 * time.Second)), Policy{}, func(se *session) {
			rq := order()
			ctx, cancel := context.WithTimeout(rq.Context(), time.Second)
			defer cancel()
			se.do(rq.WithContext(ctx))
		}},
		{"reused connection breaks: not sent twice", one(ok, abortConnection, refuses(outcome.OutcomeUnknown, "")), Policy{}, func(se *session) {
			for range 2 {
				se.do(newCall(http.MethodGet, "/v1/services/desk/call/next", "", message.RepeatableHeader, no))
			}
		}},
	})
}

func homesOf(names ...string) idempotency.EndpointSet {
	return idempotency.EndpointSet{Endpoints: names}
}

func large(size, claimed int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(message.FateHeader, outcome.Ran.String())
		rw.Header().Set("Content-Length", fmt.Sprint(claimed))
		fmt.Fprint(rw, strings.Repeat("x", size))
	}
}

func TestBadInput(t *testing.T) {
	do := func(headers ...string) func(se *session) {
		return func(se *session) { se.do(order(headers...)) }
	}
	cases := []sessionCase{
		{name: "deadline and repeatable", run: do(message.DeadlineHeader, "soon", message.RepeatableHeader, "maybe")},
		{name: "deadline in the past", run: do(message.DeadlineHeader, "-1s")},
		{name: "key that is no UUID of version 7", run: do(message.IdempotencyKeyHeader, "order-4711")},
		{name: "any key on a repeatable request", run: do(message.IdempotencyKeyHeader, "order-4711", message.RepeatableHeader, yes)},
		{name: "oversized header", run: do(message.RequestIDHeader, strings.Repeat("r", maxHeaderSize+1))},
		{name: "unknown profile", run: do(message.ProfileHeader, "lunch")},
		{name: "unknown profile, with a key", run: do(message.ProfileHeader, "lunch", message.IdempotencyKeyHeader, "k")},
		{name: "oversized body", policy: Policy{MaxBodySize: 4}, run: do()},
		{name: "body truncated", run: func(se *session) {
			rq := order()
			rq.Body = io.NopCloser(io.MultiReader(strings.NewReader("fl"), iotest.ErrReader(io.ErrUnexpectedEOF)))
			se.do(rq)
		}},
		{name: "stream of a plain service", policy: Policy{Kind: Plain}, run: func(se *session) {
			se.do(newCall(http.MethodPost, "/v1/services/desk/stream", "{}"))
		}},
		{name: "generate without JSON", policy: Policy{Kind: Engine}, run: func(se *session) {
			se.do(newCall(http.MethodPost, "/v1/services/desk/generate", "{"))
		}},
	}
	for i := range cases {
		cases[i].handlers = all(ok)
	}
	runSessions(t, "bad-input.golden", cases)
}

// chunks streams tokens [resume, last) in chunks of two. It calls end, if not nil, instead of
// setting done on the last chunk.
func chunks(last int, ve engine.Version, end func()) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		li := newTestLines(rw, rq)
		for first := li.resume; first < last; first += 2 {
			li.chunk(first, 2, ve, end == nil && first+2 >= last)
		}
		if end != nil {
			end()
		}
	}
}

func abort() { panic(http.ErrAbortHandler) }

// Guards against a stream that lacks or repeats tokens, or never ends, when an engine crashes,
// stalls, or sends chunks twice, out of order or of another request.
func TestStreams(t *testing.T) {
	po := Policy{Kind: Engine, Repeatable: true}
	stream := func(se *session) {
		se.do(newCall(http.MethodPost, "/v1/services/desk/stream", `{"prompt":"p","max-tokens":6}`))
	}
	generate := func(se *session) {
		se.do(newCall(http.MethodPost, "/v1/services/desk/generate", `{"prompt":"p","max-tokens":6}`))
	}
	odd := func(write func(li *testLines)) http.HandlerFunc {
		return func(rw http.ResponseWriter, rq *http.Request) {
			li := newTestLines(rw, rq)
			li.chunk(0, 2, 1, false)
			write(li)
		}
	}
	runSessions(t, "streams.golden", []sessionCase{
		{"whole", all(chunks(6, 1, nil)), po, stream},
		{"whole answer", all(chunks(6, 1, nil)), po, generate},
		{"crash, resumed elsewhere with newer weights", two(chunks(4, 1, abort), chunks(6, 2, nil)), po, stream},
		{"crash, whole answer by two versions", two(chunks(4, 1, abort), chunks(6, 2, nil)), po, generate},
		{"ends without its last chunk", two(chunks(4, 1, func() {}), chunks(6, 1, nil)), po, stream},
		{"stalled stream", two(chunks(2, 1, func() { time.Sleep(30 * time.Second) }), chunks(6, 1, nil)), po, stream},
		{"chunk twice", all(odd(func(li *testLines) {
			li.chunk(0, 2, 1, false)
			li.chunk(1, 5, 1, true)
		})), po, stream},
		{"chunk lost", two(odd(func(li *testLines) { li.chunk(4, 2, 1, true) }), chunks(6, 1, nil)), po, stream},
		{"chunk of another request", all(odd(func(li *testLines) {
			li.id = "r1/another"
			li.chunk(2, 4, 9, true)
			li.id = li.own
			li.chunk(2, 4, 1, true)
		})), po, stream},
		{"refused before its first chunk", all(refuses(outcome.Overloaded, "250ms")), po, stream},
		{"crashes everywhere", all(chunks(4, 1, abort)), po, stream},
		{"crash, not repeatable", all(chunks(4, 1, abort)), Policy{Kind: Engine}, stream},
	})
}
