package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/engine"
)

var noon = time.UnixMilli(1_700_000_000_000)

// newTable returns a table of n endpoints in three failure domains.
func newTable(n int, op Options) *Table {
	ta := NewTable(op)
	domains := []string{"coventry-hall", "derby-hall", "walsall-hall"}
	for i := range n {
		ta.Upsert(Endpoint{
			Address:       fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			FailureDomain: domains[i%3],
			ID:            fmt.Sprintf("e%04d", i),
			Service:       "marker-llm",
			Version:       engine.Version(1 + i%2),
		})
	}
	return ta
}

// picks returns how many of n concurrent requests go to each endpoint.
func picks(ta *Table, n int, need Need) string {
	need.Service = "marker-llm"
	counts := map[string]int{}
	for range n {
		en, ok := ta.Pick(noon, need)
		if !ok {
			en.ID = "none"
		}
		counts[en.ID]++
	}
	return strings.TrimPrefix(fmt.Sprint(counts), "map")
}

func TestPick(t *testing.T) {
	cases := []struct {
		name string
		run  func(ta *Table) string
	}{
		{"spread over all", func(ta *Table) string { return picks(ta, 600, Need{}) }},
		{"own failure domain first", func(ta *Table) string { return picks(ta, 20, Need{FailureDomain: "derby-hall"}) }},
		{"own failure domain full", func(ta *Table) string { return picks(ta, 60, Need{FailureDomain: "derby-hall"}) }},
		{"version new enough", func(ta *Table) string { return picks(ta, 30, Need{MinVersion: 2}) }},
		{"version of no endpoint", func(ta *Table) string { return picks(ta, 2, Need{MinVersion: 3}) }},
		{"all but one tried", func(ta *Table) string {
			return picks(ta, 2, Need{Exclude: []string{"e0000", "e0001", "e0002", "e0004", "e0005"}})
		}},
		{"one prefix stays together, within the load bound", func(ta *Table) string { return picks(ta, 24, Need{Prefix: "p"}) }},
		{"leaving", func(ta *Table) string {
			for _, id := range []string{"e0000", "e0001", "e0002", "e0003"} {
				en, _ := ta.Get(id)
				en.State = Leaving
				ta.Upsert(en)
			}
			return picks(ta, 4, Need{})
		}},
		{"loaded by other entries", func(ta *Table) string {
			for _, id := range []string{"e0000", "e0001", "e0002", "e0003", "e0004"} {
				ta.Observe(id, Load{Limit: 8, Running: 8, Waiting: 30})
			}
			return picks(ta, 20, Need{})
		}},
		{"refused, then free again", func(ta *Table) string {
			ta.Take("e0000")
			ta.Refused(noon, "e0000", time.Hour)
			first := picks(ta, 60, Need{})
			en, ok := ta.Pick(noon.Add(maxAvoidance), Need{Service: "marker-llm"})
			return fmt.Sprint(first, " then ", en.ID, ok)
		}},
	}
	var sb strings.Builder
	for _, tc := range cases {
		fmt.Fprintf(&sb, "%s: %s\n", tc.name, tc.run(newTable(6, Options{Seed: 1})))
	}
	ta := newTable(6, Options{Policy: RoundRobin})
	fmt.Fprintf(&sb, "round robin: %s\n", picks(ta, 12, Need{FailureDomain: "derby-hall", Prefix: "p"}))
	golden.Assert(t, sb.String(), "picks.golden")
}

// Consecutive failures eject an endpoint until a probe succeeds, so that calls to a dead endpoint do
// not keep failing for as long as it is listed.
func TestEjection(t *testing.T) {
	ta := newTable(1, Options{})
	need := Need{Service: "marker-llm"}
	now := noon
	pick := func(want bool) {
		t.Helper()
		_, ok := ta.Pick(now, need)
		assert.Equal(t, ok, want)
	}
	for range defaultEjectAfter {
		pick(true)
		ta.Failed(now, "e0000")
	}
	pick(false)
	now = now.Add(defaultEjectFor)
	pick(true)  // the probe
	pick(false) // one probe at a time
	ta.Failed(now, "e0000")
	now = now.Add(defaultEjectFor)
	pick(false) // the ejection time has doubled
	now = now.Add(defaultEjectFor)
	pick(true)
	ta.Succeeded(now, "e0000")
	pick(true)
	pick(true)
}

func BenchmarkPick(b *testing.B) {
	needs := map[string]Need{
		"live":    {FailureDomain: "derby-hall"},
		"sample":  {MinVersion: 2},
		"prefix":  {MinVersion: 2, Prefix: "p"},
		"refused": {}, // by all endpoints
	}
	for _, name := range []string{"live", "sample", "prefix", "refused"} {
		for _, n := range []int{30, 100, 400, 1100} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				ta := newTable(n, Options{Seed: 1})
				need := needs[name]
				need.Service = "marker-llm"
				prefixes := make([]string, 1024)
				for i := range prefixes {
					prefixes[i] = fmt.Sprint(i)
				}
				b.ReportAllocs()
				if name == "refused" {
					for _, en := range ta.Endpoints(need.Service) {
						ta.Refused(noon, en.ID, time.Hour)
					}
				}
				for i := 0; b.Loop(); i++ {
					if name == "prefix" {
						need.Prefix = prefixes[i%len(prefixes)]
					}
					en, ok := ta.Pick(noon, need)
					if ok == (name == "refused") {
						b.Fatal("endpoint chosen: ", ok)
					}
					ta.Succeeded(noon, en.ID)
				}
			})
		}
	}
}

func TestPickWithLoadLimit(t *testing.T) {
	// A sample must not be sent to a full endpoint, where it could wait for minutes while others become
	// free, nor to a suspect one because the others are full.
	ta := NewTable(Options{})
	for _, id := range []string{"a", "b"} {
		ta.Upsert(Endpoint{ID: id, Service: "marker"})
		ta.Observe(id, Load{Limit: 4, Running: 3, Waiting: 1})
	}
	ta.Upsert(Endpoint{ID: "c", Service: "marker", State: Suspect})
	need := Need{Prefix: "p", Room: 1, Service: "marker"}
	_, ok := ta.Pick(time.Time{}, need)
	assert.Assert(t, !ok)
	ta.Observe("b", Load{Limit: 4, Running: 3})
	en, ok := ta.Pick(time.Time{}, need)
	assert.Assert(t, ok && en.ID == "b")
	_, ok = ta.Pick(time.Time{}, Need{Service: "marker"})
	assert.Assert(t, ok, "a request without a load limit is placed")
}

func TestSuspectIsLastResort(t *testing.T) {
	// Calls go to an endpoint whose agent does not respond only if there is no other.
	ta := NewTable(Options{})
	ta.Upsert(Endpoint{ID: "a", Service: "desk", State: Suspect})
	ta.Upsert(Endpoint{ID: "b", Service: "desk"})
	for range 100 {
		en, ok := ta.Pick(time.Time{}, Need{Service: "desk"})
		assert.Assert(t, ok && en.ID == "b")
	}
	ta.Upsert(Endpoint{ID: "b", Service: "desk", State: Leaving})
	en, ok := ta.Pick(time.Time{}, Need{Service: "desk"})
	assert.Assert(t, ok && en.ID == "a", "no other is left")
	ta.Upsert(Endpoint{ID: "a", Service: "desk", State: Leaving})
	_, ok = ta.Pick(time.Time{}, Need{Service: "desk"})
	assert.Assert(t, !ok)
}
