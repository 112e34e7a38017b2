package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/hold"
)

// Guards against a scheduler missing a change: it reads the endpoints again only if the list is
// not the same.
func TestListReplacedOnChange(t *testing.T) {
	di := manyEndpoints()
	changes := []struct {
		name   string
		change func()
	}{
		{"models", func() {
			en, _ := di.Endpoint("endpoint-0001")
			en.Models = []ModelVersion{{Model: "m", Version: 2}}
			di.SetEndpoint(en)
		}},
		{"removed", func() { di.RemoveEndpoint("endpoint-0002", time.Time{}) }},
		{"operator's hold", func() { di.SetHolds(&hold.Set{}) }},
	}
	for _, tc := range changes {
		t.Run(tc.name, func(t *testing.T) {
			before := di.Endpoints("")
			assert.Assert(t, SameList(before, di.Endpoints("")))
			tc.change()
			assert.Assert(t, !SameList(before, di.Endpoints("")))
		})
	}
	assert.Assert(t, SameList(nil, di.Endpoints("nobody")))
}
