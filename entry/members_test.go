package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/message"
)

func TestChoosePlaces(t *testing.T) {
	// Symptom: a payload finds no second failure domain; or an attempt's request is 30 KB.
	// Sequence: one failure domain has most of many data folders.
	// Cause: a choice that takes the first few, or all.
	for name, tc := range map[string]struct{ near, far, want int }{
		"none":               {},
		"few":                {near: 2, far: 1, want: 3},
		"one failure domain": {near: 20, want: maxPlaces},
		"one far folder":     {near: 363, far: 1, want: maxPlaces},
	} {
		t.Run(name, func(t *testing.T) {
			var pls []message.BlobLocation
			for i := range tc.near {
				pls = append(pls, message.BlobLocation{FailureDomain: "near", Instance: fmt.Sprint(i)})
			}
			for i := range tc.far {
				pls = append(pls, message.BlobLocation{FailureDomain: "far", Instance: fmt.Sprint("far-", i)})
			}
			chosen := choosePlaces(pls)
			assert.Equal(t, len(chosen), tc.want)
			assert.Equal(t, spread(chosen), tc.far > 0)
			if tc.far > 0 {
				assert.Equal(t, chosen[1].FailureDomain, "far")
			}
		})
	}
}
