package cmd

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/soak"
)

// TestSoak runs a short seeded soak on real processes. Its verdict is that no
// promise was broken; how much was served meanwhile depends on the machine.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	de := &deployment{T: t}
	cmd := de.program("soak", "--dir", dir, "--for", "6s", "--seed", "1", "--engines", "3", "--entries", "2")
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		logs, _ := filepath.Glob(filepath.Join(dir, "*", "*.log"))
		t.Logf("logs: %v", logs)
	}
	assert.NilError(t, err, "%s", out)
	var re soak.Report
	assert.NilError(t, json.Unmarshal(out, &re))
	assert.Equal(t, len(re.Violations), 0, "%v", re.Violations)
	assert.Assert(t, re.Steps > 0 && re.Served > 0 && len(re.Faults) > 0, "%s", out)
}
