package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEndpointRestart(t *testing.T) {
	// Guards against a late entry of an endpoint's previous incarnation replacing the current
	// one after a restart under the same ID.
	now := Endpoint{Address: "10.0.0.1:80", ID: "a", Incarnation: 20, Revision: 5, Service: "desk"}
	for _, tc := range []struct {
		name    string
		entry   Endpoint
		address string
		leaving bool
	}{
		{"previous incarnation", Endpoint{Address: "10.0.0.9:80", Incarnation: 10, Leaving: true, Revision: 6}, "10.0.0.1:80", false},
		{"same incarnation", Endpoint{Address: "10.0.0.1:80", Incarnation: 20, Leaving: true, Revision: 6}, "10.0.0.1:80", true},
		{"later incarnation at another address", Endpoint{Address: "10.0.0.9:80", Incarnation: 30, Revision: 6}, "10.0.0.9:80", false},
		{"no incarnation", Endpoint{Address: "10.0.0.1:80", Leaving: true, Revision: 6}, "10.0.0.1:80", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.entry.ID, tc.entry.Service = "a", "desk"
			for _, feed := range []bool{false, true} {
				var di Directory
				di.SetEndpoint(now)
				if feed {
					di.replaceEndpoints([]Endpoint{tc.entry})
				} else {
					di.SetEndpoint(tc.entry)
				}
				en, ok := di.Endpoint("a")
				assert.Assert(t, ok)
				assert.Equal(t, en.Address, tc.address)
				assert.Equal(t, en.Leaving, tc.leaving)
				assert.Assert(t, en.Incarnation >= 20, "the incarnation is kept")
			}
		})
	}
}

func TestAddressConflict(t *testing.T) {
	// Guards against an incomplete entry, or one of an undefined service, replacing a serving
	// endpoint with the same address.
	co := &Configuration{Version: 1, Services: []Service{{Name: "desk"}, {Name: "lm"}}}
	serving := Endpoint{Address: "10.0.0.1:80", ID: "serving", Incarnation: 20, Revision: 5, Service: "desk"}
	for _, tc := range []struct {
		name     string
		incoming Endpoint
		wins     bool
	}{
		{"later incarnation", Endpoint{Incarnation: 30, Revision: 4, Service: "lm"}, true},
		{"earlier incarnation", Endpoint{Incarnation: 10, Revision: 9, Service: "lm"}, false},
		{"no incarnation", Endpoint{Revision: 9, Service: "desk"}, false},
		{"undefined service", Endpoint{Incarnation: 30, Revision: 9, Service: "none"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.incoming.ID, tc.incoming.Address = "incoming", serving.Address
			for _, order := range []string{"configuration first", "configuration last", "reversed"} {
				var di Directory
				ens := []Endpoint{serving, tc.incoming}
				if order == "reversed" {
					ens = []Endpoint{tc.incoming, serving}
				}
				if order == "configuration first" {
					di.SetConfiguration(co)
				}
				di.SetEndpoints(ens, time.Now())
				di.SetConfiguration(co)
				assert.Equal(t, known(&di, "serving"), !tc.wins, order)
				if tc.wins {
					assert.Assert(t, known(&di, "incoming"), order)
				}
			}
		})
	}
}
