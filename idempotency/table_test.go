package idempotency

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/outcome"
)

// start is the start time of the home under test.
var start = time.UnixMilli(1_700_000_000_000)

func at(text string) time.Time {
	du, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return start.Add(du)
}

// keyOf returns a key minted at the given time whose home among endpoints is home.
func keyOf(minted time.Time, home string, endpoints ...string) Key {
	for n := 0; ; n++ {
		if ke := testKey(minted, n); ke.Home(endpoints) == home {
			return ke
		}
	}
}

// formatDecision formats a decision in one line.
func formatDecision(de Decision) string {
	switch {
	case de.Run:
		return "run"
	case de.Answer != nil:
		return fmt.Sprintf("answer %d %s", de.Answer.Status, de.Answer.Body)
	default:
		re := de.Refusal
		return fmt.Sprintf("%s (%s) %s %s", re.Code, re.Fate, re.Message, re.RetryAfter)
	}
}

func newHome(op Options) *Table {
	op.Endpoint, op.Started = "a", start
	ta := NewTable(op)
	ta.SetHomes(start, EndpointSet{Endpoints: []string{"a", "b"}, Revision: 1}, nil)
	return ta
}

// Guards against a request that runs twice, or is refused as not run although it ran. Each case is
// one arrival, a fault and a second arrival.
func TestRules(t *testing.T) {
	noon := at("1m")
	key := keyOf(noon, "a", "a", "b")
	req := Request{Key: key}
	begin := func(ta *Table, now string, req Request) string { return formatDecision(ta.Begin(at(now), req)) }
	minted := func(at time.Time) Request { return Request{Key: keyOf(at, "a", "a", "b")} }
	cases := []struct {
		name string
		run  func(ta *Table) string
	}{
		{"new key", func(ta *Table) string { return begin(ta, "1m", req) }},
		{"repeat while it runs", func(ta *Table) string { begin(ta, "1m", req); return begin(ta, "1m1s", req) }},
		{"repeat of an answered key", func(ta *Table) string {
			begin(ta, "1m", req)
			ta.Finish(at("1m1s"), key, &Response{Body: []byte("ordered"), Status: 201})
			return begin(ta, "9m", req)
		}},
		{"repeat after a write error", func(ta *Table) string {
			begin(ta, "1m", req)
			ta.MarkUnknown(at("1m1s"), key)
			return begin(ta, "1m2s", req)
		}},
		{"repeat after not-run", func(ta *Table) string {
			begin(ta, "1m", req)
			ta.Release(at("1m1s"), key)
			return begin(ta, "1m2s", req)
		}},
		{"answer too large to keep", func(ta *Table) string {
			begin(ta, "1m", req)
			ta.Finish(at("1m1s"), key, &Response{Body: make([]byte, 101)})
			return begin(ta, "1m2s", req)
		}},
		{"answer evicted by others", func(ta *Table) string {
			begin(ta, "1m", req)
			ta.Finish(at("1m1s"), key, &Response{Body: make([]byte, 90)})
			other := minted(at("61s"))
			begin(ta, "1m1s", other)
			ta.Finish(at("1m2s"), other.Key, &Response{Body: make([]byte, 90)})
			return begin(ta, "1m3s", req)
		}},
		{"key of another request", func(ta *Table) string {
			begin(ta, "1m", req)
			return begin(ta, "1m1s", Request{Digest: 7, Key: key})
		}},
		{"table full", func(ta *Table) string {
			begin(ta, "1m", req)
			begin(ta, "1m", minted(at("61s")))
			return begin(ta, "1m", minted(at("62s")))
		}},
		{"table full of expired keys", func(ta *Table) string {
			for _, re := range []Request{req, minted(at("61s"))} {
				begin(ta, "1m", re)
				ta.Finish(at("1m"), re.Key, nil)
			}
			return begin(ta, "12m", minted(at("12m")))
		}},
		{"older than the retention time", func(ta *Table) string { return begin(ta, "11m", req) }},
		{"clock jumped ahead and back", func(ta *Table) string {
			begin(ta, "1m", req)
			ta.Finish(at("1m"), key, nil)
			ta.Expire(at("2h"))
			return begin(ta, "2m", req)
		}},
		{"minted in the future, by the skew", func(ta *Table) string { return begin(ta, "58s", req) }},
		{"minted in the future, by more than the skew", func(ta *Table) string { return begin(ta, "57s", req) }},
		{"minted in the past, after the start", func(ta *Table) string { return begin(ta, "1m", minted(at("4001ms"))) }},
		{"minted within twice the skew of the start", func(ta *Table) string { return begin(ta, "1m", minted(at("4s"))) }},
		{"home is another endpoint", func(ta *Table) string {
			return begin(ta, "1m", Request{Key: keyOf(noon, "b", "a", "b"), Revision: 1})
		}},
		{"no set received", func(*Table) string { return begin(NewTable(Options{Endpoint: "a", Started: start}), "1m", req) }},
		{"home moved here, former home has not yielded", func(ta *Table) string {
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"a"}, Revision: 2}, nil)
			return begin(ta, "1m", Request{Key: keyOf(noon, "b", "a", "b")})
		}},
		{"home moved here, minted 2 skews after the former home yielded", func(ta *Table) string {
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"a"}, Revision: 2}, nil)
			ta.RecordYield(at("56s"), "b", 2)
			return begin(ta, "1m", Request{Key: keyOf(noon, "b", "a", "b")})
		}},
		{"home moved here, minted more than 2 skews after the former home yielded", func(ta *Table) string {
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"a"}, Revision: 2}, nil)
			ta.RecordYield(at("55999ms"), "b", 2)
			return begin(ta, "1m", Request{Key: keyOf(noon, "b", "a", "b")})
		}},
		{"home moved here, former home yielded to an older revision", func(ta *Table) string {
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"a"}, Revision: 2}, nil)
			ta.RecordYield(at("31s"), "b", 1)
			return begin(ta, "1m", Request{Key: keyOf(noon, "b", "a", "b")})
		}},
		{"home moved here, instance of the former home is gone", func(ta *Table) string {
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"a"}, Revision: 2}, nil)
			ta.RecordYield(at("31s"), "b", RevisionGone)
			return begin(ta, "1m", Request{Key: keyOf(noon, "b", "a", "b")})
		}},
		{"home did not move: no yield needed", func(ta *Table) string {
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"a"}, Revision: 2}, nil)
			return begin(ta, "1m", req)
		}},
		{"yielded to a revision not yet received", func(ta *Table) string { ta.Yield(2); return begin(ta, "1m", req) }},
		{"yielded, then received a revision that moves no key", func(ta *Table) string {
			ta.Yield(2)
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"b", "a"}, Revision: 2}, nil)
			return begin(ta, "1m", req)
		}},
		{"lower revision after a higher one", func(ta *Table) string {
			ta.SetHomes(at("30s"), EndpointSet{Endpoints: []string{"b"}, Revision: 3}, nil)
			ta.SetHomes(at("31s"), EndpointSet{Endpoints: []string{"a", "b"}, Revision: 2}, nil)
			return begin(ta, "1m", req)
		}},
		{"an hour's outage of the key-value service", func(ta *Table) string {
			return begin(ta, "1h", minted(at("1h")))
		}},
		{"query of an unknown key", func(ta *Table) string {
			return begin(ta, "1m", Request{Ask: true, Key: key, Minted: true})
		}},
		{"request arrives after its query", func(ta *Table) string {
			begin(ta, "1m", Request{Ask: true, Key: key, Minted: true})
			return begin(ta, "1m1s", Request{Key: key, Minted: true})
		}},
		{"query of a key from before the start", func(ta *Table) string {
			return begin(ta, "5s", Request{Ask: true, Key: minted(at("3s")).Key, Minted: true})
		}},
		{"minted by an entry, right after the start", func(ta *Table) string {
			return begin(ta, "1s", Request{Key: minted(at("1s")).Key, Minted: true})
		}},
	}
	var sb strings.Builder
	for _, tc := range cases {
		ta := newHome(Options{MaxAnswerSize: 100, MaxAnswersSize: 150, MaxKeys: 2, Skew: skew})
		fmt.Fprintf(&sb, "%s: %s\n", tc.name, strings.TrimSpace(tc.run(ta)))
	}
	golden.Assert(t, sb.String(), "rules.golden")
}

