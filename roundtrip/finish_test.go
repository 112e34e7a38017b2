package roundtrip_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/roundtrip"
)

// TestFinishKeepsConnection guards against opening a new connection for each stream because
// the body is closed before its end.
func TestFinishKeepsConnection(t *testing.T) {
	var addresses []string
	lineRead := make(chan struct{})
	sv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		addresses = append(addresses, rq.RemoteAddr)
		assert.Check(t, json.NewEncoder(rw).Encode("last line"))
		assert.Check(t, http.NewResponseController(rw).Flush())
		<-lineRead
	}))
	defer sv.Close()
	hc := roundtrip.NewHTTPClient()
	for range 3 {
		ctx, cancel := context.WithCancel(t.Context())
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, sv.URL, nil)
		assert.NilError(t, err)
		an, err := hc.Do(rq)
		assert.NilError(t, err)
		var line string
		assert.NilError(t, json.NewDecoder(an.Body).Decode(&line))
		lineRead <- struct{}{}
		roundtrip.Finish(an.Body, cancel)
		assert.NilError(t, an.Body.Close())
		cancel()
	}
	assert.DeepEqual(t, addresses, []string{addresses[0], addresses[0], addresses[0]})
}
