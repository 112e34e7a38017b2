package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// An event is a crash of an endpoint, or a success if that is empty, at a second after noon.
type event struct {
	endpoint string
	second   int
}

func TestCheck(t *testing.T) {
	// Guards against holding a request too late, so that it crashes more endpoints, and against
	// blocking a frequent request because of unrelated crashes.
	for _, tc := range []struct {
		name    string
		events  []event
		second  int
		held    time.Duration
		crashes int
	}{
		{"unknown", nil, 0, 0, 0},
		{"one crash", []event{{"a", 0}}, 0, 0, 1},
		{"two crashes", []event{{"a", 0}, {"b", 0}}, 0, 10 * time.Second, 2},
		{"one crash seen by two processes", []event{{"a", 0}, {"a", 1}}, 1, 0, 1},
		{"two crashes, after the cooldown", []event{{"a", 0}, {"b", 0}}, 10, 0, 2},
		{"third crash after the cooldown", []event{{"a", 0}, {"b", 0}, {"c", 11}}, 12, 9 * time.Second, 3},
		{"three crashes together, after the cooldown", []event{{"a", 0}, {"b", 0}, {"c", 0}}, 10, 0, 3},
		{"three crashes together, then a success", []event{{"a", 0}, {"b", 0}, {"c", 0}, {"", 11}}, 11, 0, 0},
		{"a trial that failed", []event{{"a", 0}, {"b", 0}, {"c", 0}, {"d", 11}}, 11, 20 * time.Second, 4},
		{"two trials that failed", []event{{"a", 0}, {"b", 0}, {"c", 0}, {"d", 11}, {"e", 32}}, 32, 40 * time.Second, 5},
		{"three trials that failed", []event{{"a", 0}, {"b", 0}, {"c", 0}, {"d", 11}, {"e", 32}, {"f", 73}}, 73, 24 * time.Hour, 6},
		{"after the block time", []event{{"a", 0}, {"b", 0}, {"c", 0}, {"d", 0}, {"e", 0}, {"f", 0}}, 24*60*60 + 1, 0, 0},
		{"success in between", []event{{"a", 0}, {"", 5}, {"b", 6}}, 6, 0, 1},
		{"success after two", []event{{"a", 0}, {"b", 0}, {"", 11}}, 11, 0, 0},
		{"success while blocked", []event{{"a", 0}, {"b", 0}, {"c", 0}, {"d", 0}, {"e", 0}, {"f", 0}, {"", 1}}, 60, 24*time.Hour - time.Minute, 6},
		{"two crashes, expired", []event{{"a", 0}, {"b", 0}}, 601, 0, 0},
		{"clock ahead", []event{{"a", 100}, {"b", 100}}, 0, 10 * time.Second, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ta Table
			for _, ev := range tc.events {
				at := noon.Add(time.Duration(ev.second) * time.Second)
				if ev.endpoint == "" {
					ta.RecordSuccess("request", at)
					continue
				}
				ta.RecordCrash("request", ev.endpoint, at)
			}
			ve := ta.Check("request", noon.Add(time.Duration(tc.second)*time.Second))
			want := Verdict{HeldFor: tc.held, Strikes: tc.crashes}
			assert.Equal(t, ve, want)
			assert.Equal(t, ve.Held(), tc.held > 0)
			assert.Equal(t, ta.Check("another", noon), Verdict{})
		})
	}
}

func TestTablesAgree(t *testing.T) {
	// Guards against tables that got the same records in different orders, or repeatedly, with
	// different verdicts.
	rapid.Check(t, func(t *rapid.T) {
		var res []Record
		for range rapid.IntRange(0, 12).Draw(t, "records") {
			res = append(res, Record{
				AtMS:   noon.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "second")) * time.Second).UnixMilli(),
				Digest: "request", Endpoint: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "endpoint"),
			})
		}
		now := noon.Add(30 * time.Second)
		var one, other, third Table
		one.Merge(res, now)
		for _, re := range rapid.Permutation(res).Draw(t, "order") {
			other.MergeUnsaved([]Record{re}, now)
		}
		third.Merge(other.Records(now), now)
		third.Merge(one.Records(now), now)
		assert.Equal(t, one.Check("request", now), other.Check("request", now))
		assert.Equal(t, one.Check("request", now), third.Check("request", now))
		assert.DeepEqual(t, one.Records(now), third.Records(now))
	})
}

func TestSince(t *testing.T) {
	// Guards against sending all records to all processes at each change.
	var ta Table
	ta.RecordCrash("old", "a", noon)
	known := ta.Generation()
	assert.Equal(t, len(ta.Since(known, noon)), 0)
	ta.RecordCrash("new", "a", noon)
	ta.RecordCrash("new", "b", noon)
	res := ta.Since(known, noon)
	assert.Equal(t, len(res), 2)
	assert.Equal(t, res[0].Digest, Digest("new"))
	assert.Equal(t, len(ta.Since(0, noon)), 3)
}

func TestTableIsBounded(t *testing.T) {
	// Guards against many different requests that crash endpoints evicting blocked ones, or
	// exceeding the size of the stored value.
	var ta Table
	for i := range blockThreshold {
		ta.RecordCrash("blocked", fmt.Sprint(i), noon)
	}
	for i := range 3 * maxRows {
		ta.RecordCrash(Digest(fmt.Sprint("request-", i)), "endpoint", noon.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, len(ta.Records(noon)), maxRows-1+blockThreshold)
	assert.Assert(t, ta.Check("blocked", noon).Held())
	assert.Equal(t, len(ta.Records(noon.Add(time.Hour))), blockThreshold, "expired records are removed")
}

func TestDigest(t *testing.T) {
	first := DigestOf("", "desk", "POST", "/a?b=c", []byte("line"))
	assert.Equal(t, first, DigestOf("", "desk", "POST", "/a?b=c", []byte("line")))
	for _, other := range []Digest{
		DigestOf("", "desk", "POST", "/a?b=c", nil), DigestOf("", "desk", "POST", "/a?b=", []byte("cline")),
		DigestOf("", "desk", "PUT", "/a?b=c", []byte("line")), DigestOf("", "other", "POST", "/a?b=c", []byte("line")),
		DigestOf("customer", "desk", "POST", "/a?b=c", []byte("line")),
	} {
		assert.Assert(t, first != other)
	}
}
