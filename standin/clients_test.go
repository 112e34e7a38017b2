package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRecount guards against a stand-in whose /counts doesn't echo the request
// id: the clients would fail with an error.
func TestRecount(t *testing.T) {
	es := NewEndpoints(EndpointsSettings{Endpoints: []EndpointRow{{Kind: PlainKind, Names: []string{"gate-api-1"}}}})
	server := httptest.NewServer(es.Handler())
	defer server.Close()
	ran, idle := liveCall{id: "ran"}, liveCall{id: "idle"}
	resp, err := http.Post(server.URL+"/gate-api-1"+ran.path(), "", nil)
	assert.NilError(t, err)
	resp.Body.Close()
	cl := NewClients(ClientsSettings{
		Callers:   []CallerSettings{{Name: "turnstiles", Rate: 1}},
		Endpoints: []string{server.URL},
	}, nil)
	cl.callers[0].notRun = []liveCall{ran, idle}
	sum, err := cl.Recount(t.Context(), ClientsSummary{Callers: make([]CallerSummary, 1)})
	assert.NilError(t, err)
	assert.Equal(t, sum.Callers[0].NotRunButRan, 1)
}
