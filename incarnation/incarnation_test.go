package incarnation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSupersedes(t *testing.T) {
	for _, tc := range []struct {
		name       string
		nu, other  Number
		supersedes bool
	}{
		{"later", 5, 4, true},
		{"equal", 5, 5, false},
		{"earlier", 4, 5, false},
		{"other unknown", 5, 0, false},
		{"unknown", 0, 5, false},
		{"both unknown", 0, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.nu.Supersedes(tc.other), tc.supersedes)
		})
	}
}
