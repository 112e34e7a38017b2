package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func known(di *Directory, id string) bool {
	_, ok := di.Endpoint(id)
	return ok
}

func withEndpoint() *Directory {
	var di Directory
	di.SetEndpoints([]Endpoint{{Address: "10.0.0.1:80", ID: "a", Service: "desk"}}, time.Now())
	return &di
}

func TestRemovedEndpointGetsNothing(t *testing.T) {
	// Symptom: an endpoint that has left gets requests for 2.5 s more.
	// Sequence: a waiting call to the key-value service is cut and repeated at
	// once; right after it an endpoint's entry is removed.
	// Cause: any failed call counted as an outage, after which missing entries
	// are expected to come back.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.SetUnavailable(true, time.Now())
		time.Sleep(retryPause)
		di.SetUnavailable(false, time.Now())
		di.RemoveEndpoint("a", time.Now())
		assert.Assert(t, !known(di, "a"))
	})
}

func TestEndpointsOutliveAnOutage(t *testing.T) {
	// Symptom: all requests are refused for seconds after each outage.
	// Sequence: the key-value service is away for 4 s, in which endpoints' leases
	// end; it returns, and the endpoints register again within 2 s.
	// Cause: entries that are missing after an outage were taken for endpoints
	// that are gone.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.SetUnavailable(true, time.Now())
		time.Sleep(4 * time.Second)
		di.SetUnavailable(false, time.Now())
		di.SetEndpoints(nil, time.Now())
		di.Expire(time.Now())
		assert.Assert(t, known(di, "a"), "right after the outage")
		time.Sleep(2 * time.Second)
		di.Expire(time.Now())
		assert.Assert(t, known(di, "a"), "while it may still register")
		time.Sleep(time.Second)
		di.Expire(time.Now())
		assert.Assert(t, !known(di, "a"), "once it should have")
	})
}

func TestNoConfigurationGoesBack(t *testing.T) {
	// Symptom: requests go by a route that the operators have removed.
	// Sequence: a newer configuration is in force; an older one is read late.
	// Cause: whatever was read last was put in force.
	var di Directory
	assert.Assert(t, di.SetConfiguration(&Configuration{Version: 7}))
	assert.Assert(t, !di.SetConfiguration(&Configuration{Version: 4}))
	assert.Equal(t, di.Configuration().Version, int64(7))
}

func TestRoute(t *testing.T) {
	co := Configuration{Routes: []Route{
		{Host: "a", Name: "short", Prefix: "/x/"},
		{Host: "a", Name: "long", Prefix: "/x/y/"},
		{Host: "b", Name: "other", Prefix: "/x/y/z/"},
	}}
	for _, tc := range []struct{ name, host, path, route string }{
		{"longest prefix", "a", "/x/y/z/1", "long"},
		{"shorter prefix", "a", "/x/1", "short"},
		{"no prefix", "a", "/1", ""},
		{"prefix without its end", "a", "/x", ""},
		{"no host", "c", "/x/1", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ro, ok := co.Route(tc.host, tc.path)
			assert.Equal(t, ro.Name, tc.route)
			assert.Equal(t, ok, tc.route != "")
		})
	}
}

func TestSuccessorAtTheSameAddress(t *testing.T) {
	// Symptom: after a loss of power, half of the items that engines get are refused
	// as if they were for another engine.
	// Sequence: an endpoint crashes and starts again; its old entry stays for three
	// heartbeats, and is read before or after the new one.
	// Cause: both counted as endpoints with places of their own.
	old := Endpoint{Address: "10.0.0.1:80", ID: "old", Revision: 7, Service: "desk"}
	successor := Endpoint{Address: "10.0.0.1:80", ID: "successor", Revision: 9, Service: "other"}
	far := Endpoint{Address: "10.0.0.2:80", ID: "far", Revision: 3, Service: "desk"}
	for name, ens := range map[string][]Endpoint{
		"old first": {old, far, successor}, "successor first": {successor, far, old},
	} {
		t.Run(name, func(t *testing.T) {
			var di Directory
			di.SetEndpoints(ens, time.Now())
			assert.Assert(t, !known(&di, "old") && known(&di, "successor") && known(&di, "far"))
			old := old
			old.Revision = 11 // a write that was held up shows that it lives after all
			assert.Equal(t, di.SetEndpoint(old), "successor")
		})
	}
}

func TestWeights(t *testing.T) {
	co := &Configuration{Customers: []Customer{
		{Name: "first", Ranked: true},
		{Name: "third", Ranked: true, Priority: 2},
		{Name: "unranked", Priority: 5},
		{Name: "weighed", Ranked: true, Priority: 2, Weight: 4},
	}}
	assert.DeepEqual(t, co.Weights(), map[string]float64{"first": 1, "third": 1.0 / 3, "unranked": 1, "weighed": 4})
}
