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
		{"a later start", 5, 4, true},
		{"the same start", 5, 5, false},
		{"an earlier start", 4, 5, false},
		{"after one that is not known", 5, 0, false},
		{"not known after one that is", 0, 5, false},
		{"neither is known", 0, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.nu.Supersedes(tc.other), tc.supersedes)
		})
	}
}
