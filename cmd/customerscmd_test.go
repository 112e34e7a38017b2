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

// TestCustomers lists two customers, one with requests and a rejection. No key may be shown.
func TestCustomers(t *testing.T) {
	store := &standin.Store{}
	sv := httptest.NewServer(store.Handler())
	defer sv.Close()
	address := strings.TrimPrefix(sv.URL, "http://")
	op := &standin.Operator{Keys: map[string][]string{"ada": {"secret-2", "secret-3"}, "bob": {"secret-1"}}, Store: store}
	op.Configure(t.Context(), directory.Configuration{Version: 1})
	so := platform.Source()
	it, err := platform.NewStore(address, nil).Get(t.Context(), so.ConfigurationKey)
	assert.NilError(t, err)
	co, err := so.DecodeConfigurationFunc(it.Value)
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

func TestPriorityOfCustomers(t *testing.T) {
	lines := customerLines(&directory.Configuration{Customers: []directory.Customer{
		{Name: "bob"}, {Name: "ada", Priority: 0, Ranked: true},
	}}, nil)
	assert.DeepEqual(t, lines, []customerLine{{Customer: "ada", Priority: "0"}, {Customer: "bob"}})
}
