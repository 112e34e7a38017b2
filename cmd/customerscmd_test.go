package cmd

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/access"
	"wisteriacroft/directory"
	"wisteriacroft/platform"
	"wisteriacroft/platform/standin"
)

// TestCustomers runs an operator's session: two customers, of which one has asked for
// something and was refused once.
func TestCustomers(t *testing.T) {
	store := &standin.Store{}
	sv := httptest.NewServer(store.Handler())
	defer sv.Close()
	address := strings.TrimPrefix(sv.URL, "http://")
	const configuration = `{"version":1,"tenants":[{"name":"bob","api_keys":["secret-1"]},{"name":"ada","api_keys":["secret-2","secret-3"],"priority":1}]}`
	_, err := platform.NewStore(address, nil).Put(t.Context(), platform.Source().ConfigurationKey, []byte(configuration), 0, 0)
	assert.NilError(t, err)

	co, err := platform.Source().DecodeConfigurationFunc([]byte(configuration))
	assert.NilError(t, err)
	set := metrics.NewSet()
	ch := &access.Checker{Directory: &directory.Directory{}, Header: "Key", Metrics: set}
	ch.Check(co, false, http.Header{"Key": {"Bearer secret-2"}})
	ch.Refused("ada")
	entry := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { set.WritePrometheus(rw) }))
	defer entry.Close()

	for _, output := range []string{"table", "json"} {
		var out bytes.Buffer
		cc := &CustomersListCmd{Metrics: []string{strings.TrimPrefix(entry.URL, "http://")}, Output: output, Store: address, Timeout: time.Second}
		assert.NilError(t, cc.Run(context.Background(), &ProfileEnv{Stdout: &out}))
		assert.Assert(t, !strings.Contains(out.String(), "secret"))
		golden.Assert(t, out.String(), "customers-"+output+".golden")
	}
	cc := &CustomersListCmd{Metrics: []string{address}, Store: address, Timeout: time.Second}
	assert.ErrorContains(t, cc.Run(context.Background(), &ProfileEnv{}), "metrics of "+address+": status 404")
}
