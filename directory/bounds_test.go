package directory

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestScaleCheck(t *testing.T) {
	for _, tc := range []struct {
		name string
		sc   Scale
		ok   bool
	}{
		{"one", Scale{Max: 1}, true},
		{"zero to max", Scale{Max: 4, Startup: time.Second}, true},
		{"fixed count", Scale{Max: 2, Min: 2}, true},
		{"zero value", Scale{}, false},
		{"min above max", Scale{Max: 1, Min: 2}, false},
		{"negative min", Scale{Max: 1, Min: -1}, false},
		{"negative startup", Scale{Max: 1, Startup: -time.Second}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.sc.Check() == nil, tc.ok) })
	}
}

func TestValidRatio(t *testing.T) {
	for value, want := range map[float64]bool{0: true, 0.5: true, 1e9: true, -1: false, math.Inf(1): false, math.Inf(-1): false} {
		assert.Equal(t, ValidRatio(value), want, "%v", value)
	}
	assert.Assert(t, !ValidRatio(math.NaN()))
}