func TestParseKey(t *testing.T) {
	ke, err := NewKey(start)
	assert.NilError(t, err)
	parsed, err := ParseKey(ke.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, ke)
	assert.Assert(t, parsed.MintedAt().Equal(start))
	for name, text := range map[string]string{
		"empty":        "",
		"order number": "order-4711",
		"version 4":    "6f0d9f9e-6a3c-4f5b-9d9c-1b8f5f6a7d3e",
		"braces":       "{" + ke.String() + "}",
	} {
		_, err := ParseKey(text)
		assert.ErrorIs(t, err, ErrBadKey, name)
	}
}

func TestSetRetentionLeavesExpiredKeysInvalid(t *testing.T) {
	// A longer retention time must not make a key that has already expired count as new.
	ta := newHome(Options{Keep: time.Minute})
	key := keyOf(at("1m"), "a", "a", "b")
	assert.Assert(t, ta.Begin(at("1m"), Request{Key: key}).Run)
	ta.Finish(at("1m1s"), key, nil)
	ta.Expire(at("3m"))
	assert.Equal(t, ta.Len(), 0)
	ta.SetRetention(10 * time.Minute)
	de := ta.Begin(at("3m"), Request{Key: key})
	assert.Assert(t, !de.Run && de.Refusal.Outcome() == outcome.Unknown, formatDecision(de))
	young := keyOf(at("2m30s"), "a", "a", "b")
	assert.Assert(t, ta.Begin(at("3m"), Request{Key: young}).Run)
}

func TestQueriesRespectMaxKeys(t *testing.T) {
	// Queries about unknown keys must not grow the table beyond MaxKeys.
	ta := newHome(Options{MaxKeys: 2})
	for n := range 5 {
		de := ta.Begin(at("1m"), Request{Ask: true, Key: testKey(at("1m"), n), Minted: true})
		assert.Assert(t, !de.Run)
		full := n >= 2
		assert.Equal(t, de.Refusal.Outcome() == outcome.Unknown, full, formatDecision(de))
	}
	assert.Equal(t, ta.Len(), 2)
}
