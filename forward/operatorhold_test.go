package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/hold"
)

// setOf returns a set with one hold.
func setOf(t *testing.T, version int64, ki hold.Kind, name string) *hold.Set {
	t.Helper()
	sh, _, err := (*hold.Set)(nil).Apply(hold.Change{
		Action: hold.Held, Record: hold.Record{By: "eve", Target: hold.Target{Kind: ki, Name: name}, Why: "too many"},
	})
	assert.NilError(t, err)
	return sh.WithVersion(version)
}

func TestHeldCustomerIsRejected(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable}, echoHeaders)
	de.requireKeys(false)
	for _, tc := range []struct {
		sheet  *hold.Set
		status int
	}{
		{nil, http.StatusOK},
		{setOf(t, 1, hold.Customer, "bob"), http.StatusOK},
		{setOf(t, 2, hold.Customer, "ada"), http.StatusServiceUnavailable},
		{setOf(t, 3, hold.Customer, "bob"), http.StatusOK},
	} {
		de.forwarder.Directory.SetHolds(tc.sheet)
		runs := de.runs.Load()
		rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/a/1", strings.NewReader("x"))
		assert.NilError(t, err)
		rq.Host = "desk"
		rq.Header.Set(headers.RequestID, "id-1")
		rq.Header.Set(headers.Key, "Bearer k")
		re, err := http.DefaultClient.Do(rq)
		assert.NilError(t, err)
		_ = re.Body.Close()
		assert.Equal(t, re.StatusCode, tc.status)
		assert.Equal(t, de.runs.Load() > runs, tc.status == http.StatusOK)
		if tc.status != http.StatusOK {
			assert.Equal(t, re.Header.Get("Retry-After"), "10")
		}
	}
}

func TestDrainedEndpointGetsNoRequests(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable, MaxAttempts: 3}, echoHeaders, echoHeaders)
	de.forwarder.Directory.SetHolds(setOf(t, 1, hold.Endpoint, "endpoint-0"))
	for range 20 {
		en, ok := de.forwarder.table.Pick(de.forwarder.Directory.Endpoints("desk"), nil, "0", time.Now())
		assert.Assert(t, ok)
		assert.Equal(t, en.ID, "endpoint-1")
	}
	de.forwarder.Directory.SetHolds(setOf(t, 2, hold.Endpoint, "endpoint-1"))
	en, _ := de.forwarder.table.Pick(de.forwarder.Directory.Endpoints("desk"), nil, "0", time.Now())
	assert.Equal(t, en.ID, "endpoint-0")
}
