package access

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

func customers() *directory.Configuration {
	return &directory.Configuration{Customers: []directory.Customer{
		{Name: "ada", Keys: []directory.KeyDigest{directory.DigestKey("key-1"), directory.DigestKey("key-2")}, Priority: 3, Ranked: true},
		{Name: "bob", Keys: []directory.KeyDigest{directory.DigestKey("key-3")}},
		{Name: "eve"},
	}}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name        string
		co          *directory.Configuration
		public      bool
		credentials []string
		stale       bool
		customer    string
		outcome     Verdict
		reason      Reason
	}{
		{name: "first key", co: customers(), credentials: []string{"Bearer key-1"}, customer: "ada"},
		{name: "second key", co: customers(), credentials: []string{"Bearer key-2"}, customer: "ada"},
		{name: "another customer's key", co: customers(), credentials: []string{"Bearer key-3"}, customer: "bob"},
		{name: "scheme in lower case", co: customers(), credentials: []string{"bearer key-3"}, customer: "bob"},
		{name: "spaces around the key", co: customers(), credentials: []string{" Bearer  key-3 "}, customer: "bob"},
		{name: "no customers", co: &directory.Configuration{}},
		{name: "no customers, but a key", co: &directory.Configuration{}, credentials: []string{"Bearer x"}},
		{name: "public", co: customers(), public: true},
		{name: "public with a key that is gone", co: customers(), public: true, credentials: []string{"Bearer gone"}},
		{name: "no configuration", outcome: Undetermined, reason: NoConfiguration},
		{name: "no key", co: customers(), outcome: Denied, reason: NoKey},
		{name: "no key, stale configuration", co: customers(), stale: true, outcome: Denied, reason: NoKey},
		{name: "two keys", co: customers(), credentials: []string{"Bearer key-1", "Bearer key-1"}, outcome: Denied, reason: MultipleKeys},
		{name: "other scheme", co: customers(), credentials: []string{"Basic key-1"}, outcome: Denied, reason: UnsupportedScheme},
		{name: "empty header", co: customers(), credentials: []string{""}, outcome: Denied, reason: UnsupportedScheme},
		{name: "empty key", co: customers(), credentials: []string{"Bearer "}, outcome: Denied, reason: EmptyKey},
		{name: "unknown key", co: customers(), credentials: []string{"Bearer key-4"}, outcome: Denied, reason: UnknownKey},
		{name: "two words", co: customers(), credentials: []string{"Bearer key-1 key-2"}, outcome: Denied, reason: UnknownKey},
		{name: "key of 8 KB", co: customers(), credentials: []string{"Bearer " + strings.Repeat("k", 8<<10)}, outcome: Denied, reason: UnknownKey},
		// With an outdated configuration, a known key is still accepted, and an unknown one may have
		// been added since.
		{name: "known key, stale configuration", co: customers(), credentials: []string{"Bearer key-1"}, stale: true, customer: "ada"},
		{name: "unknown key, stale configuration", co: customers(), credentials: []string{"Bearer key-4"}, stale: true, outcome: Undetermined, reason: KeyMaybeNewer},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			gr := Decide(tc.co, tc.public, tc.credentials, tc.stale)
			assert.Equal(t, gr.Customer.Name, tc.customer)
			assert.Equal(t, gr.Outcome, tc.outcome)
			assert.Equal(t, gr.Reason, tc.reason)
		})
	}
}

func TestPriority(t *testing.T) {
	ro := directory.Route{Priority: 7}
	co := customers()
	assert.Equal(t, Decide(co, false, []string{"Bearer key-1"}, false).Priority(ro), 3)
	assert.Equal(t, Decide(co, false, []string{"Bearer key-3"}, false).Priority(ro), 7)
}

// A process that has received no update yet, or none for too long, may have an outdated
// configuration and must not deny unknown keys.
func TestCheckerWithStaleConfiguration(t *testing.T) {
	di := &directory.Directory{}
	di.SetConfiguration(customers())
	ch := &Checker{Directory: di, Header: "Key", Metrics: metrics.NewSet()}
	unknown := http.Header{"Key": {"Bearer key-4"}}
	assert.Equal(t, ch.Check(di.Configuration(), false, unknown).Outcome, Undetermined)
	di.Confirm(directory.TopicOperator, time.Now().Add(-2*time.Second))
	assert.Equal(t, ch.Check(di.Configuration(), false, unknown).Outcome, Undetermined)
	di.Confirm(directory.TopicOperator, time.Now())
	assert.Equal(t, ch.Check(di.Configuration(), false, unknown).Outcome, Denied)
}

func TestCountedCustomersAreBounded(t *testing.T) {
	ch := &Checker{}
	for i := range 2 * maxCounted {
		ch.label(strings.Repeat("n", i+1))
	}
	assert.Equal(t, len(ch.counted), maxCounted)
	assert.Equal(t, ch.label("n"), "n")
	assert.Equal(t, ch.label(strings.Repeat("n", 2*maxCounted)), othersLabel)
}

// Whatever credentials a caller sends, only a customer's own key grants access.
func FuzzDecide(f *testing.F) {
	for _, seed := range []string{"", "Bearer", "Bearer key-1", "bEaReR\tkey-1", "Bearer key-1,Bearer key-3", "Basic a2V5", "Bearer \x00key-1", "Bearer key-1\r\nX: y"} {
		f.Add(seed, false)
		f.Add(seed, true)
	}
	f.Fuzz(func(t *testing.T, credential string, stale bool) {
		gr := Decide(customers(), false, []string{credential}, stale)
		if gr.Outcome != Allowed {
			assert.Assert(t, gr.Customer.Name == "" && gr.Reason != "")
			return
		}
		held := false
		for _, key := range []string{"key-1", "key-2", "key-3"} {
			held = held || strings.HasSuffix(strings.TrimSpace(credential), key)
		}
		assert.Assert(t, held, "%q", credential)
	})
}
