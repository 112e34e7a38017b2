package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEndpointStartsAgainUnderItsID(t *testing.T) {
	// Symptom: an endpoint that is ready gets nothing, or one that is gone gets
	// requests.
	// Sequence: an endpoint crashes while it leaves and starts again under its ID;
	// an entry of its former start is written or read late.
	// Cause: the entry that came last was taken for the newest.
	now := Endpoint{Address: "10.0.0.1:80", ID: "a", Incarnation: 20, Revision: 5, Service: "desk"}
	for _, tc := range []struct {
		name    string
		entry   Endpoint
		address string
		leaving bool
	}{
		{"its former start", Endpoint{Address: "10.0.0.9:80", Incarnation: 10, Leaving: true, Revision: 6}, "10.0.0.1:80", false},
		{"the same start", Endpoint{Address: "10.0.0.1:80", Incarnation: 20, Leaving: true, Revision: 6}, "10.0.0.1:80", true},
		{"a later start elsewhere", Endpoint{Address: "10.0.0.9:80", Incarnation: 30, Revision: 6}, "10.0.0.9:80", false},
		{"no start is named", Endpoint{Address: "10.0.0.1:80", Leaving: true, Revision: 6}, "10.0.0.1:80", true},
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
				assert.Assert(t, en.Incarnation >= 20, "its start is not forgotten")
			}
		})
	}
}

func TestTwoEntriesClaimOneAddress(t *testing.T) {
	// Symptom: an endpoint that serves gets no request.
	// Sequence: another writer's entry, with a field missing or of a service that no
	// one named, has the address of an endpoint.
	// Cause: of two entries with one address the one that was written last counted.
	co := &Configuration{Version: 1, Services: []Service{{Name: "desk"}, {Name: "lm"}}}
	serving := Endpoint{Address: "10.0.0.1:80", ID: "serving", Incarnation: 20, Revision: 5, Service: "desk"}
	for _, tc := range []struct {
		name     string
		incoming Endpoint
		wins     bool
	}{
		{"it started later", Endpoint{Incarnation: 30, Revision: 4, Service: "lm"}, true},
		{"it started earlier", Endpoint{Incarnation: 10, Revision: 9, Service: "lm"}, false},
		{"its start is not known", Endpoint{Revision: 9, Service: "desk"}, false},
		{"its service is unknown", Endpoint{Incarnation: 30, Revision: 9, Service: "none"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.incoming.ID, tc.incoming.Address = "incoming", serving.Address
			for _, order := range []string{"configuration first", "configuration last", "the other way round"} {
				var di Directory
				ens := []Endpoint{serving, tc.incoming}
				if order == "the other way round" {
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
