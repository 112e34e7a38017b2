package cmd

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// Failure: all instances with a disk are replaced by added ones, which run no scheduler.
func TestAddedInstancesRunEachRole(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "deploy", "system.toml"))
	assert.NilError(t, err)
	var deploy struct {
		Roles map[string]struct {
			Count *int
			Share float64
		}
	}
	assert.NilError(t, toml.Unmarshal(data, &deploy))
	assert.Equal(t, len(deploy.Roles), 3)
	for name, role := range deploy.Roles {
		assert.Assert(t, role.Count == nil, "%s: added instances don't receive a role that is assigned by count", name)
		assert.Equal(t, role.Share, 1.0, name)
	}
}
