package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

// echoHeaders responds with the customer and key headers that the endpoint received.
func echoHeaders(rw http.ResponseWriter, rq *http.Request, run func()) {
	run()
	sign(rw, rq)
	_, _ = io.WriteString(rw, strings.Join(rq.Header.Values("Customer"), ",")+"|"+strings.Join(rq.Header.Values("Key"), ","))
}

func TestEndpointReceivesCustomer(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		public bool
		status int
		body   string
	}{
		{name: "key", header: http.Header{"Key": {"Bearer k"}}, status: http.StatusOK, body: "ada|"},
		{name: "claims another name", header: http.Header{"Customer": {"bob", "eve"}, "Key": {"Bearer k"}}, status: http.StatusOK, body: "ada|"},
		{name: "public, claims a name", header: http.Header{"Customer": {"bob"}, "Key": {"Bearer k"}}, public: true, status: http.StatusOK, body: "|"},
		{name: "no key", header: http.Header{}, status: http.StatusUnauthorized, body: `{"error":"the request shows no key"}`},
		{name: "unknown", header: http.Header{"Key": {"Bearer secret"}}, status: http.StatusUnauthorized, body: `{"error":"the request's key is unknown"}`},
		{name: "twice", header: http.Header{"Key": {"Bearer k", "Bearer k"}}, status: http.StatusUnauthorized, body: `{"error":"the request shows more than one key"}`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			de := deploy(t, directory.Route{Kind: directory.Repeatable}, echoHeaders)
			de.requireKeys(tc.public)
			de.forwarder.Directory.Confirm(directory.TopicOperator, time.Now())
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/a/1", strings.NewReader("x"))
			assert.NilError(t, err)
			rq.Host = "desk"
			rq.Header = tc.header
			rq.Header.Set(headers.RequestID, "id-1")
			re, err := http.DefaultClient.Do(rq)
			assert.NilError(t, err)
			body, err := io.ReadAll(re.Body)
			assert.NilError(t, err)
			_ = re.Body.Close()
			assert.Equal(t, re.StatusCode, tc.status)
			assert.Equal(t, string(body), tc.body)
			assert.Equal(t, de.runs.Load() > 0, tc.status == http.StatusOK)
		})
	}
}

// requireKeys installs a configuration that requires callers to send keys.
func (de *deployment) requireKeys(public bool) {
	co := *de.forwarder.Directory.Configuration()
	co.Version++
	co.Customers = []directory.Customer{{Name: "ada", Keys: []directory.KeyDigest{directory.DigestKey("k")}}}
	co.Routes = append([]directory.Route(nil), co.Routes...)
	for i := range co.Routes {
		co.Routes[i].Public = public
	}
	de.forwarder.Directory.SetConfiguration(&co)
}

// An entry whose configuration may be out of date must not answer 401, which callers treat as
// final, to a key that other entries may accept.
func TestUnknownKeyWithStaleConfiguration(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable}, echoHeaders)
	de.requireKeys(false)
	de.forwarder.Directory.Confirm(directory.TopicOperator, time.Now().Add(-10*time.Second))
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/a/1", strings.NewReader("x"))
	assert.NilError(t, err)
	rq.Host = "desk"
	rq.Header.Set(headers.RequestID, "id-1")
	rq.Header.Set(headers.Key, "Bearer new")
	re, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	_ = re.Body.Close()
	assert.Equal(t, re.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, re.Header.Get("Retry-After"), "0.5")
	assert.Equal(t, de.runs.Load(), int64(0))
}

// An entry whose configuration may be out of date must not answer 404, which callers treat as
// final, for a route that other entries may have.
func TestMissingRouteWithStaleConfiguration(t *testing.T) {
	de := deploy(t, directory.Route{Kind: directory.Repeatable}, echoHeaders)
	for _, tc := range []struct {
		name   string
		age    time.Duration
		status int
	}{
		{"old", 10 * time.Second, http.StatusServiceUnavailable},
		{"new", 0, http.StatusNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			de.forwarder.Directory.Confirm(directory.TopicOperator, time.Now().Add(-tc.age))
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, de.entry.URL+"/a/1", strings.NewReader("x"))
			assert.NilError(t, err)
			rq.Host = "other"
			rq.Header.Set(headers.RequestID, "id-1")
			re, err := http.DefaultClient.Do(rq)
			assert.NilError(t, err)
			_ = re.Body.Close()
			assert.Equal(t, re.StatusCode, tc.status)
		})
	}
}
