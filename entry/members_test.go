package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/message"
)

func TestChooseLocations(t *testing.T) {
	// Guards against a choice with a single failure domain although there are others, and
	// against one that includes all data folders.
	for name, tc := range map[string]struct{ near, far, want int }{
		"none":               {},
		"few":                {near: 2, far: 1, want: 3},
		"one failure domain": {near: 20, want: maxLocations},
		"one far folder":     {near: 363, far: 1, want: maxLocations},
	} {
		t.Run(name, func(t *testing.T) {
			var bls []message.BlobLocation
			for i := range tc.near {
				bls = append(bls, message.BlobLocation{FailureDomain: "near", Instance: fmt.Sprint(i)})
			}
			for i := range tc.far {
				bls = append(bls, message.BlobLocation{FailureDomain: "far", Instance: fmt.Sprint("far-", i)})
			}
			selected := chooseLocations(bls)
			assert.Equal(t, len(selected), tc.want)
			assert.Equal(t, spansDomains(selected), tc.far > 0)
			if tc.far > 0 {
				assert.Equal(t, selected[1].FailureDomain, "far")
			}
		})
	}
}
