package soak

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/platform/standin"
)

// Concurrent soaks with the same seed must not fail because an address is in use.
func TestConcurrentSoaksClaimDifferentAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 3 {
		wo := &world{cancel: func() {}, store: &standin.Store{}}
		address, err := wo.claim(1)
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
		t.Cleanup(func() { wo.close() })
	}
}
