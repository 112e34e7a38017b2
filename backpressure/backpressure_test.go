package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStretch(t *testing.T) {
	for _, tc := range []struct {
		name string
		late time.Duration
		want float64
	}{
		{"no overload", 20 * time.Millisecond, 1},
		{"tolerated", tolerated, 1},
		{"overload", 3 * tolerated, 3},
		{"bounded", time.Minute, maxStretch},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ga Gauge
			for range 20 * samples {
				ga.Observe(tc.late)
			}
			assert.Assert(t, ga.Stretch() > 0.95*tc.want && ga.Stretch() <= tc.want+0.01, "%f", ga.Stretch())
			for range 20 * samples {
				ga.Observe(-time.Second) // sooner than expected
			}
			assert.Equal(t, ga.Stretch(), 1.0)
		})
	}
}

func TestOneLateResponseDoesNotStretch(t *testing.T) {
	var ga Gauge
	ga.Observe(time.Second)
	assert.Equal(t, ga.Stretch(), 1.0)
}
