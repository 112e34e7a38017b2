package cmd

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/platform"
)

// Failure: the only scheduler's instance is retired and removed, and no step is ever run again.
func TestRetireOnlyScheduler(t *testing.T) {
	pw := newPlatformWorld(t)
	first := pw.launch("scheduler", "first", "a")
	pw.waitForScheduler(first)
	pw.operator.Retire(t.Context(), "first")
	pw.waitFor("a state of the retirement", func() bool { return pw.operator.RetireState(t.Context(), "first") != "" })
	assert.Equal(t, pw.operator.RetireState(t.Context(), "first"), string(platform.Retiring))
	assert.Equal(t, pw.scheduler(), first)

	second := pw.launch("scheduler", "second", "b")
	pw.waitFor("the retirement's end", func() bool {
		return pw.operator.RetireState(t.Context(), "first") == string(platform.Retired)
	})
	assert.Equal(t, pw.scheduler(), second)
}
