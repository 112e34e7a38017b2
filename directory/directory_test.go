package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
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

// endOutage records an outage that has just ended.
func (di *Directory) endOutage(length time.Duration) {
	now := time.Now()
	di.RecordOutage(keyvalue.Outage{Failure: now, From: now.Add(-length), To: now}, 1)
}

func TestRetryIsNoOutage(t *testing.T) {
	// Guards against keeping a removed endpoint for the grace period because one call to the
	// key-value service failed and was retried.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.endOutage(retryPause)
		di.RemoveEndpoint("a", time.Now())
		assert.Assert(t, !known(di, "a"))
	})
}

func TestEndpointsOutliveAnOutage(t *testing.T) {
	// Guards against dropping all endpoints after an outage of the key-value service in which
	// their entries expired, before they register again.
	synctest.Test(t, func(t *testing.T) {
		di := withEndpoint()
		di.endOutage(4 * time.Second)
		di.SetEndpoints(nil, time.Now())
		di.Expire(time.Now())
		assert.Assert(t, known(di, "a"), "right after the outage")
		time.Sleep(2 * time.Second)
		di.Expire(time.Now())
		assert.Assert(t, known(di, "a"), "within the grace period")
		time.Sleep(time.Second)
		di.Expire(time.Now())
		assert.Assert(t, !known(di, "a"), "after the grace period")
	})
}

func TestOlderConfigurationIgnored(t *testing.T) {
	// Guards against a stale read restoring routes that were removed.
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
		{"prefix without trailing slash", "a", "/x", ""},
		{"unknown host", "c", "/x/1", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ro, ok := co.Route(tc.host, tc.path)
			assert.Equal(t, ro.Name, tc.route)
			assert.Equal(t, ok, tc.route != "")
		})
	}
}

func TestSuccessorAtTheSameAddress(t *testing.T) {
	// Guards against sending an endpoint twice as many items as it has slots after a crash,
	// while its old entry has not expired yet.
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
			old.Revision = 11 // a later write shows that it is alive after all
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
