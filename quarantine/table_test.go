package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// A step is a strike by an endpoint, or an answer if that is empty, at a second
// after noon.
type step struct {
	endpoint string
	second   int
}

func TestJudge(t *testing.T) {
	// Endpoints end under a request, or for another reason while they run it. Held
	// back too late it takes the next ones with it; held back for good after one
	// outage, a request that is often asked for is never served again.
	for _, tc := range []struct {
		name    string
		steps   []step
		second  int
		held    time.Duration
		strikes int
	}{
		{"never seen", nil, 0, 0, 0},
		{"one endpoint ended", []step{{"a", 0}}, 0, 0, 1},
		{"two ended", []step{{"a", 0}, {"b", 0}}, 0, 10 * time.Second, 2},
		{"one ended, and two processes saw it", []step{{"a", 0}, {"a", 1}}, 1, 0, 1},
		{"two ended, and the rest is over", []step{{"a", 0}, {"b", 0}}, 10, 0, 2},
		{"a third ended after it", []step{{"a", 0}, {"b", 0}, {"c", 11}}, 12, 24*time.Hour - time.Second, 3},
		{"a day later", []step{{"a", 0}, {"b", 0}, {"c", 0}}, 24*60*60 + 1, 0, 0},
		{"answered in between", []step{{"a", 0}, {"", 5}, {"b", 6}}, 6, 0, 1},
		{"answered after two", []step{{"a", 0}, {"b", 0}, {"", 11}}, 11, 0, 0},
		{"answered while it is barred", []step{{"a", 0}, {"b", 0}, {"c", 0}, {"", 1}}, 60, 24*time.Hour - time.Minute, 3},
		{"two ended long ago", []step{{"a", 0}, {"b", 0}}, 601, 0, 0},
		{"seen by a clock that is ahead", []step{{"a", 100}, {"b", 100}}, 0, 10 * time.Second, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ta Table
			for _, st := range tc.steps {
				at := noon.Add(time.Duration(st.second) * time.Second)
				if st.endpoint == "" {
					ta.RecordSuccess("request", at)
					continue
				}
				ta.RecordCrash("request", st.endpoint, at)
			}
			ve := ta.Check("request", noon.Add(time.Duration(tc.second)*time.Second))
			assert.Equal(t, ve, Verdict{HeldFor: tc.held, Strikes: tc.strikes})
			assert.Equal(t, ve.Held(), tc.held > 0)
			assert.Equal(t, ta.Check("another", noon), Verdict{})
		})
	}
}

func TestJudgeItem(t *testing.T) {
	// An item is one of a dozen at each engine that ends, and its trainer can't ask
	// again: it rests later than a caller's request, and has three more tries.
	var ta Table
	for i, held := range []time.Duration{0, 0, 0, itemRest, itemRest, itemRest, barTime} {
		assert.Equal(t, ta.CheckItem("item", noon), Verdict{HeldFor: held, Strikes: i})
		ta.RecordCrash("item", fmt.Sprint(i), noon)
	}
	assert.Assert(t, DigestOfItem("", "h", "a", "/p", nil) != DigestOfItem("", "h", "b", "/p", nil))
}

func TestTablesAgree(t *testing.T) {
	// Two entries see the ends of endpoints in different orders, and each learns
	// the other's by way of a third, twice or late. If they came to judge a request
	// differently, it would pass at one of them.
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
	// Each news goes to all processes: with all that is known each time, a crash of
	// one engine under a dozen items costs each of them the records of the day.
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
	// A client that makes up requests that end endpoints must not drive out those
	// that are known, nor fill the one value that all records share.
	var ta Table
	for i := range barStrikes {
		ta.RecordCrash("barred", fmt.Sprint(i), noon)
	}
	for i := range 3 * maxRows {
		ta.RecordCrash(Digest(fmt.Sprint("request-", i)), "endpoint", noon.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, len(ta.Records(noon)), maxRows-1+barStrikes)
	assert.Assert(t, ta.Check("barred", noon).Held())
	assert.Equal(t, len(ta.Records(noon.Add(time.Hour))), barStrikes, "what has expired is dropped")
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
