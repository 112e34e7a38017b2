package attendant_test

import (
	"context"
	"testing"
	"time"

	"wisteriacroft/plainservice"
)

// An answer must report endpoint-ended only if the endpoint's process has ended.
func TestEndpointEnded(t *testing.T) {
	run(t, func(se *session) {
		fs := &fakeService{takes: 100 * time.Millisecond}
		op := plainOptions(t, fs)
		gone := false
		op.Endpoints[0].Plain.EndedFunc = func(context.Context) bool { return gone }
		_, end := se.start("a:1", op)
		defer end()
		ctx := se.Context()
		fs.failWith(plainservice.ErrBroken)
		se.call(ctx, "a:1", "desk-1/call/orders", id, "broke", repeatable, "yes")
		gone = true
		se.call(ctx, "a:1", "desk-1/call/orders", id, "ended", repeatable, "yes")
		fs.failWith(plainservice.ErrNotSent)
		se.call(ctx, "a:1", "desk-1/call/orders", id, "not-sent", repeatable, "yes")
	})
}
