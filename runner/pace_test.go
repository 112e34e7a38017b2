package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPaceDetectsSlowdown(t *testing.T) {
	// Guards against a window so long that the earlier quick gaps hide the few slow ones
	// of an engine that slows down, which delays moving its runs.
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const quick, slow = 50 * time.Millisecond, 180 * time.Millisecond
	for _, tc := range []struct {
		name string
		runs int
		most time.Duration // until the median shows the slowdown
	}{
		{"one run", 1, 800 * time.Millisecond},
		{"two runs", 2, 800 * time.Millisecond},
		{"eight runs", 8, 600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var pa pacer
			now := startedAt
			for range 60 {
				now = now.Add(quick)
				for range tc.runs {
					pa.observe(quick, now)
				}
			}
			slowedAt := now
			for duration, _ := pa.median(now); duration < slow; duration, _ = pa.median(now) {
				now = now.Add(slow)
				for range tc.runs {
					pa.observe(slow, now)
				}
			}
			assert.Assert(t, now.Sub(slowedAt) <= tc.most, "%s", now.Sub(slowedAt))
			_, gaps := pa.median(now)
			assert.Assert(t, gaps >= 4, "%d", gaps)
		})
	}
}
