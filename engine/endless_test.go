package engine

import (
	"bufio"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Failure: an engine in trouble sends chunks without a token without end, and its sample never fails.
func TestEmptyChunksWithoutEnd(t *testing.T) {
	chunks := strings.Repeat("{\"request-id\":\"a\"}\n", 2*maxEmptyChunks)
	err := readStream(bufio.NewScanner(strings.NewReader(chunks)), GenerateRequest{ID: "a"}, func(Chunk) error { return nil })
	assert.ErrorIs(t, err, ErrBroken)
	assert.ErrorContains(t, err, "without a token")
}
