package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// unansweredUntil makes a client's renewals get no response until a point in time.
func unansweredUntil(cl *keyvalue.Client, outageEnd time.Time) {
	keep := cl.KeepAliveFunc
	cl.KeepAliveFunc = func(ctx context.Context, id keyvalue.LeaseID) error {
		if time.Now().Before(outageEnd) {
			<-ctx.Done()
			return keyvalue.ErrUnavailable
		}
		return keep(ctx, id)
	}
}

func TestRenewalAfterOutage(t *testing.T) {
	// Guards against detecting the end of an outage only when a pending renewal times out.
	for offset := range 20 {
		synctest.Test(t, func(t *testing.T) {
			var me keyvalue.Memory
			ho := newHolder(me.Client(), "a")
			ho.ProbeEvery, ho.TTL = 100*time.Millisecond, 2*time.Second
			outageEnd := time.Now().Add(5*time.Second + time.Duration(offset)*50*time.Millisecond)
			unansweredUntil(ho.Client, outageEnd)
			var heldAt time.Time
			ho.HeldFunc = func() { heldAt = time.Now() }
			ctx, cancel := context.WithCancel(t.Context())
			go ho.Run(ctx)
			time.Sleep(8 * time.Second)
			cancel()
			synctest.Wait()
			assert.Assert(t, !heldAt.IsZero() && heldAt.Sub(outageEnd) <= 2*ho.ProbeEvery, "%v", heldAt.Sub(outageEnd))
			assert.Equal(t, held(ho), uint64(2))
			assert.Assert(t, ho.Continues(1))
		})
	}
}
