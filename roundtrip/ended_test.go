package roundtrip

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEnded(t *testing.T) {
	var lc net.ListenConfig
	li, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := li.Addr().String()
	assert.Assert(t, !Ended(t.Context(), address), "the server listens")
	assert.NilError(t, li.Close())
	assert.Assert(t, Ended(t.Context(), address))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, Ended(ctx, address), "the context is canceled")
	assert.Assert(t, !Ended(t.Context(), "no address"), "unknown address")
}
